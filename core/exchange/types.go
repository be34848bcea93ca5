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

// Spec is what is known of a request when it arrives.
type Spec struct {
	Idempotent     bool
	Keyed          bool // non-idempotent with a key
	Stale          bool // the configuration is not confirmed any more
	Deadline       time.Time
	DispatchWindow time.Duration
}

// Reach is how far an attempt got.
type Reach string

// Reaches of an attempt.
const (
	// ReachNothing: no byte of the request was accepted by the backend server.
	ReachNothing Reach = "nothing"
	// ReachRefused: the backend server answered that the request was not run.
	ReachRefused Reach = "refused"
	// ReachUncertain: bytes were sent and there is no valid answer.
	ReachUncertain Reach = "uncertain"
	// ReachAnswered: a complete valid answer is there.
	ReachAnswered Reach = "answered"
)

// Attempt is the end of one dispatch.
type Attempt struct {
	Backend cell.BackendName
	Reach   Reach
	Reason  Reason // why there is no answer
	// Passed is set where bytes of the answer have gone to the caller, so that
	// nothing else can be answered any more.
	Passed bool
}

// Begun is the answer of the control group to a begin or to a read of the
// record.
type Begun struct {
	Err     bool // no answer of the control group
	Refusal state.Refusal
	Found   bool // a record exists or was created
	Request state.RequestResult
}

// Effect is the one thing to do next.
type Effect interface{ effect() }

// Begin proposes the begin record; answer with Began.
type Begin struct{}

// Poll reads the record after a pause; answer with Polled.
type Poll struct{ After time.Duration }

// Enqueue asks admission and routing for a backend server; answer with Granted
// or NotGranted.
type Enqueue struct {
	Exclude []cell.BackendName
	Retry   bool
}

// Dispatch sends the request to the backend server that was granted; answer
// with Attempted.
type Dispatch struct{}

// Replay answers the caller with a stored answer.
type Replay struct{ Answer state.StoredAnswer }

// Conclude ends the exchange.
type Conclude struct {
	Outcome state.Outcome
	Reason  Reason // ReasonNone where the backend server's answer was passed on
	Abort   bool   // the caller has part of an answer: close its connection
	Record  bool   // propose the finish record
	// Recorded is the outcome for the record. It differs from Outcome where
	// this exchange was not run and does not know of earlier ones with its key.
	Recorded state.Outcome
}

func (Begin) effect()    {}
func (Poll) effect()     {}
func (Enqueue) effect()  {}
func (Dispatch) effect() {}
func (Replay) effect()   {}
func (Conclude) effect() {}
