package state

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Query is a read of the state. Exactly one field is set.
type Query struct {
	Config  *ConfigQuery  `cbor:",omitempty"`
	Job     *JobQuery     `cbor:",omitempty"`
	Status  *StatusQuery  `cbor:",omitempty"`
	Workers *WorkersQuery `cbor:",omitempty"`
	Request *RequestQuery `cbor:",omitempty"`
	Members *MembersQuery `cbor:",omitempty"`
	Explain *ExplainQuery `cbor:",omitempty"`

	StepJob *StepJobQuery          `cbor:",omitempty"`
	Queue   *QueueQuery            `cbor:",omitempty"`
	Queues  *QueuesQuery           `cbor:",omitempty"`
	Called  *StepWorkerQuery       `cbor:",omitempty"` // worker that the leader calls
	Where   *workload.ExplainQuery `cbor:",omitempty"` // where a multi-step job would go now
}

// StepWorkerQuery asks for a worker that runs steps of multi-step jobs. The leader calls such workers.
type StepWorkerQuery struct{ Worker workload.WorkerID }

// StepJobQuery asks for the state of a multi-step job. Team and AnonymousQueue are those of the
// workload.Caller. Nothing is found if the caller may not read the job.
type StepJobQuery struct {
	ID             workload.JobID
	Team           workload.TeamName `cbor:",omitempty"`
	AnonymousQueue string            `cbor:",omitempty"`
}

// QueueQuery asks for the number of jobs of a queue that have not started.
type QueueQuery struct{ Name string }

// QueuesQuery asks for the queue configuration if it is newer than the version Known.
type QueuesQuery struct {
	Known uint64
	// Document also asks for the configuration as the operator sent it. Entry processes do not need
	// it, and it doubles the size of the answer.
	Document bool `cbor:",omitempty"`
	// Changes allows an answer that holds only what has changed since the version Known. A replica of an
	// earlier version of the program refuses queries that set it.
	Changes bool `cbor:",omitempty"`
	// AdviceRequester is the internal address of the querying process if it can call the adviser on
	// behalf of the leader, otherwise empty.
	AdviceRequester string `cbor:"Caller" json:"Caller"`
}

// ConfigQuery asks for the cell file of a generation, or the one in force if Generation is 0.
type ConfigQuery struct{ Generation cell.Generation }

// JobQuery asks for a job.
type JobQuery struct{ Job cell.JobID }

// StatusQuery asks for a summary of the cell.
type StatusQuery struct{}

// WorkersQuery asks for the assignments of the named workers.
type WorkersQuery struct{ Names []cell.WorkerName }

// RequestQuery asks for a request record.
type RequestQuery struct{ Key RequestKey }

// MembersQuery asks for the entry processes.
type MembersQuery struct{}

// ExplainQuery asks why a job waits. It is answered by the scheduler of the leader, because the state
// does not contain the reason.
type ExplainQuery struct{ Job cell.JobID }

// Answer is the answer to a Query, in the field for the kind of the query. The field is nil if nothing
// was found.
type Answer struct {
	Config  *ConfigRecord  `cbor:",omitempty"`
	Job     *JobView       `cbor:",omitempty"`
	Status  *StatusView    `cbor:",omitempty"`
	Workers []WorkerView   `cbor:",omitempty"`
	Request *RequestResult `cbor:",omitempty"`
	Members []Member       `cbor:",omitempty"`
	Explain *ExplainView   `cbor:",omitempty"`

	StepJob *StepJobView     `cbor:",omitempty"`
	Queue   *QueueView       `cbor:",omitempty"`
	Queues  *QueuesView      `cbor:",omitempty"`
	Called  *workload.Worker `cbor:",omitempty"` // worker that the leader calls
	Where   *WhereView       `cbor:",omitempty"`
}

// DocumentBytes returns the size of the document of a configuration in the answer.
func (a Answer) DocumentBytes() int {
	if a.Queues == nil || a.Queues.Config == nil {
		return 0
	}
	return len(a.Queues.Config.Document)
}

// WhereView says where a multi-step job would go.
type WhereView struct {
	Explanation workload.Explanation
	AsOf        time.Time // time of the latest command that the replica has applied
}

// StepJobWait is how long the leader may wait for the end of a job before it answers a StepJobQuery. A
// caller that asks again every quarter of a second is not slowed down by it.
const StepJobWait = 150 * time.Millisecond

// StepJobView is the state of a multi-step job as shown to callers.
type StepJobView struct{ State workload.JobState }

// QueueView is the state of a queue as shown to callers.
type QueueView struct{ Pending int }

// QueuesView is the queue configuration.
type QueuesView struct {
	Version uint64           // version in force; 0 if there is none
	Config  *workload.Config `cbor:",omitempty"` // nil if it is not newer than QueuesQuery.Known, or Change is set
	// Change is the change from the version QueuesQuery.Known, added by the replica if the query allows it.
	Change   *workload.ConfigChange `cbor:",omitempty"`
	Replicas []string               `cbor:",omitempty"` // addresses of the control replicas, added by the replica
}

// ExplainView lists the reasons why a job waits, one per line.
type ExplainView struct {
	State cell.JobState
	Lines []string
}

// JobView is a job as shown to callers.
type JobView struct {
	ID          cell.JobID
	Spec        cell.JobSpec
	State       cell.JobState
	SubmittedAt time.Time
	Tasks       []TaskView
}

// TaskView is a task as shown to callers.
type TaskView struct {
	State    cell.TaskState
	Attempts int             // failures so far
	Worker   cell.WorkerName // empty if the task has no allocation
	Detail   string          // reason of the last failure
}

// StatusView is a summary of the cell.
type StatusView struct {
	Generation  cell.Generation
	Digest      string
	Workers     int
	Jobs        map[cell.JobState]int
	Allocations int
	Capacity    cell.Resources
	Reserved    cell.Resources
	Members     int
	// Entries lists the configuration in force at each entry process. The leader learns it from the
	// feed calls, the long polls by which entry processes follow changes, and adds it to the answer;
	// it is not part of the replicated state.
	Entries []EntryView
}

// EntryView is the configuration in force at an entry process.
type EntryView struct {
	Name       cell.EntryName
	Generation cell.Generation
	Age        time.Duration // since its last feed call
}

// WorkerView is the current epoch of a worker with all of its allocations.
type WorkerView struct {
	Name        cell.WorkerName
	Registered  bool
	Incarnation cell.Incarnation
	Epoch       cell.Epoch
	Version     uint64 // log index of the last change of its epoch or allocations
	Assignments []Assignment
}

// Assignment is an allocation with the data that its worker needs to run the task.
type Assignment struct {
	Allocation cell.Allocation
	Command    string
	RunTime    time.Duration // declared run time
	Stop       bool          // the worker must stop the task, with a checkpoint if it supports one
}
