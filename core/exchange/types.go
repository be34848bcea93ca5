package exchange

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// Reason is a reason code (docs/design.md, section 5.2).
type Reason string

// Reason codes of routed requests.
const (
	ReasonNone               Reason = ""
	ReasonBadRequest         Reason = "bad-request"
	ReasonTooLarge           Reason = "too-large"
	ReasonNoService          Reason = "no-service"
	ReasonQueueFull          Reason = "queue-full"
	ReasonDeadline           Reason = "deadline"
	ReasonShareExceeded      Reason = "share-exceeded"
	ReasonNoBackend          Reason = "no-backend"
	ReasonBackendRefused     Reason = "backend-refused"
	ReasonConnectFailed      Reason = "connect-failed"
	ReasonBrokenAnswer       Reason = "broken-answer"
	ReasonKeyReused          Reason = "key-reused"
	ReasonKeyRunning         Reason = "key-running"
	ReasonKeyUnknown         Reason = "key-unknown"
	ReasonStaleConfig        Reason = "stale-config"
	ReasonNotReady           Reason = "not-ready"
	ReasonDraining           Reason = "draining"
	ReasonControlUnavailable Reason = "control-unavailable"
	ReasonRetryBudget        Reason = "retry-budget"
	ReasonOverloaded         Reason = "overloaded"
)

// Spec describes a request as known when it arrives.
type Spec struct {
	Idempotent     bool
	Keyed          bool // non-idempotent with a key
	StaleConfig    bool // the configuration is no longer confirmed
	Deadline       time.Time
	DispatchWindow time.Duration
}

// AttemptResult is how far an attempt progressed.
type AttemptResult string

// Results of an attempt.
const (
	// AttemptNotSent: no byte of the request was accepted by the backend server.
	AttemptNotSent AttemptResult = "nothing"
	// AttemptRefused: the backend server answered that the request was not run.
	AttemptRefused AttemptResult = "refused"
	// AttemptUncertain: bytes were sent, but no valid answer was received.
	AttemptUncertain AttemptResult = "uncertain"
	// AttemptAnswered: a complete valid answer was received.
	AttemptAnswered AttemptResult = "answered"
)

// Attempt describes the end of one dispatch.
type Attempt struct {
	Backend cell.BackendName
	Result  AttemptResult
	Reason  Reason // why there is no answer
	// AnswerStarted is set if part of the answer has already been sent to the caller, so that no
	// other answer is possible.
	AnswerStarted bool
}

// BeginResult is the answer of the control group to Begin or Poll.
type BeginResult struct {
	Err     bool // the control group did not answer
	Refusal state.Refusal
	Found   bool // a record exists or was created
	Request state.RequestResult
}

// Effect is the next action for the caller of the package.
type Effect interface{ effect() }

// Begin proposes the begin record; its result is passed to Began.
type Begin struct{}

// Poll reads the record after a delay; its result is passed to Polled.
type Poll struct{ After time.Duration }

// Enqueue asks admission and routing for a backend server; the result is passed to Granted or
// NotGranted.
type Enqueue struct {
	Exclude []cell.BackendName
	Retry   bool
}

// Dispatch sends the request to the backend server that was passed to Granted; the end of the
// attempt is passed to Attempted.
type Dispatch struct{}

// Replay answers the caller with a stored answer.
type Replay struct{ Answer state.StoredAnswer }

// Conclude ends the exchange.
type Conclude struct {
	Outcome state.Outcome
	Reason  Reason // ReasonNone if the answer of the backend server was forwarded
	Abort   bool   // the caller has received part of an answer; close its connection
	Record  bool   // propose the finish record
	// Recorded is the outcome for the record. It differs from Outcome if this exchange did not run
	// the request and does not know whether an earlier one with its key did.
	Recorded state.Outcome
}

func (Begin) effect()    {}
func (Poll) effect()     {}
func (Enqueue) effect()  {}
func (Dispatch) effect() {}
func (Replay) effect()   {}
func (Conclude) effect() {}
