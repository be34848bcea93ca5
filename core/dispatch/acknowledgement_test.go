package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against a done end that is acknowledged before its commit, because the end of its boot was committed
// first; a change of leader would lose it (rule TWICE).
func TestEndIsNotAcknowledgedBeforeItsCommitAfterTheEndOfItsBoot(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	var bootEnd dispatch.Effects
	for deadline := b.now.Add(2 * workerLease); len(bootEnd.Proposals) == 0; {
		if b.now.After(deadline) {
			t.Fatal("the boot is not given up")
		}
		e := b.tick(10 * time.Millisecond)
		if len(e.Proposals) == 1 && e.Proposals[0].Command.EndBoot != nil {
			bootEnd.Proposals = e.Proposals
			continue
		}
		b.commit(e)
		b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
	}
	answer := func() []dispatch.Hold {
		for len(b.openHolds) == 0 {
			b.tick(10 * time.Millisecond)
		}
		b.answerHolds(listDone(starts[0].Task)(dispatch.Hold{}))
		e := b.tick(10 * time.Millisecond)
		for _, p := range e.Proposals {
			if p.Command.Decide == nil || len(p.Command.Decide.Ends) == 0 {
				t.Fatalf("proposal %+v, want only ends", p.Command)
			}
		}
		return e.Holds
	}
	answer() // the end is proposed and its commit is slow
	holds := b.commit(bootEnd).Holds
	for range 3 {
		holds = append(holds, answer()...)
	}
	for _, h := range holds {
		if h.AckedEnd > 0 {
			t.Fatalf("end %d is acknowledged before its commit", h.AckedEnd)
		}
	}
}

// Guards against a done end that is acknowledged without being counted, because another end of the run was
// proposed before its boot ended and is not committed yet (rule TWICE).
func TestDoneEndCountsBesideAProposedEndAfterTheEndOfItsBoot(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeRefused, 0)
	refused := b.tick(10 * time.Millisecond)
	b.apply(workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}})
	b.answerHolds(listDone(starts[0].Task)(dispatch.Hold{}))
	done := b.tick(100 * time.Millisecond)
	after := b.commit(refused)
	done.Proposals = append(done.Proposals, after.Proposals...)
	b.commit(done)
	b.apply(registerWorker("spare", 1))
	b.runFor(2*maxCallDelay, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport { return dispatch.HoldReport{Boot: h.Boot} },
		observe: func(e dispatch.Effects) {
			for _, s := range startsOf(e, starts[0].Task, 1) {
				t.Fatalf("run %d starts on %s", s.Run, s.Worker)
			}
		},
	})
}
