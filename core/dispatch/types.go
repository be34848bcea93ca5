package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Options of a Core.
type Options struct {
	Token uint64 // of the leader: its term, the upper bits of fencing tokens
	// Lease is how far a worker's lease is extended with each call.
	Lease time.Duration
	// HoldWait is how long a worker may wait for an end before it answers.
	HoldWait time.Duration
	// ClockLagPPM is by how many parts per million a worker's clock may be
	// slower than this one.
	ClockLagPPM int64
	// Self is the address under which this process itself takes advice calls.
	Self string
}

// Call addresses a worker.
type Call struct {
	Worker  workload.WorkerID
	Boot    workload.Boot
	Address string
	Token   uint64
}

// Hold extends the lease of a worker and asks for its runs and ends.
type Hold struct {
	Call
	Until int64  // end of the lease by the worker's clock, in ms; 0 leaves it
	Seen  uint64 // ends up to this number may be forgotten
	Wait  time.Duration
}

// Start tells a worker to begin a run.
type Start struct {
	Call
	Task       workload.TaskID
	Run        workload.RunNumber
	Until      int64
	Payload    string
	Checkpoint string
	Ticket     string
	Timeout    time.Duration
}

// Stop tells a worker to end a run, or to refuse it where it comes later.
type Stop struct {
	Call
	Task workload.TaskID
	Run  workload.RunNumber
}

// AdviceCall asks which of the workers may run a step.
type AdviceCall struct {
	ID      uint64
	Caller  string // address of the process that makes the call
	Step    workload.StepID
	Workers []workload.WorkerID
	Timeout time.Duration
}

// Effects is what the owner must do. Messages leave in any order.
type Effects struct {
	Proposals []Proposal
	Holds     []Hold
	Starts    []Start
	Stops     []Stop
	Advice    []AdviceCall
	Decisions []Decision
	Deadline  time.Time // call Tick then at the latest; zero for never
}

// Proposal is a command for the log. Its ID is returned by ProposalFailed.
type Proposal struct {
	ID      uint64
	Command workload.Command
}

// Outcome says what came of a call to a worker.
type Outcome uint8

// Outcomes.
const (
	OutcomeOK        Outcome = iota
	OutcomeNoAnswer          // it may have been carried out, or be later
	OutcomeNotSent           // it never left this process
	OutcomeOtherBoot         // another worker answered at the address
	OutcomeLaterBoot         // a later boot of the worker answered
	OutcomeFenced            // the worker has seen a higher token
	OutcomeOld               // the run, or a later one, ended or was stopped there
	OutcomeLate              // the lease had run out
	OutcomeNoRoom            // the worker has no room
	OutcomeBadTicket         // the ticket is missing or has run out
	OutcomeUnhealthy         // the worker did nothing because it is unhealthy
	OutcomeRefused           // the worker did not accept the call
)

// Report is the answer to a Hold.
type Report struct {
	Outcome Outcome
	Clock   int64 // of the worker, in ms
	Boot    workload.Boot
	Active  []ActiveRun
	Ends    []ListedEnd
}

// ActiveRun is a run that a worker lists as running.
type ActiveRun struct {
	Task       workload.TaskID
	Run        workload.RunNumber
	Checkpoint string
	Percent    int
}

// ListedEnd is an end that a worker lists.
type ListedEnd struct {
	Number     uint64
	Task       workload.TaskID
	Run        workload.RunNumber
	How        workload.RunEnd
	Checkpoint string
}

// Grant is the answer to an AdviceCall.
type Grant struct {
	OK        bool
	Busy      bool // the adviser has too many calls waiting
	Tickets   map[workload.WorkerID]string
	TicketTTL time.Duration
}

// Decision is a decision on a request or a belief, for the log of the process.
type Decision struct {
	Kind   DecisionKind
	Job    workload.JobID
	Step   int
	Task   int
	Run    workload.RunNumber
	Worker workload.WorkerID
	Boot   workload.Boot
	Other  workload.RunNumber // the task's open run, where another one was found
	Count  int
	Reason string
	Age    time.Duration // of the input that decided
}

// DecisionKind names a decision.
type DecisionKind string

// Kinds of decisions.
const (
	DecisionAdopted   DecisionKind = "worker-adopted"
	DecisionSilent    DecisionKind = "worker-silent"
	DecisionBack      DecisionKind = "worker-back"
	DecisionBootEnded DecisionKind = "worker-boot-ended"
	DecisionAvoided   DecisionKind = "worker-avoided"
	DecisionPlaced    DecisionKind = "step-placed"
	DecisionRefused   DecisionKind = "placement-refused"
	DecisionAsked     DecisionKind = "advice-asked"
	DecisionGranted   DecisionKind = "advice-granted"
	DecisionNoAdvice  DecisionKind = "advice-failed"
	DecisionStop      DecisionKind = "run-stopped"
	DecisionRunEnded  DecisionKind = "run-ended"
	DecisionFenced    DecisionKind = "leader-fenced"
	DecisionInDoubt   DecisionKind = "start-in-doubt"
	DecisionStray     DecisionKind = "closed-run-found"
	DecisionOverlap   DecisionKind = "runs-overlap"
	DecisionEmbargo   DecisionKind = "task-embargoed"
)
