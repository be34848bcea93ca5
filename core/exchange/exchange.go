package exchange

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

const (
	// maxAttempts is the maximum number of dispatches of one request. The retry budget bounds the
	// retries of all requests together.
	maxAttempts = 4
	// Bounds of the interval between reads of a record whose request another entry process is
	// running. The interval doubles with each read.
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
)

// Exchange is the state of one request.
type Exchange struct {
	spec            Spec
	beginSentAt     time.Time // when Begin was returned
	mayOwnRecord    bool      // this exchange owns the record, or may own it
	dispatchAllowed bool      // the record allows this exchange to dispatch
	mayHaveRun      bool      // an attempt may have reached the handler of a backend server
	attempts        int
	tried           []cell.BackendName
	lastFailure     Reason // reason of the last failed attempt
	pollInterval    time.Duration
}

// New returns the exchange of a request.
func New(spec Spec) *Exchange { return &Exchange{spec: spec, pollInterval: minPollInterval} }

// Start returns the first effect of the exchange.
func (x *Exchange) Start(now time.Time) Effect {
	switch {
	case x.spec.StaleConfig && !x.spec.Idempotent:
		return x.concludeNotRun(ReasonStaleConfig)
	case !now.Before(x.spec.Deadline):
		return x.concludeNotRun(ReasonDeadline)
	case x.spec.Keyed:
		return x.begin(now)
	default:
		return Enqueue{}
	}
}

func (x *Exchange) begin(now time.Time) Effect {
	x.beginSentAt = now
	return Begin{}
}

// Began handles the answer to Begin.
func (x *Exchange) Began(now time.Time, b BeginResult) Effect {
	switch {
	case b.Err:
		// The begin may have been recorded. Nothing was dispatched, so a record that exists is
		// finished as not run.
		x.mayOwnRecord = true
		return x.concludeNotRun(ReasonControlUnavailable)
	case b.Refusal == state.RefusalKeyReused:
		return x.concludeNotRun(ReasonKeyReused)
	case b.Refusal == state.RefusalUnknownMember:
		return x.concludeNotRun(ReasonNotReady)
	case b.Refusal != state.RefusalNone:
		return x.concludeNotRun(ReasonControlUnavailable)
	case b.Request.Dispatch:
		x.mayOwnRecord, x.dispatchAllowed = true, true
		return x.enqueue(now)
	default:
		return x.answerRepeat(now, b.Request)
	}
}

// Polled handles the answer to Poll. If the record no longer exists, the first request was not run,
// and this one tries to begin.
func (x *Exchange) Polled(now time.Time, b BeginResult) Effect {
	if b.Err {
		return x.pollAgain(now)
	}
	if !b.Found || b.Request.State == state.RequestNotRun {
		return x.begin(now)
	}
	return x.answerRepeat(now, b.Request)
}

// answerRepeat handles a request whose key was begun by another request.
func (x *Exchange) answerRepeat(now time.Time, r state.RequestResult) Effect {
	switch {
	case r.State == state.RequestFinished && r.Answer != nil:
		return Replay{Answer: *r.Answer}
	case r.State == state.RequestFinished:
		// The answer was too large to be stored.
		return Conclude{Outcome: state.OutcomeDone, Reason: ReasonTooLarge}
	case r.State == state.RequestUnknown:
		return Conclude{Outcome: state.OutcomeUnknown, Reason: ReasonKeyUnknown}
	default:
		return x.pollAgain(now)
	}
}

func (x *Exchange) pollAgain(now time.Time) Effect {
	remaining := x.spec.Deadline.Sub(now)
	if remaining <= 0 {
		return Conclude{Outcome: state.OutcomeUnknown, Reason: ReasonKeyRunning}
	}
	after := min(x.pollInterval, remaining)
	x.pollInterval = min(2*x.pollInterval, maxPollInterval)
	return Poll{After: after}
}

func (x *Exchange) enqueue(now time.Time) Effect {
	if reason := x.checkDispatchTime(now); reason != ReasonNone {
		return x.concludeFailure(reason)
	}
	return Enqueue{Exclude: x.tried, Retry: x.attempts > 0}
}

// Granted handles the choice of a backend server for the next attempt.
func (x *Exchange) Granted(now time.Time, backend cell.BackendName) Effect {
	if reason := x.checkDispatchTime(now); reason != ReasonNone {
		return x.concludeFailure(reason)
	}
	x.attempts++
	x.tried = append(x.tried, backend)
	return Dispatch{}
}

// checkDispatchTime returns ReasonDeadline if it is too late for a dispatch. A keyed request is
// dispatched only within its window, because the control group may give up its record after that.
func (x *Exchange) checkDispatchTime(now time.Time) Reason {
	windowEnd := x.beginSentAt.Add(x.spec.DispatchWindow)
	if !now.Before(x.spec.Deadline) || (x.spec.Keyed && !now.Before(windowEnd)) {
		return ReasonDeadline
	}
	return ReasonNone
}

// NotGranted handles a refusal by admission or routing. If an earlier attempt failed, its reason
// replaces ReasonNoBackend, which would only tell that no other server was left.
func (x *Exchange) NotGranted(reason Reason) Effect {
	if reason == ReasonNoBackend && x.lastFailure != ReasonNone {
		reason = x.lastFailure
	}
	return x.concludeFailure(reason)
}

// Attempted handles the end of a dispatch.
func (x *Exchange) Attempted(now time.Time, a Attempt) Effect {
	if a.Result == AttemptAnswered {
		return Conclude{Outcome: state.OutcomeDone, Record: x.mayOwnRecord, Recorded: state.OutcomeDone}
	}
	if a.Result == AttemptUncertain {
		x.mayHaveRun = true
	}
	x.lastFailure = a.Reason
	if a.AnswerStarted {
		return Conclude{Outcome: state.OutcomeUnknown, Reason: a.Reason, Abort: true, Record: x.mayOwnRecord, Recorded: state.OutcomeUnknown}
	}
	if x.attempts < maxAttempts && x.safeToRepeat() && x.checkDispatchTime(now) == ReasonNone {
		return x.enqueue(now)
	}
	return x.concludeFailure(a.Reason)
}

// safeToRepeat reports whether another dispatch cannot run a non-idempotent request twice.
func (x *Exchange) safeToRepeat() bool { return x.spec.Idempotent || !x.mayHaveRun }

// concludeFailure concludes the exchange without an answer.
func (x *Exchange) concludeFailure(reason Reason) Effect {
	if x.mayHaveRun {
		return Conclude{Outcome: state.OutcomeUnknown, Reason: reason, Record: x.mayOwnRecord, Recorded: state.OutcomeUnknown}
	}
	return x.concludeNotRun(reason)
}

// concludeNotRun concludes an exchange whose request was not run. As long as the record of its key
// has not been read, an earlier request with the same key may have run, so the caller is told that
// the outcome is unknown. A reused key belongs to a different request and does not affect this one.
func (x *Exchange) concludeNotRun(reason Reason) Effect {
	outcome := state.OutcomeNotRun
	if x.spec.Keyed && !x.dispatchAllowed && reason != ReasonKeyReused {
		outcome = state.OutcomeUnknown
	}
	return Conclude{Outcome: outcome, Reason: reason, Record: x.mayOwnRecord, Recorded: state.OutcomeNotRun}
}

// Check is the name of a check in docs/design.md, section 9.
type Check string

// Checks of an exchange.
const (
	CheckNone         Check = ""
	CheckNotRun       Check = "not-run-never-reached"
	CheckNonIdempOnce Check = "non-idempotent-once"
)

// Violation returns the check that an effect of this exchange violates, or CheckNone.
func (x *Exchange) Violation(e Effect) Check {
	switch e := e.(type) {
	case Conclude:
		if e.Outcome == state.OutcomeNotRun && x.mayHaveRun {
			return CheckNotRun
		}
	case Dispatch:
		if !x.safeToRepeat() {
			return CheckNonIdempOnce
		}
	}
	return CheckNone
}
