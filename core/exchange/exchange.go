package exchange

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

const (
	// maxAttempts bounds the dispatches of one request. The retry budget bounds
	// the retries of all requests together.
	maxAttempts = 4
	// Bounds of the pause between reads of a record that another entry process
	// is running. It doubles with each read.
	pollMin = 20 * time.Millisecond
	pollMax = 500 * time.Millisecond
)

// Exchange is one request.
type Exchange struct {
	spec      Spec
	begunAt   time.Time // when the begin was sent
	begun     bool      // this exchange owns the record, or may own it
	granted   bool      // the record gave it the right to dispatch
	uncertain bool      // an attempt may have reached a backend server's handler
	attempts  int
	tried     []cell.BackendName
	last      Reason // of the last failed attempt
	pause     time.Duration
}

// New returns the exchange of a request.
func New(spec Spec) *Exchange { return &Exchange{spec: spec, pause: pollMin} }

// Start returns the first effect.
func (x *Exchange) Start(now time.Time) Effect {
	switch {
	case x.spec.Stale && !x.spec.Idempotent:
		return x.notRun(ReasonStaleConfig)
	case !now.Before(x.spec.Deadline):
		return x.notRun(ReasonDeadline)
	case x.spec.Keyed:
		return x.begin(now)
	default:
		return Enqueue{}
	}
}

func (x *Exchange) begin(now time.Time) Effect {
	x.begunAt = now
	return Begin{}
}

// Began takes the answer to Begin.
func (x *Exchange) Began(now time.Time, b Begun) Effect {
	switch {
	case b.Err:
		// The begin may have been recorded. Nothing was dispatched, so the
		// record, if there is one, is finished as not run.
		x.begun = true
		return x.notRun(ReasonControlUnavailable)
	case b.Refusal == state.RefusalKeyReused:
		return x.notRun(ReasonKeyReused)
	case b.Refusal == state.RefusalUnknownMember:
		return x.notRun(ReasonNotReady)
	case b.Refusal != state.RefusalNone:
		return x.notRun(ReasonControlUnavailable)
	case b.Request.Dispatch:
		x.begun, x.granted = true, true
		return x.enqueue(now)
	default:
		return x.repeated(now, b.Request)
	}
}

// Polled takes the answer to Poll. Where the record is gone, the first request
// was not run and this one tries to begin.
func (x *Exchange) Polled(now time.Time, b Begun) Effect {
	if b.Err {
		return x.wait(now)
	}
	if !b.Found || b.Request.State == state.RequestNotRun {
		return x.begin(now)
	}
	return x.repeated(now, b.Request)
}

// repeated answers a request whose key another request has begun.
func (x *Exchange) repeated(now time.Time, r state.RequestResult) Effect {
	switch {
	case r.State == state.RequestFinished && r.Answer != nil:
		return Replay{Answer: *r.Answer}
	case r.State == state.RequestFinished:
		// The answer was too large to keep.
		return Conclude{Outcome: state.OutcomeDone, Reason: ReasonTooLarge}
	case r.State == state.RequestUnknown:
		return Conclude{Outcome: state.OutcomeUnknown, Reason: ReasonKeyUnknown}
	default:
		return x.wait(now)
	}
}

func (x *Exchange) wait(now time.Time) Effect {
	remaining := x.spec.Deadline.Sub(now)
	if remaining <= 0 {
		return Conclude{Outcome: state.OutcomeUnknown, Reason: ReasonKeyRunning}
	}
	after := min(x.pause, remaining)
	x.pause = min(2*x.pause, pollMax)
	return Poll{After: after}
}

func (x *Exchange) enqueue(now time.Time) Effect {
	if reason := x.tooLate(now); reason != ReasonNone {
		return x.fail(reason)
	}
	return Enqueue{Exclude: x.tried, Retry: x.attempts > 0}
}

// Granted takes a backend server for the next attempt.
func (x *Exchange) Granted(now time.Time, backend cell.BackendName) Effect {
	if reason := x.tooLate(now); reason != ReasonNone {
		return x.fail(reason)
	}
	x.attempts++
	x.tried = append(x.tried, backend)
	return Dispatch{}
}

// tooLate reports why nothing may be dispatched any more. A keyed request is
// dispatched only within its window, because its record may be given up by the
// control group after that.
func (x *Exchange) tooLate(now time.Time) Reason {
	windowEnd := x.begunAt.Add(x.spec.DispatchWindow)
	if !now.Before(x.spec.Deadline) || (x.spec.Keyed && !now.Before(windowEnd)) {
		return ReasonDeadline
	}
	return ReasonNone
}

// NotGranted takes a refusal of admission or routing. Where a former attempt
// failed, its reason says more than that no other server was left.
func (x *Exchange) NotGranted(reason Reason) Effect {
	if reason == ReasonNoBackend && x.last != ReasonNone {
		reason = x.last
	}
	return x.fail(reason)
}

// Attempted takes the end of a dispatch.
func (x *Exchange) Attempted(now time.Time, a Attempt) Effect {
	if a.Reach == ReachAnswered {
		return Conclude{Outcome: state.OutcomeDone, Record: x.begun, Recorded: state.OutcomeDone}
	}
	if a.Reach == ReachUncertain {
		x.uncertain = true
	}
	x.last = a.Reason
	if a.Passed {
		return Conclude{Outcome: state.OutcomeUnknown, Reason: a.Reason, Abort: true, Record: x.begun, Recorded: state.OutcomeUnknown}
	}
	if x.attempts < maxAttempts && x.mayRepeat() && x.tooLate(now) == ReasonNone {
		return x.enqueue(now)
	}
	return x.fail(a.Reason)
}

// mayRepeat reports whether another dispatch cannot run a non-idempotent
// request twice.
func (x *Exchange) mayRepeat() bool { return x.spec.Idempotent || !x.uncertain }

// fail concludes without an answer.
func (x *Exchange) fail(reason Reason) Effect {
	if x.uncertain {
		return Conclude{Outcome: state.OutcomeUnknown, Reason: reason, Record: x.begun, Recorded: state.OutcomeUnknown}
	}
	return x.notRun(reason)
}

// notRun concludes an exchange that dispatched nothing. Before the record of
// its key was read, an earlier request with the key may have run: its caller
// must not take a refusal of the repeat for the word that nothing was run.
// Another request under a used key is a request of its own.
func (x *Exchange) notRun(reason Reason) Effect {
	outcome := state.OutcomeNotRun
	if x.spec.Keyed && !x.granted && reason != ReasonKeyReused {
		outcome = state.OutcomeUnknown
	}
	return Conclude{Outcome: outcome, Reason: reason, Record: x.begun, Recorded: state.OutcomeNotRun}
}

// Check names a check of docs/design.md, section 9.
type Check string

// Checks of an exchange.
const (
	CheckNone         Check = ""
	CheckNotRun       Check = "not-run-never-reached"
	CheckNonIdempOnce Check = "non-idempotent-once"
)

// Violation returns the check that an effect of this exchange breaks.
func (x *Exchange) Violation(e Effect) Check {
	switch e := e.(type) {
	case Conclude:
		if e.Outcome == state.OutcomeNotRun && x.uncertain {
			return CheckNotRun
		}
	case Dispatch:
		if !x.mayRepeat() {
			return CheckNonIdempOnce
		}
	}
	return CheckNone
}
