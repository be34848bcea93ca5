// Package workload is the replicated state machine of multi-step jobs: the queue configuration in
// force, the accepted jobs with their steps and tasks, the registered workers, and the runs of the
// tasks on workers.
//
// A boot is one process lifetime of a worker. A gang is a step whose tasks run together or not at
// all.
//
// It performs no input or output and reads no clock. Commands are applied in log order, and
// replicas that apply the same commands have the same state.
//
// A run is one execution of a task on a worker. A task has at most one open run. Assign opens the
// run before the worker is told to start it. The worker's report, or the end of the worker's boot,
// closes the run. Only then is its capacity released and can the task be assigned again.
//
// The time for which ended jobs are retained is measured by the retention clock. The leader advances
// it by its time of day, and it stops while there is no leader. The age of a closed run decides when a
// task may start elsewhere, so it must not be overstated. It is measured by the steady clock, which
// counts the Advance commands that follow one of the same leader.
package workload
