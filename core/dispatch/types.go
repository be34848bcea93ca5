package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Options configures a Core.
type Options struct {
	// Term is the leader's term. It forms the upper bits of the fencing tokens.
	Term uint64
	// Lease is how far each call extends a worker's lease.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts. A longer one is shortened to it.
	MaxLease time.Duration
	// HoldWait is the maximum time a worker may wait for a run to end before it answers a hold.
	HoldWait time.Duration
	// LateAnswerTime is how long after a hold was reported as unanswered its answer may still be reported
	// by LateHoldAnswered.
	LateAnswerTime time.Duration
	// ClockLagPPM is the maximum rate, in parts per million, by which a worker's clock may run
	// slower than the leader's.
	ClockLagPPM int64
	// SelfAddress is the address of this process as an advice requester.
	SelfAddress string
	// TrustDeclared is set if run times are expected as declared, whatever finished runs have taken.
	TrustDeclared bool
}

// Call identifies the worker that a call goes to and carries the fencing token.
type Call struct {
	Worker  workload.WorkerID
	Boot    workload.Boot
	Address string
	Token   uint64
}

// Hold extends the lease of a worker and long-polls for its runs and ends.
type Hold struct {
	Call
	LeaseUntil int64         // end of the lease by the worker's clock, in ms; 0 leaves it unchanged
	AckedEnd   uint64        // the worker may forget ends up to this number
	Wait       time.Duration // how long the worker may wait for an end before it answers
}

// Start tells a worker to begin a run.
type Start struct {
	Call
	Task       workload.TaskID
	Run        workload.RunNumber
	LeaseUntil int64 // as in Hold
	Payload    string
	Checkpoint string
	Ticket     string
	Timeout    time.Duration
}

// Stop tells a worker to end a run, or to refuse the run if its start arrives later.
type Stop struct {
	Call
	Task workload.TaskID
	Run  workload.RunNumber
}

// AdviceCall asks the adviser which of the workers may run a step.
type AdviceCall struct {
	ID        uint64
	Requester string // address of the process that calls the adviser
	Step      workload.StepID
	Workers   []workload.WorkerID
	Timeout   time.Duration
}

// Effects lists what the owner must do. The messages may be sent in any order.
type Effects struct {
	Proposals []Proposal
	Holds     []Hold
	Starts    []Start
	Stops     []Stop
	Advice    []AdviceCall
	// DroppedAdvice lists the advice calls whose answers are of no use any more.
	DroppedAdvice []uint64
	Decisions     []Decision
	RunTimes      []RunTime
	LateJobs      []LateJob
	Deadline      time.Time // time of the next call to Tick at the latest; zero if none is needed
}

// Proposal is a command to be committed. The ID is passed to ProposalCommitted or ProposalFailed.
type Proposal struct {
	ID      uint64
	Command workload.Command
}

// Outcome is the result of a call to a worker.
type Outcome uint8

// The results of a call to a worker.
const (
	OutcomeOK           Outcome = iota
	OutcomeNoAnswer             // the call may have been carried out or may still be
	OutcomeNotSent              // the call never left this process
	OutcomeOtherWorker          // another worker answered at the address
	OutcomeLaterBoot            // a later boot of the worker answered
	OutcomeFenced               // the worker has seen a higher token
	OutcomeRunClosed            // this run or a later one of the task was ended or stopped there before
	OutcomeLeaseExpired         // the worker's lease had expired
	OutcomeNoCapacity           // the worker lacks free resources
	OutcomeBadTicket            // the ticket is missing or has expired
	OutcomeUnhealthy            // the worker rejected the call because it is unhealthy
	OutcomeRefused              // the worker did not accept the call
	OutcomeNoSocket             // this process had no socket for the call, so it was not sent
	OutcomeNotPermitted         // the leader lease ended, or no process could take the call, before it was sent
)

// HoldReport is the answer to a Hold.
type HoldReport struct {
	Outcome Outcome
	Clock   int64 // the worker's clock, in ms
	Boot    workload.Boot
	Active  []ActiveRun
	Ends    []ListedEnd
}

// ActiveRun is a run that a worker reports as running.
type ActiveRun struct {
	Task       workload.TaskID
	Run        workload.RunNumber
	Checkpoint string
	Percent    int
}

// ListedEnd is the end of a run as reported by a worker.
type ListedEnd struct {
	Number     uint64
	Task       workload.TaskID
	Run        workload.RunNumber
	Result     workload.RunEnd
	Checkpoint string
}

// Grant is the answer to an AdviceCall.
type Grant struct {
	OK        bool
	Busy      bool // the adviser rejected the call because too many calls are waiting
	Tickets   map[workload.WorkerID]string
	TicketTTL time.Duration
	// ReceivedAt is when the answer arrived at this process, which may be some time before it is passed to
	// the core. Zero stands for the latter time.
	ReceivedAt time.Time
}

// receivedAt returns when a grant arrived that is passed to the core now.
func (g Grant) receivedAt(now time.Time) time.Time {
	if g.ReceivedAt.IsZero() || g.ReceivedAt.After(now) {
		return now
	}
	return g.ReceivedAt
}

// Decision is a decision of the dispatcher or a change in its view of a worker, for the process
// log.
type Decision struct {
	Kind    DecisionKind
	Job     workload.JobID
	Step    int
	Task    int
	Run     workload.RunNumber
	Worker  workload.WorkerID
	Team    workload.TeamName
	Boot    workload.Boot
	OpenRun workload.RunNumber // the open run of the task if it is not Run
	Count   int                // number of tasks, runs or workers, depending on Kind
	Reason  string
	Age     time.Duration // age of the information that the decision is based on
	// Remaining is how long a run would still have taken, and Expected how long a run of its step takes; 0
	// if unknown.
	Remaining, Expected time.Duration
}

// DecisionKind is the type of a decision. Its text is used as a metric label.
type DecisionKind string

const (
	DecisionAdopted       DecisionKind = "worker-adopted"
	DecisionUnresponsive  DecisionKind = "worker-silent"
	DecisionResponsive    DecisionKind = "worker-back"
	DecisionBootEnded     DecisionKind = "worker-boot-ended"
	DecisionAvoided       DecisionKind = "worker-avoided"
	DecisionPlaced        DecisionKind = "step-placed"
	DecisionRefused       DecisionKind = "placement-refused"
	DecisionAdviceAsked   DecisionKind = "advice-asked"
	DecisionAdviceGranted DecisionKind = "advice-granted"
	DecisionAdviceFailed  DecisionKind = "advice-failed"
	DecisionRunStopped    DecisionKind = "run-stopped"
	DecisionRunEnded      DecisionKind = "run-ended"
	DecisionFenced        DecisionKind = "leader-fenced"
	DecisionStartInDoubt  DecisionKind = "start-in-doubt"
	DecisionClosedRun     DecisionKind = "closed-run-found"
	DecisionOverlap       DecisionKind = "runs-overlap"
	DecisionTaskBlocked   DecisionKind = "task-embargoed"
	DecisionRunGivenUp    DecisionKind = "run-given-up"
	DecisionUncountedEnd  DecisionKind = "done-end-uncounted"
	DecisionTeamWarning   DecisionKind = "team-warning"
	DecisionBoundBegins   DecisionKind = "bound-begins"
	DecisionBoundEnds     DecisionKind = "bound-ends"
)
