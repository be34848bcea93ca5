package state

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Command is one change of the state. Exactly one field is set besides At.
type Command struct {
	// At is the leader's wall-clock time when it proposed the command. The state uses the largest
	// time so far, so its time never moves back.
	At time.Time
	// Term is the log term of the command's entry. It is not part of the encoding: the replica sets it
	// before Apply.
	Term uint64 `cbor:"-" json:"-"`

	ApplyFile      *ApplyFile      `cbor:",omitempty"`
	SubmitJob      *SubmitJob      `cbor:",omitempty"`
	CancelJob      *CancelJob      `cbor:",omitempty"`
	CommitPlan     *CommitPlan     `cbor:",omitempty"`
	RegisterWorker *RegisterWorker `cbor:",omitempty"`
	ReportTasks    *ReportTasks    `cbor:",omitempty"`
	ExpireWorker   *ExpireWorker   `cbor:",omitempty"`
	ReleaseWorker  *ReleaseWorker  `cbor:",omitempty"`
	BeginRequest   *BeginRequest   `cbor:",omitempty"`
	FinishRequest  *FinishRequest  `cbor:",omitempty"`
	JoinMember     *JoinMember     `cbor:",omitempty"`
	LeaveMember    *LeaveMember    `cbor:",omitempty"`
	Advance        *Advance        `cbor:",omitempty"`

	Workload *workload.Command `cbor:",omitempty"`
}

// ApplyFile puts a cell file in force. The proposer has parsed and checked the file; the state does
// so again.
type ApplyFile struct {
	Body []byte // content of the file as submitted
	From string // address or certificate name of the operator
}

// SubmitJob adds a job. Submissions are idempotent by team and key.
type SubmitJob struct {
	Key  string // chosen by the caller, not empty
	Spec cell.JobSpec
}

// CancelJob ends a job. The workers of its placed and running tasks are asked to stop them.
type CancelJob struct {
	Job cell.JobID
}

// CommitPlan reserves workers for tasks and stops preempted allocations. Each placement is checked
// against the current state; the placements of a gang are accepted together or not at all.
type CommitPlan struct {
	Basis       uint64 // log index of the state that the plan is based on
	Placements  []Placement
	Preemptions []cell.AllocationID
}

// Placement assigns one task to one worker.
type Placement struct {
	Task   cell.TaskID
	Worker cell.WorkerName
	Epoch  cell.Epoch
}

// RegisterWorker starts an epoch of a worker when it joins or restarts. The previous epoch ends only
// by ExpireWorker, by ReleaseWorker, or by a registration with a larger incarnation, which implies that
// the tasks of the previous incarnation have stopped.
type RegisterWorker struct {
	Worker cell.Worker
}

// ReportTasks carries a worker's status reports on its allocations.
type ReportTasks struct {
	Worker  cell.WorkerName
	Epoch   cell.Epoch
	Reports []TaskReport
}

// TaskOutcome is the status of an allocation as its worker reports it.
type TaskOutcome string

// Statuses that a worker reports.
const (
	ReportRunning      TaskOutcome = "running"
	ReportSucceeded    TaskOutcome = "succeeded"
	ReportFailed       TaskOutcome = "failed"
	ReportStopped      TaskOutcome = "stopped"      // stopped on request, progress lost
	ReportCheckpointed TaskOutcome = "checkpointed" // stopped on request, progress saved
)

// TaskReport is a worker's status report on one allocation.
type TaskReport struct {
	Allocation cell.AllocationID
	Outcome    TaskOutcome
	Detail     string         // reason of a failure, for operators
	Used       cell.Resources // measured usage
	UsageAge   time.Duration  // age of the measurement in Used
}

// ExpireWorker ends the epoch of a worker whose lease has expired by the leader's clock (core/lease).
// Its tasks are queued again, except those whose policy keeps them on a disconnected worker.
type ExpireWorker struct {
	Worker cell.WorkerName
	Epoch  cell.Epoch
}

// ReleaseWorker ends the epoch of a worker that has stopped all of its tasks and returns its lease.
// Unlike ExpireWorker it does not depend on a clock, because the worker itself states that no task
// of this epoch is running.
type ReleaseWorker struct {
	Worker  cell.WorkerName
	Epoch   cell.Epoch
	Reports []TaskReport // final reports, applied before the epoch ends
}

// RequestKey identifies a non-idempotent request by the key that the caller chose.
type RequestKey struct {
	Service cell.Service
	Team    cell.Team
	Key     string
}

// BeginRequest records that an entry process is about to dispatch a request.
type BeginRequest struct {
	Key         RequestKey
	Digest      uint64 // hash of method, path and body
	Entry       cell.EntryName
	Incarnation cell.Incarnation
	Attempt     uint64        // chosen by the entry process, unique for each BeginRequest
	Retention   time.Duration // how long the record is kept after the request has finished
}

// FinishRequest records the outcome of a request.
type FinishRequest struct {
	Key     RequestKey
	Entry   cell.EntryName
	Attempt uint64
	Outcome Outcome
	Answer  *StoredAnswer `cbor:",omitempty"` // nil if it is too large to store
}

// Outcome says whether a backend server processed a request.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// StoredAnswer is the answer of a backend server, stored so that a repeated request gets it again.
type StoredAnswer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// HeaderField is one header line of an answer.
type HeaderField struct {
	Name  string
	Value string
}

// Member is an entry process of the cell.
type Member struct {
	Name          cell.EntryName
	Incarnation   cell.Incarnation
	Address       string // IP and port of its internal listener
	Region        cell.Region
	FailureDomain cell.FailureDomain
}

// JoinMember adds an entry process or a newer incarnation of one.
type JoinMember struct {
	Member Member
}

// LeaveMember removes an entry process. The outcome of its running requests becomes unknown.
type LeaveMember struct {
	Name        cell.EntryName
	Incarnation cell.Incarnation
}

// Advance moves the time of the state and removes ended jobs, request records and workers whose
// retention has passed.
type Advance struct{}
