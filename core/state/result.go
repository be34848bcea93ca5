package state

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Refusal is the reason code of a command that was refused. RefusalNone means that the command was
// applied.
type Refusal string

// Reasons for refusing a command.
const (
	RefusalNone              Refusal = ""
	RefusalInvalid           Refusal = "invalid"             // malformed command
	RefusalFileFaults        Refusal = "file-faults"         // the cell file has faults
	RefusalGenerationUsed    Refusal = "generation-used"     // another file has the same generation
	RefusalGenerationOld     Refusal = "generation-old"      // a higher generation is in force
	RefusalNoConfig          Refusal = "no-config"           // no file has been applied yet
	RefusalUnknownTeam       Refusal = "unknown-team"        // team not in the file
	RefusalPolicyNotAllowed  Refusal = "policy-not-allowed"  // the team may not use the policy
	RefusalNeverFits         Refusal = "never-fits"          // larger than any worker of the pools
	RefusalOverQuota         Refusal = "over-quota"          // larger than the team's whole quota
	RefusalQueueFull         Refusal = "queue-full"          // too many queued jobs of the team
	RefusalTooManyTasks      Refusal = "too-many-tasks"      // above the policy's limit
	RefusalKeyReused         Refusal = "key-reused"          // another request under a used key
	RefusalUnknownJob        Refusal = "unknown-job"         // no job with this id
	RefusalJobEnded          Refusal = "job-ended"           // the job had already ended
	RefusalUnknownWorker     Refusal = "unknown-worker"      // worker is not registered
	RefusalStaleEpoch        Refusal = "stale-epoch"         // epoch is not the current one
	RefusalStaleIncarnation  Refusal = "stale-incarnation"   // a newer incarnation is known
	RefusalWorkerNotAdmitted Refusal = "worker-not-admitted" // pool or region not allowed, pool full, or limits exceeded
	RefusalWorkerRetired     Refusal = "worker-retired"      // listed in retired_workers
	RefusalNoCapacity        Refusal = "no-room"             // not enough free capacity on the worker
	RefusalTaskNotQueued     Refusal = "task-not-queued"     // task is placed or ended
	RefusalQuotaExceeded     Refusal = "quota-exceeded"      // team would exceed its quota
	RefusalGangIncomplete    Refusal = "gang-incomplete"     // another task of the gang was refused
	RefusalUnknownRequest    Refusal = "unknown-request"     // no record of the request
	RefusalWrongAttempt      Refusal = "wrong-attempt"       // record belongs to another attempt
	RefusalAttemptFinished   Refusal = "attempt-finished"    // outcome already recorded
	RefusalTooManyRequests   Refusal = "too-many-requests"   // the limit of request records is reached
	RefusalTooManyMembers    Refusal = "too-many-members"    // max_entries entry processes have joined
	RefusalUnknownMember     Refusal = "unknown-member"      // entry process is not a member
	RefusalStillLeased       Refusal = "still-leased"        // the lease of the current epoch may still be valid
)

// Result is the result of a command. Refusal is set if the command was refused as a whole; the field
// for the kind of the command has the details.
type Result struct {
	Refusal Refusal
	Detail  string // for operators and callers

	File    *FileResult    `cbor:",omitempty"`
	Job     *JobResult     `cbor:",omitempty"`
	Plan    *PlanResult    `cbor:",omitempty"`
	Worker  *WorkerResult  `cbor:",omitempty"`
	Request *RequestResult `cbor:",omitempty"`

	Workload *workload.Result `cbor:",omitempty"`
}

// FileResult is the result of ApplyFile.
type FileResult struct {
	Generation cell.Generation // generation in force after the command
	Digest     string          // digest of the file in force
	Repeated   bool            // the same file was already in force
	Faults     strictconf.Faults
	Changes    []string // differences from the file that was in force before
}

// JobResult is the result of SubmitJob and CancelJob.
type JobResult struct {
	ID       cell.JobID
	State    cell.JobState
	Repeated bool // an earlier command had the same effect, and nothing was changed
}

// PlanResult is the result of CommitPlan, with one entry for each placement.
type PlanResult struct {
	Placements  []Refusal
	Allocations []cell.AllocationID // 0 if the placement was refused
}

// WorkerResult is the result of RegisterWorker, ReportTasks and ReleaseWorker.
type WorkerResult struct {
	Epoch cell.Epoch
}

// RequestState is the state of a request record.
type RequestState string

// States of a request record.
const (
	RequestRunning  RequestState = "running"  // begun, outcome not recorded yet
	RequestFinished RequestState = "finished" // outcome is done
	RequestUnknown  RequestState = "unknown"  // outcome is unknown, or its entry process was removed
	RequestNotRun   RequestState = "not-run"  // outcome is not-run; another attempt may begin
)

// RequestResult is the result of BeginRequest and FinishRequest and of a RequestQuery. Dispatch says
// whether the proposer of a BeginRequest, and no other process, may dispatch the request.
type RequestResult struct {
	Dispatch bool
	State    RequestState
	Answer   *StoredAnswer `cbor:",omitempty"`
}

// ConfigRecord is a cell file that was accepted.
type ConfigRecord struct {
	Generation cell.Generation
	Digest     string    // hexadecimal SHA-256 of Body
	Submitter  string    // as stated in the file
	From       string    // address or certificate name of the operator
	At         time.Time // time at which it was accepted
	Body       []byte    // empty if removed to stay below MaxConfigBodyBytes
}
