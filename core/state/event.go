package state

import "github.com/godwitlink/godwitlink/core/cell"

// Event informs the scheduler of the leader about a change by a command. Exactly one field is set.
type Event struct {
	ConfigChanged   *ConfigChanged
	JobAdded        *JobAdded
	JobEnded        *JobEnded
	TaskQueued      *TaskQueued
	TaskPlaced      *TaskPlaced
	TaskStarted     *TaskStarted
	TaskStopping    *TaskStopping
	AllocationEnded *AllocationEnded
	UsageReported   *UsageReported
	WorkerAdded     *WorkerAdded
	WorkerRemoved   *WorkerRemoved
}

// ConfigChanged reports that another cell file is in force.
type ConfigChanged struct{ Record ConfigRecord }

// JobAdded reports that a job was accepted. A TaskQueued follows for each of its tasks.
type JobAdded struct {
	ID   cell.JobID
	Spec cell.JobSpec
}

// JobEnded reports that a job is in a terminal state. Its tasks are no longer queued.
type JobEnded struct {
	ID    cell.JobID
	State cell.JobState
}

// TaskQueued reports that a task waits for a placement.
type TaskQueued struct {
	Task      cell.TaskID
	Attempts  int   // failures so far
	Preempted bool  // the last allocation was preempted
	NotBefore int64 // end of the backoff in Unix milliseconds
}

// TaskPlaced reports that a placement was committed.
type TaskPlaced struct{ Allocation cell.Allocation }

// TaskStarted reports that a worker has started an allocation.
type TaskStarted struct{ Allocation cell.AllocationID }

// TaskStopping reports that a worker was asked to stop an allocation.
type TaskStopping struct{ Allocation cell.AllocationID }

// AllocationEnded reports that an allocation no longer holds resources. When a disconnected worker
// registers again, each allocation that was kept on it ends under the previous epoch, and a TaskPlaced
// with the same id and the new epoch follows.
type AllocationEnded struct {
	Allocation cell.Allocation
	Outcome    TaskOutcome // empty if the epoch of the worker ended
}

// UsageReported carries the measured usage of a running allocation.
type UsageReported struct {
	Allocation cell.AllocationID
	Report     TaskReport
}

// WorkerAdded reports that a worker has started a new epoch.
type WorkerAdded struct {
	Worker cell.Worker
	Epoch  cell.Epoch
}

// WorkerRemoved reports that the epoch of a worker has ended. Allocations that are kept on the worker
// still count towards the quota of their team.
type WorkerRemoved struct {
	Worker cell.WorkerName
	Epoch  cell.Epoch
}
