package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// nextHold returns the next hold to "w" within a second.
func (b *testbed) nextHold() dispatch.Hold {
	b.t.Helper()
	for deadline := b.now.Add(time.Second); b.now.Before(deadline); {
		if e := b.tick(10 * time.Millisecond); len(e.Holds) > 0 {
			return e.Holds[0]
		}
	}
	b.t.Fatal("no hold within a second")
	return dispatch.Hold{}
}

// Guards against a hold that extends the lease of a late run because it is carried out after the start.
func TestStartFencesTheHoldBeforeIt(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	hold := b.nextHold()
	if hold.LeaseUntil == 0 {
		t.Fatalf("hold %+v, want a lease end", hold)
	}
	b.apply(submitJob("j", workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}}))
	starts := b.commit(b.tick(replanDelay)).Starts
	if len(starts) != 2 || starts[0].Token <= hold.Token || starts[1].Token != starts[0].Token {
		t.Errorf("starts %+v, want two with one token above %#x", starts, hold.Token)
	}
}

// Guards against a late hold that extends the lease of a run which an unanswered start begins later.
func TestHoldHasNoLeaseEndWhileAStartIsUnresolved(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.answerHolds(dispatch.HoldReport{})
	if hold := b.nextHold(); hold.LeaseUntil != 0 {
		t.Errorf("hold %+v while the start is in flight", hold)
	}
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 0)
	b.answerHolds(dispatch.HoldReport{})
	if hold := b.nextHold(); hold.LeaseUntil != 0 || hold.Wait != 0 {
		t.Errorf("hold %+v after the start got no answer, want neither a lease end nor a wait", hold)
	}
	b.answerHolds(dispatch.HoldReport{Active: []dispatch.ActiveRun{{Task: starts[0].Task, Run: starts[0].Run}}})
	if hold := b.nextHold(); hold.LeaseUntil == 0 {
		t.Errorf("hold %+v after the run was listed, want a lease end", hold)
	}
}

// Guards against a second copy of a start that extends the lease of the run that the first one begins.
func TestStartIsRepeatedOnlyToAWorkerThatAnswers(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 0)
	for range 20 {
		if repeated := b.tick(10 * time.Millisecond).Starts; len(repeated) > 0 {
			t.Fatalf("start %+v before a hold was answered", repeated[0])
		}
	}
	b.answerHolds(dispatch.HoldReport{})
	if repeated := b.tick(100 * time.Millisecond).Starts; len(repeated) != 1 || repeated[0].Token <= starts[0].Token {
		t.Errorf("starts %+v after a hold was answered, want one with a token above %#x", repeated, starts[0].Token)
	}
}

// Guards against a wait that ends before a lease that a late hold has extended, and against a job that
// waits 14 s, and is lost, although no late call can extend the lease (platform rule LOST).
func TestWaitCoversTheUnansweredCallsOnly(t *testing.T) {
	for _, c := range []struct {
		answered int // holds that the worker answers after the start
		min, max time.Duration
	}{
		{answered: 0, min: 9 * time.Second, max: 11 * time.Second},
		// The second start and the last hold may each extend the lease of the late run.
		{answered: 2, min: 15 * time.Second, max: 20 * time.Second},
	} {
		b := newTestbed(t, configureQueues(advisedQueue("a", 0, time.Millisecond)), registerWorker("w", 1), submitJobTo("a", "j", oneTask))
		var startedAt, placedAt time.Time
		answers := c.answered
		stub := workerStub{
			start: func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNoAnswer },
			stop:  func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNoAnswer },
			hold: func(h dispatch.Hold) dispatch.HoldReport {
				if !startedAt.IsZero() {
					answers--
				}
				if answers < 0 {
					return dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer}
				}
				return dispatch.HoldReport{Boot: h.Boot}
			},
			observe: func(e dispatch.Effects) {
				b.grantAll(e, 2*time.Second)
				for _, s := range e.Starts {
					if s.Worker == "spare" && placedAt.IsZero() {
						placedAt = b.now
					} else if startedAt.IsZero() {
						startedAt = b.now
					}
				}
			},
		}
		for startedAt.IsZero() && b.now.Before(epoch.Add(time.Second)) {
			b.runFor(10*time.Millisecond, stub)
		}
		b.apply(registerWorker("spare", 1))
		b.runFor(20*time.Second, stub)
		if after := placedAt.Sub(startedAt); after < c.min || after > c.max {
			t.Errorf("%d answered holds: placed elsewhere after %v, want %v to %v", c.answered, after, c.min, c.max)
		}
	}
}

// Guards against a start that is carried out after its stop, refused as old, and extends the lease of other
// late runs.
func TestStopFencesTheStartBeforeIt(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 0)
	for deadline := b.now.Add(gangTimeout); b.now.Before(deadline); {
		stops := b.tick(10 * time.Millisecond).Stops
		if len(stops) == 0 {
			continue
		}
		if stops[0].Token <= starts[0].Token {
			t.Errorf("stop %+v, want a token above %#x", stops[0], starts[0].Token)
		}
		return
	}
	t.Errorf("no stop within %v", gangTimeout)
}
