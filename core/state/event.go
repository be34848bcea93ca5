package state

import "github.com/godwitlink/godwitlink/core/cell"

// Event tells the leader's scheduler what a command changed. Exactly one field
// is set.
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

// ConfigChanged says that another cell file is in force.
type ConfigChanged struct{ Record ConfigRecord }

// JobAdded says that a job was accepted; its tasks follow as TaskQueued.
type JobAdded struct {
	ID   cell.JobID
	Spec cell.JobSpec
}

// JobEnded says that a job is in a terminal state. Its queued tasks are gone.
type JobEnded struct {
	ID    cell.JobID
	State cell.JobState
}

// TaskQueued says that a task waits for a placement. Attempts counts the
// failures so far.
type TaskQueued struct {
	Task      cell.TaskID
	Attempts  int
	Preempted bool
	NotBefore int64 // Unix milliseconds; the task backs off until then
}

// TaskPlaced says that a placement was committed.
type TaskPlaced struct{ Allocation cell.Allocation }

// TaskStarted says that a worker has started an allocation.
type TaskStarted struct{ Allocation cell.AllocationID }

// TaskStopping says that a worker was told to stop an allocation.
type TaskStopping struct{ Allocation cell.AllocationID }

// AllocationEnded says that an allocation no longer holds resources. An
// allocation that was kept on a disconnected worker ends under the former epoch
// when the worker is back, and a TaskPlaced with the same id and the new epoch
// follows.
type AllocationEnded struct {
	Allocation cell.Allocation
	Outcome    TaskOutcome // empty where the epoch of the worker ended
}

// UsageReported carries measured usage of a running allocation.
type UsageReported struct {
	Allocation cell.AllocationID
	Report     TaskReport
}

// WorkerAdded says that a worker has a new epoch.
type WorkerAdded struct {
	Worker cell.Worker
	Epoch  cell.Epoch
}

// WorkerRemoved says that the epoch of a worker has ended. Allocations that
// are kept on it still hold their team's quota.
type WorkerRemoved struct {
	Worker cell.WorkerName
	Epoch  cell.Epoch
}
