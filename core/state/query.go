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

	StepJob *StepJobQuery `cbor:",omitempty"`
	Queue   *QueueQuery   `cbor:",omitempty"`
	Queues  *QueuesQuery  `cbor:",omitempty"`
	Called  *StepWorkerQuery  `cbor:",omitempty"`
}

// StepWorkerQuery asks for a worker that is called by the leader.
type StepWorkerQuery struct{ Worker workload.WorkerID }

// StepJobQuery asks for the state of a job of steps.
type StepJobQuery struct{ ID workload.JobID }

// QueueQuery asks for the number of jobs of a queue that have not started.
type QueueQuery struct{ Name string }

// QueuesQuery asks for the queue configuration where it is newer than Known.
type QueuesQuery struct {
	Known uint64
	// Document asks for the configuration as the operator sent it, too. It is as
	// large as the rest, so entry processes do without.
	Document bool `cbor:",omitempty"`
	// Caller is the internal address of the asking process where it takes
	// calls of the leader, otherwise empty.
	Caller string
}

// ConfigQuery asks for the file in force (Generation 0) or an earlier one.
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

// ExplainQuery asks why a job waits. The scheduler of the leader answers it;
// the state alone does not know.
type ExplainQuery struct{ Job cell.JobID }

// Answer answers a Query, in the field of the query's kind. The field is nil
// where nothing was found.
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
	Called  *workload.Worker `cbor:",omitempty"`
}

// StepJobView is what a caller sees of a job of steps.
type StepJobView struct{ State workload.JobState }

// QueueView is what a caller sees of a queue.
type QueueView struct{ Pending int }

// QueuesView is the queue configuration.
type QueuesView struct {
	Version  uint64           // in force; 0 where there is none
	Config   *workload.Config `cbor:",omitempty"` // nil where not newer than asked
	Replicas []string         `cbor:",omitempty"` // addresses of the control replicas, added by the replica
}

// ExplainView says why a job waits, one reason a line.
type ExplainView struct {
	State cell.JobState
	Lines []string
}

// JobView is what a caller sees of a job.
type JobView struct {
	ID          cell.JobID
	Spec        cell.JobSpec
	State       cell.JobState
	SubmittedAt time.Time
	Tasks       []TaskView
}

// TaskView is what a caller sees of a task.
type TaskView struct {
	State    cell.TaskState
	Attempts int
	Worker   cell.WorkerName // empty where not placed
	Detail   string          // of the last failure
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
	// Entries tells what each entry process has in force. The leader adds it
	// from the feed calls; it is not part of the replicated state.
	Entries []EntryView
}

// EntryView is the configuration in force at an entry process.
type EntryView struct {
	Name       cell.EntryName
	Generation cell.Generation
	Age        time.Duration // since its last feed call
}

// WorkerView is a worker's current epoch and its allocations, complete.
type WorkerView struct {
	Name        cell.WorkerName
	Registered  bool
	Incarnation cell.Incarnation
	Epoch       cell.Epoch
	Version     uint64 // log index of the last change of its allocations
	Assignments []Assignment
}

// Assignment is one allocation as the worker needs it.
type Assignment struct {
	Allocation cell.Allocation
	Command    string
	RunTime    time.Duration // declared
	Stop       bool          // end it: checkpoint where it can, otherwise stop
}
