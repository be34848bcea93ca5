package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// Guards against a leader that extends a worker's lease after its machine was suspended, when the
// next leader has counted that lease from its own start (platform rule TWICE).
func TestLeaderExtendsNoLeaseAfterASuspension(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.tick(time.Millisecond)
	b.now = testclock.StepWall(b.now.Add(time.Millisecond), 3*time.Second)
	b.answerHolds(dispatch.HoldReport{Active: []dispatch.ActiveRun{{Task: starts[0].Task, Run: starts[0].Run}}})
	b.core.Tick(b.now)
	e := b.core.Effects()
	for _, h := range e.Holds {
		t.Errorf("a hold extends the lease from %d ms to %d ms after a suspension of 3 s", starts[0].LeaseUntil, h.LeaseUntil)
	}
}

// Guards against starts and stops of a leader that was replaced while its machine was suspended.
func TestNoStartOrStopAfterASuspension(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1), submitJob("j", oneTask))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	e := b.tick(replanDelay)
	b.now = testclock.StepWall(b.now.Add(time.Millisecond), 3*time.Second)
	for _, p := range e.Proposals {
		b.core.Apply(b.now, b.now, 0, p.Command)
		b.core.ProposalCommitted(b.now, p.ID)
	}
	b.core.Tick(b.now)
	if e := b.core.Effects(); len(e.Starts)+len(e.Stops) != 0 {
		t.Errorf("%d starts and %d stops after a suspension of 3 s, want none", len(e.Starts), len(e.Stops))
	}
	if e := b.tick(50 * time.Millisecond); len(e.Starts) != 1 {
		t.Errorf("%d starts under a new lease, want 1", len(e.Starts))
	}
}

// Guards against a leader that stops for good after its wall clock was set back, and one whose lease
// becomes longer by it.
func TestLeaderLeaseAfterTheWallClockIsSetBack(t *testing.T) {
	b, _ := startTasks(t, oneTask)
	b.now = testclock.StepWall(b.now.Add(leaderLease/2), -time.Hour)
	b.answerHolds(dispatch.HoldReport{})
	b.core.Tick(b.now)
	if e := b.core.Effects(); len(e.Holds) != 1 {
		t.Errorf("%d holds within the lease, want 1", len(e.Holds))
	}
	b.now = b.now.Add(leaderLease)
	b.answerHolds(dispatch.HoldReport{})
	b.core.Tick(b.now)
	if e := b.core.Effects(); len(e.Holds) != 0 {
		t.Errorf("%d holds after the lease, want none", len(e.Holds))
	}
}
