// Package workload is the replicated state of jobs made of steps: the queue
// configuration in force, the accepted jobs with their steps and tasks, the
// registered workers, and the run of each task on a worker.
//
// It does no input or output and reads no clock. Commands are applied in the
// order of the log; equal commands give equal states on every replica.
//
// A task has at most one open run. A run is opened by Assign, before the worker
// is told, and closed by the worker's own report or by the end of the worker's
// boot. Only a closed run frees its capacity and lets the task run again.
package workload
