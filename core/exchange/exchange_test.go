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

func (s *simulation) advance(label string, limit time.Duration) {
	s.now = s.now.Add(time.Duration(rapid.Int64Range(0, int64(limit)).Draw(s.t, label)))
}

func (s *simulation) drawBegun() BeginResult {
	switch rapid.IntRange(0, 6).Draw(s.t, "begun") {
	case 0:
		return BeginResult{Err: true}
	case 1:
		return BeginResult{Refusal: rapid.SampledFrom([]state.Refusal{
			state.RefusalKeyReused, state.RefusalUnknownMember, state.RefusalAttemptFinished,
		}).Draw(s.t, "refusal")}
	case 2:
		return BeginResult{Found: true, Request: state.RequestResult{State: rapid.SampledFrom([]state.RequestState{
			state.RequestRunning, state.RequestFinished, state.RequestUnknown,
		}).Draw(s.t, "state")}}
	default:
		return BeginResult{Found: true, Request: state.RequestResult{Dispatch: true, State: state.RequestRunning}}
	}
}

func (s *simulation) drawPolled() BeginResult {
	if rapid.Bool().Draw(s.t, "gone") {
		return BeginResult{Found: rapid.Bool().Draw(s.t, "found"), Request: state.RequestResult{State: state.RequestNotRun}}
	}
	b := s.drawBegun()
	b.Request.Dispatch = false
	return b
}

func (s *simulation) drawAttempt() Attempt {
	a := Attempt{Backend: s.granted, Reason: ReasonBrokenAnswer}
	a.Result = rapid.SampledFrom([]AttemptResult{AttemptNotSent, AttemptRefused, AttemptUncertain, AttemptAnswered}).Draw(s.t, "reach")
	if a.Result == AttemptUncertain {
		a.AnswerStarted = rapid.Bool().Draw(s.t, "answer started")
	}
	if a.Result == AttemptUncertain || a.Result == AttemptAnswered {
		s.mayHaveRun++
	}
	s.failed = append(s.failed, a.Backend)
	return a
}

// step carries out one effect and returns the next one.
func (s *simulation) step(x *Exchange, effect Effect) Effect {
	switch e := effect.(type) {
	case Begin:
		s.beginSentAt = s.now
		s.advance("begin", 700*time.Millisecond)
		return x.Began(s.now, s.drawBegun())
	case Poll:
		s.now = s.now.Add(e.After)
		return x.Polled(s.now, s.drawPolled())
	case Enqueue:
		s.advance("queue", 700*time.Millisecond)
		for _, server := range s.failed {
			if !slices.Contains(e.Exclude, server) {
				s.t.Fatalf("backend server %s failed but is not excluded", server)
			}
		}
		if rapid.IntRange(0, 4).Draw(s.t, "granted") == 0 {
			return x.NotGranted(ReasonNoBackend)
		}
		s.granted = cell.BackendName(fmt.Sprintf("b%d", len(s.failed)))
		return x.Granted(s.now, s.granted)
	case Dispatch:
		s.checkDispatch()
		s.advance("attempt", 300*time.Millisecond)
		return x.Attempted(s.now, s.drawAttempt())
	case Replay:
		s.replayed = true
	case Conclude:
		s.concluded = &e
	}
	return nil
}

func (s *simulation) checkDispatch() {
	s.dispatches++
	if !s.now.Before(s.spec.Deadline) {
		s.t.Fatal("dispatched after the deadline")
	}
	if s.spec.Keyed && s.now.Sub(s.beginSentAt) >= s.spec.DispatchWindow {
		s.t.Fatalf("dispatched %v after the begin", s.now.Sub(s.beginSentAt))
	}
	if !s.spec.Idempotent && s.mayHaveRun > 0 {
		s.t.Fatal("a non-idempotent request that may have run was dispatched again")
	}
	if !s.spec.Idempotent && s.spec.StaleConfig {
		s.t.Fatal("a non-idempotent request was dispatched under a stale configuration")
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
		s := &simulation{t: t, now: start, spec: spec}
		x := New(spec)
		effect := x.Start(s.now)
		steps := 0
		for ; effect != nil; steps++ {
			if steps > 1000 {
				t.Fatal("the exchange has not ended after 1000 steps")
			}
			if check := x.Violation(effect); check != CheckNone {
				t.Fatalf("check %s violated by effect %T", check, effect)
			}
			effect = s.step(x, effect)
		}
		s.checkEnd(x)
	})
}

func (s *simulation) checkEnd(x *Exchange) {
	if s.replayed {
		return
	}
	c := *s.concluded
	if c.Outcome == state.OutcomeNotRun && s.mayHaveRun > 0 {
		s.t.Fatalf("not-run (%s) after %d attempts that may have run", c.Reason, s.mayHaveRun)
	}
	if c.Outcome == state.OutcomeNotRun && c.Reason == ReasonNone {
		s.t.Fatal("outcome not-run without a reason code")
	}
	if s.dispatches > 0 && s.spec.Keyed && !c.Record {
		s.t.Fatalf("outcome %s of a dispatched request is not recorded", c.Outcome)
	}
}
