package cell

import "time"

// PolicyKind determines how the tasks of a job are placed and restarted.
type PolicyKind string

// Kinds of policies.
const (
	KindService PolicyKind = "service" // tasks run until cancelled, are spread, and are restarted when they end
	KindBatch   PolicyKind = "batch"   // tasks run to completion and are packed
	KindGang    PolicyKind = "gang"    // all tasks start together or none
)

// Priority orders the jobs of one team.
type Priority string

// Priorities, highest first. Urgent jobs may preempt others.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// JobSpec is a job as the caller submits it.
type JobSpec struct {
	Name        string
	Team        Team
	Policy      PolicyName
	Priority    Priority
	Tasks       int           // number of equal tasks, at least 1
	Size        Resources     // declared size of one task
	RunTime     time.Duration // declared run time of one task; 0 for services
	Region      Region        // empty for any region of the policy's pools
	Checkpoints bool          // the tasks can save their progress when stopped
	Command     string        // opaque to the scheduler; passed to the worker
}

// JobState is the state of a job as a whole.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Terminal reports whether the state is final.
func (s JobState) Terminal() bool {
	return s == JobSucceeded || s == JobFailed || s == JobCancelled
}

// TaskState is the state of one task of a job.
type TaskState string

// States of a task.
const (
	TaskQueued    TaskState = "queued"    // waits for a placement
	TaskPlaced    TaskState = "placed"    // has an allocation but is not reported as started
	TaskRunning   TaskState = "running"   // reported as started by its worker
	TaskStopping  TaskState = "stopping"  // its worker was asked to stop it
	TaskSucceeded TaskState = "succeeded" // completed successfully
	TaskFailed    TaskState = "failed"    // failed and has no attempts left
	TaskCancelled TaskState = "cancelled" // not completed when its job ended
)

// Terminal reports whether the state is final.
func (s TaskState) Terminal() bool {
	return s == TaskSucceeded || s == TaskFailed || s == TaskCancelled
}

// TaskID identifies a task by its job and its index in the job.
type TaskID struct {
	Job   JobID
	Index int
}

// Allocation is the reservation of a worker's resources for one task. It holds the resources until the
// worker reports that the task has ended, or until the worker's epoch has ended.
type Allocation struct {
	ID           AllocationID
	Task         TaskID
	Team         Team
	Worker       WorkerName
	Epoch        Epoch
	Size         Resources
	OnDisconnect DisconnectAction
	Priority     Priority
	Checkpoints  bool
	PlacedAt     time.Time
}

// DisconnectAction determines what happens to a task whose worker cannot renew its lease.
type DisconnectAction string

// Disconnect actions.
const (
	// DisconnectStop stops the task when the lease expires. The task is placed again.
	DisconnectStop DisconnectAction = "stop"
	// DisconnectKeep lets the task continue. The task keeps its allocation until the worker registers
	// again or a cell file retires the worker.
	DisconnectKeep DisconnectAction = "keep"
)

// Worker is a machine of the cell as described by its registration.
type Worker struct {
	Name          WorkerName
	Incarnation   Incarnation
	Region        Region
	FailureDomain FailureDomain
	Rack          Rack
	Pool          Pool
	Capacity      Resources
}
