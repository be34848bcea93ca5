package state

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Refusal is a reason code for a command that was not carried out. The empty
// refusal means that it was.
type Refusal string

// Refusals of commands.
const (
	RefusalNone              Refusal = ""
	RefusalInvalid           Refusal = "invalid"             // malformed command
	RefusalFileFaults        Refusal = "file-faults"         // the cell file has faults
	RefusalGenerationUsed    Refusal = "generation-used"     // another file holds the generation
	RefusalGenerationOld     Refusal = "generation-old"      // a higher generation is in force
	RefusalNoConfig          Refusal = "no-config"           // no file has been applied yet
	RefusalUnknownTeam       Refusal = "unknown-team"        // team not in the file
	RefusalPolicyNotAllowed  Refusal = "policy-not-allowed"  // policy not open to the team
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
	RefusalWorkerNotAdmitted Refusal = "worker-not-admitted" // pool unknown, full or limits exceeded
	RefusalWorkerRetired     Refusal = "worker-retired"      // named under retired_workers
	RefusalNoCapacity            Refusal = "no-room"             // worker cannot hold the task
	RefusalTaskNotQueued     Refusal = "task-not-queued"     // task is placed or ended
	RefusalQuotaExceeded     Refusal = "quota-exceeded"      // team would exceed its quota
	RefusalGangIncomplete    Refusal = "gang-incomplete"     // another task of the gang was refused
	RefusalUnknownRequest    Refusal = "unknown-request"     // no record of the request
	RefusalWrongAttempt      Refusal = "wrong-attempt"       // record belongs to another attempt
	RefusalAttemptFinished   Refusal = "attempt-finished"    // outcome already recorded
	RefusalTooManyRequests   Refusal = "too-many-requests"   // the limit of request records is reached
	RefusalTooManyMembers    Refusal = "too-many-members"    // max_entries entry processes have joined
	RefusalUnknownMember     Refusal = "unknown-member"      // entry process is not a member
	RefusalStillLeased       Refusal = "still-leased"        // lease of the former epoch may still run
)

// Result is the answer to a command. Refusal is set where it was not carried
// out as a whole; the field of the command's kind has the details.
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

// FileResult answers ApplyFile.
type FileResult struct {
	Generation cell.Generation // in force after the command
	Digest     string          // of the file in force
	Repeated   bool            // the same file was already in force
	Faults     strictconf.Faults
	Changes    []string // what differs from the file that was in force
}

// JobResult answers SubmitJob and CancelJob.
type JobResult struct {
	ID       cell.JobID
	State    cell.JobState
	Repeated bool // the key was known; nothing was added
}

// PlanResult answers CommitPlan, with one refusal for each placement.
type PlanResult struct {
	Placements  []Refusal
	Allocations []cell.AllocationID // 0 where refused
}

// WorkerResult answers RegisterWorker.
type WorkerResult struct {
	Epoch cell.Epoch
}

// RequestState is the state of a request record.
type RequestState string

// States of a request record.
const (
	RequestRunning  RequestState = "running"  // begun, outcome not recorded
	RequestFinished RequestState = "finished" // outcome is done
	RequestUnknown  RequestState = "unknown"  // its entry process is gone
	RequestNotRun   RequestState = "not-run"  // outcome is not-run; may be begun again
)

// RequestResult answers BeginRequest. Dispatch tells whether the proposer, and
// only it, may dispatch the request.
type RequestResult struct {
	Dispatch bool
	State    RequestState
	Answer   *StoredAnswer `cbor:",omitempty"`
}

// ConfigRecord is a cell file that was accepted.
type ConfigRecord struct {
	Generation cell.Generation
	Digest     string // hexadecimal SHA-256 of Body
	Submitter  string
	From       string
	At         time.Time
	Body       []byte
}
