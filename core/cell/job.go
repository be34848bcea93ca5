package cell

import "time"

// PolicyKind is the way in which the tasks of a job are placed.
type PolicyKind string

// Kinds of policies.
const (
	KindService PolicyKind = "service" // runs until cancelled, spread and replaced
	KindBatch   PolicyKind = "batch"   // runs to its end, packed
	KindGang    PolicyKind = "gang"    // all tasks start together or none
)

// Priority orders the jobs of one team.
type Priority string

// Priorities, highest first. Urgent work may preempt.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// JobSpec is what a caller submits.
type JobSpec struct {
	Name        string
	Team        Team
	Policy      PolicyName
	Priority    Priority
	Tasks       int           // number of equal tasks, at least 1
	Size        Resources     // declared size of one task
	RunTime     time.Duration // declared run time of one task; 0 for services
	Region      Region        // empty: any region of the policy's pools
	Checkpoints bool          // the tasks can save their progress when stopped
	Command     string        // opaque to the scheduler, passed to the worker
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

// Terminal reports whether a job in state s never changes again.
func (s JobState) Terminal() bool {
	return s == JobSucceeded || s == JobFailed || s == JobCancelled
}

// TaskState is the state of one task of a job.
type TaskState string

// States of a task.
const (
	TaskQueued    TaskState = "queued"    // waits for a placement
	TaskPlaced    TaskState = "placed"    // has an allocation that has not started
	TaskRunning   TaskState = "running"   // reported as started by its worker
	TaskStopping  TaskState = "stopping"  // its worker was told to stop it
	TaskSucceeded TaskState = "succeeded" // ended well
	TaskFailed    TaskState = "failed"    // ended badly, out of attempts
	TaskCancelled TaskState = "cancelled" // stopped by a cancellation
)

// Terminal reports whether a task in state s never changes again.
func (s TaskState) Terminal() bool {
	return s == TaskSucceeded || s == TaskFailed || s == TaskCancelled
}

// TaskID identifies a task: the job and the index within it.
type TaskID struct {
	Job   JobID
	Index int
}

// Allocation is the reservation of a worker's resources for one task. It
// holds the resources until the worker reports that the task has ended, or
// until the worker's epoch has ended.
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

// DisconnectAction says what becomes of a task whose worker cannot renew its
// lease.
type DisconnectAction string

// Disconnect actions.
const (
	// DisconnectStop stops the task at the end of the lease; it is replaced.
	DisconnectStop DisconnectAction = "stop"
	// DisconnectKeep lets the task run; it is not replaced until its worker
	// is back or is retired by a cell file.
	DisconnectKeep DisconnectAction = "keep"
)

// Worker is a machine of the cell as it registered.
type Worker struct {
	Name          WorkerName
	Incarnation   Incarnation
	Region        Region
	FailureDomain FailureDomain
	Rack          Rack
	Pool          Pool
	Capacity      Resources
}
