package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against workers that count as unresponsive, are not given tasks and lose their leases because
// the leader itself was not permitted to call them for a moment.
func TestWorkersStayResponsiveAcrossAGapInTheLeaderLease(t *testing.T) {
	b := newTestbed(t, registerWorkers(3)...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	b.apply(submitJob("j", workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 3000}}))
	starts := b.commit(b.tick(replanDelay)).Starts
	for _, start := range starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeNotPermitted, 0)
	}
	b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNotPermitted})
	e := b.tick(100 * time.Millisecond)
	if len(e.Starts) != len(starts) || len(e.Holds) != len(starts) {
		t.Errorf("%d starts and %d holds after the leader lease was renewed, want %d of each", len(e.Starts), len(e.Holds), len(starts))
	}
	for _, d := range e.Decisions {
		t.Errorf("decision %+v", d)
	}
}

// Guards against a leader that spins while it may call no worker.
func TestLeaderWaitsForItsLease(t *testing.T) {
	b := newTestbed(t, registerWorkers(3)...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	b.now = b.now.Add(2 * leaderLease)
	for range 3 {
		b.core.Tick(b.now)
		e := b.core.Effects()
		if len(e.Holds) > 0 || !e.Deadline.After(b.now.Add(10*time.Millisecond)) {
			t.Fatalf("after the end of the leader lease: %d holds, next tick after %v", len(e.Holds), e.Deadline.Sub(b.now))
		}
		b.now = b.now.Add(10 * time.Millisecond)
	}
	if e := b.tick(0); len(e.Holds) != 3 {
		t.Errorf("%d holds once the leader lease is renewed, want 3", len(e.Holds))
	}
}
