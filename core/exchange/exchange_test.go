package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	_ "github.com/godwitlink/godwitlink/internal/rapidseed"
)

var start = time.Unix(1_800_000_000, 0)

// simulation answers the effects of one exchange with randomly drawn events and records whether the
// request may have run.
type simulation struct {
	t           *rapid.T
	now         time.Time
	spec        Spec
	beginSentAt time.Time
	dispatches  int
	mayHaveRun  int // dispatches that may have reached a handler
	granted     cell.BackendName
	failed      []cell.BackendName
	concluded   *Conclude
	replayed    bool
}

func (w *simulation) advance(label string, limit time.Duration) {
	w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(limit)).Draw(w.t, label)))
}

func (w *simulation) drawBegun() BeginResult {
	switch rapid.IntRange(0, 6).Draw(w.t, "begun") {
	case 0:
		return BeginResult{Err: true}
	case 1:
		return BeginResult{Refusal: rapid.SampledFrom([]state.Refusal{
			state.RefusalKeyReused, state.RefusalUnknownMember, state.RefusalAttemptFinished,
		}).Draw(w.t, "refusal")}
	case 2:
		return BeginResult{Found: true, Request: state.RequestResult{State: rapid.SampledFrom([]state.RequestState{
			state.RequestRunning, state.RequestFinished, state.RequestUnknown,
		}).Draw(w.t, "state")}}
	default:
		return BeginResult{Found: true, Request: state.RequestResult{Dispatch: true, State: state.RequestRunning}}
	}
}

func (w *simulation) drawPolled() BeginResult {
	if rapid.Bool().Draw(w.t, "gone") {
		return BeginResult{Found: rapid.Bool().Draw(w.t, "found"), Request: state.RequestResult{State: state.RequestNotRun}}
	}
	b := w.drawBegun()
	b.Request.Dispatch = false
	return b
}

func (w *simulation) drawAttempt() Attempt {
	a := Attempt{Backend: w.granted, Reason: ReasonBrokenAnswer}
	a.Result = rapid.SampledFrom([]AttemptResult{AttemptNotSent, AttemptRefused, AttemptUncertain, AttemptAnswered}).Draw(w.t, "reach")
	if a.Result == AttemptUncertain {
		a.AnswerStarted = rapid.Bool().Draw(w.t, "passed")
	}
	if a.Result == AttemptUncertain || a.Result == AttemptAnswered {
		w.mayHaveRun++
	}
	w.failed = append(w.failed, a.Backend)
	return a
}

// step carries out one effect and returns the next one.
func (w *simulation) step(x *Exchange, effect Effect) Effect {
	switch e := effect.(type) {
	case Begin:
		w.beginSentAt = w.now
		w.advance("begin", 700*time.Millisecond)
		return x.Began(w.now, w.drawBegun())
	case Poll:
		w.now = w.now.Add(e.After)
		return x.Polled(w.now, w.drawPolled())
	case Enqueue:
		w.advance("queue", 700*time.Millisecond)
		for _, server := range w.failed {
			if !slices.Contains(e.Exclude, server) {
				w.t.Fatalf("backend server %s failed but is not excluded", server)
			}
		}
		if rapid.IntRange(0, 4).Draw(w.t, "granted") == 0 {
			return x.NotGranted(ReasonNoBackend)
		}
		w.granted = cell.BackendName(fmt.Sprintf("b%d", len(w.failed)))
		return x.Granted(w.now, w.granted)
	case Dispatch:
		w.checkDispatch()
		w.advance("attempt", 300*time.Millisecond)
		return x.Attempted(w.now, w.drawAttempt())
	case Replay:
		w.replayed = true
	case Conclude:
		w.concluded = &e
	}
	return nil
}

func (w *simulation) checkDispatch() {
	w.dispatches++
	if !w.now.Before(w.spec.Deadline) {
		w.t.Fatal("dispatched after the deadline")
	}
	if w.spec.Keyed && w.now.Sub(w.beginSentAt) >= w.spec.DispatchWindow {
		w.t.Fatalf("dispatched %v after the begin", w.now.Sub(w.beginSentAt))
	}
	if !w.spec.Idempotent && w.mayHaveRun > 0 {
		w.t.Fatal("a non-idempotent request that may have run was dispatched again")
	}
	if !w.spec.Idempotent && w.spec.StaleConfig {
		w.t.Fatal("a non-idempotent request was dispatched under a stale configuration")
	}
}

// TestAnyOrderOfEvents guards against non-idempotent requests that run more than once, and against
// the outcome not-run for a request that may have run, under any order of events.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{
			Idempotent:     rapid.Bool().Draw(t, "idempotent"),
			StaleConfig:    rapid.IntRange(0, 9).Draw(t, "stale") == 0,
			Deadline:       start.Add(2 * time.Second),
			DispatchWindow: time.Second,
		}
		spec.Keyed = !spec.Idempotent && rapid.Bool().Draw(t, "keyed")
		w := &simulation{t: t, now: start, spec: spec}
		x := New(spec)
		effect := x.Start(w.now)
		steps := 0
		for ; effect != nil; steps++ {
			if steps > 1000 {
				t.Fatal("the exchange has not ended after 1000 steps")
			}
			if check := x.Violation(effect); check != CheckNone {
				t.Fatalf("check %s violated by effect %T", check, effect)
			}
			effect = w.step(x, effect)
		}
		w.checkEnd(x)
	})
}

func (w *simulation) checkEnd(x *Exchange) {
	if w.replayed {
		return
	}
	c := *w.concluded
	if c.Outcome == state.OutcomeNotRun && w.mayHaveRun > 0 {
		w.t.Fatalf("not-run (%s) after %d attempts that may have run", c.Reason, w.mayHaveRun)
	}
	if c.Outcome == state.OutcomeNotRun && c.Reason == ReasonNone {
		w.t.Fatal("outcome not-run without a reason code")
	}
	if w.dispatches > 0 && w.spec.Keyed && !c.Record {
		w.t.Fatalf("outcome %s of a dispatched request is not recorded", c.Outcome)
	}
}
