// Package workload is the replicated state machine of multi-step jobs: the queue configuration in
// force, the accepted jobs with their steps and tasks, the registered workers, and the runs of the
// tasks on workers.
//
// It performs no input or output and reads no clock. Commands are applied in log order, and
// replicas that apply the same commands have the same state.
//
// A run is one execution of a task on a worker. A task has at most one open run. Assign opens the
// run before the worker is told to start it. The worker's report, or the end of the worker's boot,
// closes the run. Only then is its capacity released and can the task be assigned again.
//
// Ended jobs are retained by the retention clock, which the leader advances and which stops while
// there is no leader.
package workload
