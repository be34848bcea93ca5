package state

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Command is one change of the state. Exactly one field is set besides At.
type Command struct {
	// At is the leader's wall-clock time when it proposed the command. The
	// state uses the largest time seen, so that it never runs backwards.
	At time.Time

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

// ApplyFile puts a cell file in force. The file was parsed and checked by the
// proposer; the state parses and checks it again.
type ApplyFile struct {
	Body []byte // the file as the operator wrote it
	From string // address or certificate name of the operator
}

// SubmitJob adds a job. Submissions are idempotent by team and key.
type SubmitJob struct {
	Key  string // caller's key, not empty
	Spec cell.JobSpec
}

// CancelJob ends a job. Tasks that run are told to stop.
type CancelJob struct {
	Job cell.JobID
}

// CommitPlan reserves workers for tasks and stops preempted allocations. Each
// placement is checked again; the tasks of one gang are taken together or not
// at all.
type CommitPlan struct {
	Basis       uint64 // log index of the state that the plan was made at
	Placements  []Placement
	Preemptions []cell.AllocationID
}

// Placement puts one task on one worker.
type Placement struct {
	Task   cell.TaskID
	Worker cell.WorkerName
	Epoch  cell.Epoch
}

// RegisterWorker admits a worker, or admits it again after a restart. Its
// former epoch ends only through ExpireWorker or a registration with a larger
// incarnation, which says that the former incarnation has stopped its tasks.
type RegisterWorker struct {
	Worker cell.Worker
}

// ReportTasks carries a worker's news of its allocations.
type ReportTasks struct {
	Worker  cell.WorkerName
	Epoch   cell.Epoch
	Reports []TaskReport
}

// TaskOutcome is what a worker says of an allocation.
type TaskOutcome string

// Outcomes that a worker reports.
const (
	ReportRunning      TaskOutcome = "running"
	ReportSucceeded    TaskOutcome = "succeeded"
	ReportFailed       TaskOutcome = "failed"
	ReportStopped      TaskOutcome = "stopped"      // stopped as told, progress lost
	ReportCheckpointed TaskOutcome = "checkpointed" // stopped as told, progress saved
)

// TaskReport is a worker's news of one allocation.
type TaskReport struct {
	Allocation cell.AllocationID
	Outcome    TaskOutcome
	Detail     string         // reason of a failure, for operators
	Used       cell.Resources // measured usage
	UsageAge   time.Duration  // how old Used is
}

// ExpireWorker ends the epoch of a worker whose lease has run out by the
// leader's clock (core/lease). Its tasks are queued again, except those whose
// policy keeps them on a disconnected worker.
type ExpireWorker struct {
	Worker cell.WorkerName
	Epoch  cell.Epoch
}

// ReleaseWorker ends the epoch of a worker that has stopped all of its tasks
// and returns its lease. Unlike ExpireWorker it needs no clock: the worker
// itself says that nothing runs there under this epoch any more.
type ReleaseWorker struct {
	Worker  cell.WorkerName
	Epoch   cell.Epoch
	Reports []TaskReport // last news, taken before the epoch ends
}

// RequestKey identifies a non-idempotent request by the caller's own key.
type RequestKey struct {
	Service cell.Service
	Team    cell.Team
	Key     string
}

// BeginRequest records that an entry process is about to dispatch a request.
type BeginRequest struct {
	Key         RequestKey
	Digest      uint64 // of method, path and body
	Entry       cell.EntryName
	Incarnation cell.Incarnation
	Attempt     uint64        // chosen by the entry process, unique per begin
	Retention   time.Duration // how long the record is kept after it finished
}

// FinishRequest records the outcome of a request.
type FinishRequest struct {
	Key     RequestKey
	Entry   cell.EntryName
	Attempt uint64
	Outcome Outcome
	Answer  *StoredAnswer `cbor:",omitempty"` // nil where too large to keep
}

// Outcome says whether a request was run.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// StoredAnswer is an answer kept for replay.
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

// JoinMember adds an entry process or a newer incarnation of it.
type JoinMember struct {
	Member Member
}

// LeaveMember removes an entry process. Its running request records become
// unknown.
type LeaveMember struct {
	Name        cell.EntryName
	Incarnation cell.Incarnation
}

// Advance moves the time of the state and drops what is past its retention.
type Advance struct{}
