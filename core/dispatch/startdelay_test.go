package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// grantAllFor answers the advice calls of effects and grants all named workers.
func (b *testbed) grantAllFor(e dispatch.Effects, validity time.Duration) {
	for _, call := range e.Advice {
		b.core.AdviceAnswered(b.now, call.ID, grantEvery(1, call, validity))
	}
}

// carryOut grants and commits what effects ask for and answers their starts, which it returns. It answers no
// holds.
func (b *testbed) carryOut(e dispatch.Effects, validity time.Duration) []dispatch.Start {
	b.grantAllFor(e, validity)
	for _, p := range e.Proposals {
		b.core.Apply(b.now, b.now, 0, p.Command)
		b.core.ProposalCommitted(b.now, p.ID)
	}
	for _, start := range e.Starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 0)
	}
	return e.Starts
}

// commitAfter ticks until a proposal is made, commits it after a delay, and carries out what follows. It
// returns the starts.
func (b *testbed) commitAfter(delay time.Duration) []dispatch.Start {
	for range 50 {
		if e := b.tick(replanDelay); len(e.Proposals) > 0 {
			b.now = b.now.Add(delay)
			b.carryOut(e, time.Second)
			return b.carryOut(b.tick(0), time.Second)
		}
	}
	b.t.Fatal("no proposal")
	return nil
}

// Guards against starts that are refused because their tickets expire while the assignment is committed: a
// ticket that outlives a usual commit must not be used while commits take longer. Once they are fast again,
// it must be.
func TestTicketsMustOutliveSlowCommits(t *testing.T) {
	const ticketLeft = 600 * time.Millisecond
	b := newAdvisedBacklog(t, 0, 0)
	submit := func(id workload.JobID) { b.core.Apply(b.now, b.now, 0, submitJobTo("fast", id, oneTask)) }
	submit("slow-commit")
	b.grantAllFor(b.tick(replanDelay), 2*time.Second)
	if starts := b.commitAfter(700 * time.Millisecond); len(starts) != 1 {
		t.Fatalf("starts %+v, want one", starts)
	}
	submit("late")
	b.grantAllFor(b.tick(replanDelay), ticketLeft)
	// The delay is limited to a part of a ticket's life, so let some of it pass.
	b.now = b.now.Add(200 * time.Millisecond)
	if e := b.tick(replanDelay); len(e.Proposals) > 0 || len(e.Advice) != 1 {
		t.Errorf("proposals %+v, advice calls %+v; want a renewal of the tickets", e.Proposals, e.Advice)
	}
	for range 60 {
		b.carryOut(b.tick(100*time.Millisecond), ticketLeft)
	}
	submit("usual")
	b.grantAllFor(b.tick(replanDelay), ticketLeft)
	b.now = b.now.Add(200 * time.Millisecond)
	if e := b.tick(replanDelay); len(e.Proposals) != 1 {
		t.Errorf("proposals %+v, want one with the ticket of which 400 ms are left", e.Proposals)
	}
}

// Guards against the call of a start whose ticket has expired during a commit that took longer than any
// before. The task must be placed again.
func TestStartWithExpiredTicketIsNotSent(t *testing.T) {
	b := newAdvisedBacklog(t, 0, 1)
	b.grantAllFor(b.tick(replanDelay), time.Second)
	if starts := b.commitAfter(1100 * time.Millisecond); len(starts) != 0 {
		t.Errorf("starts %+v, want none", starts)
	}
	for range 30 {
		if starts := b.carryOut(b.tick(replanDelay), time.Second); len(starts) > 0 {
			if starts[0].Run != 2 {
				t.Errorf("run %d is started, want run 2", starts[0].Run)
			}
			return
		}
	}
	t.Error("the task is not started again")
}
