package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// answerAsLaterBoot makes boot 2 answer the next hold for boot 1.
func (b *testbed) answerAsLaterBoot() dispatch.Effects {
	b.answerHolds(dispatch.HoldReport{Boot: 1})
	b.tick(time.Millisecond)
	b.answerHolds(dispatch.HoldReport{Boot: 2})
	return b.tick(time.Millisecond)
}

// Guards against a later boot that stays unfenced because the only call with the higher token was lost.
func TestLaterBootIsFencedAfterALostCall(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 0)
	b.commit(b.answerAsLaterBoot())
	b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
	for deadline := b.now.Add(3 * time.Second); b.now.Before(deadline); {
		for _, h := range b.tick(10 * time.Millisecond).Holds {
			if h.Token > starts[0].Token {
				return
			}
		}
	}
	t.Error("the call with the higher token is not repeated")
}

// Guards against a later boot that stays unfenced while the end of its former boot waits for its commit.
func TestLaterBootIsFencedWhileTheEndOfTheLeaseIsProposed(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	proposed := false
	for deadline := b.now.Add(2 * maxWorkerLease); !proposed && b.now.Before(deadline); {
		b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent})
		for _, p := range b.tick(10 * time.Millisecond).Proposals {
			proposed = proposed || p.Command.EndBoot != nil
		}
	}
	if !proposed {
		t.Fatal("the end of the lease is not proposed")
	}
	for len(b.openHolds) == 0 {
		b.tick(10 * time.Millisecond)
	}
	b.answerHolds(dispatch.HoldReport{Boot: 2})
	for deadline := b.now.Add(3 * time.Second); b.now.Before(deadline); {
		holds := b.tick(10 * time.Millisecond).Holds
		if len(holds) == 0 {
			continue
		}
		if holds[0].Token <= starts[0].Token {
			t.Fatalf("hold %+v after the answer of the later boot, want a token above %#x", holds[0], starts[0].Token)
		}
		return
	}
	t.Error("no hold after the answer of the later boot")
}

// Guards against holds without a delay while the log refuses the end of the former boot.
func TestHoldsAreDelayedWhileTheEndOfABootIsRefused(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.answerHolds(dispatch.HoldReport{Boot: 1})
	holds := 0
	for deadline := b.now.Add(2 * time.Second); b.now.Before(deadline); {
		e := b.tick(time.Millisecond)
		holds += len(e.Holds)
		for _, p := range e.Proposals {
			b.core.ProposalFailed(b.now, p.ID)
		}
		b.answerHolds(dispatch.HoldReport{Boot: 2})
	}
	// With the delays of a failed hold: 250, 500 and 1000 ms. Two holds come before the first delay.
	if holds > 6 {
		t.Errorf("%d holds in 2 s to a later boot, want the delays of failed holds", holds)
	}
}

// Guards against a task that waits anew for a start that its boot had refused for as long as the start
// could be carried out.
func TestRefusedStartIsNotWaitedForAfterALaterBootHasAnswered(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 0)
	sentAt := b.now
	task := workload.TaskID{Job: "j"}
	boot := workload.Boot(1)
	stub := workerStub{
		hold: func(dispatch.Hold) dispatch.HoldReport {
			report := dispatch.HoldReport{Boot: boot}
			if boot == 1 {
				report.Active = []dispatch.ActiveRun{{Task: task, Run: 1}}
			}
			return report
		},
	}
	b.runFor(maxCallDelay+time.Second, stub)
	b.core.Apply(b.now, b.now, 0, registerWorker("spare", 1))
	b.runFor(100*time.Millisecond, stub)
	boot = 2
	limit := sentAt.Add(maxCallDelay + maxWorkerLease + 2*time.Second)
	placed := time.Time{}
	stub.observe = func(e dispatch.Effects) {
		for range startsOf(e, task, 1) {
			if placed.IsZero() {
				placed = b.now
			}
		}
	}
	b.runFor(30*time.Second, stub)
	if placed.IsZero() {
		t.Fatal("the task is not placed")
	}
	if placed.After(limit) {
		t.Errorf("the task is placed %v after the unanswered start, want at most %v", placed.Sub(sentAt), limit.Sub(sentAt))
	}
}
