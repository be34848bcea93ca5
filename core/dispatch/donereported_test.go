package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// lapsedRun returns a testbed in which the boot of "w" was given up while it ran a task, and the worker
// has not answered since. A second worker takes the place of "w".
func lapsedRun(t *testing.T) (*testbed, workload.TaskID) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.runFor(2*workerLease, workerStub{hold: unreachableHold})
	return b, starts[0].Task
}

// Guards against a start that is repeated for a task whose done end is known (rule TWICE).
func TestStartIsNotRepeatedOnceItsTaskIsKnownToBeDone(t *testing.T) {
	b, task := lapsedRun(t)
	b.apply(registerWorker("spare", 1))
	var pending dispatch.Start
	for pending.Worker == "" {
		e := b.tick(10 * time.Millisecond)
		if found := startsOf(e, task, 1); len(found) > 0 {
			pending, e.Starts = found[0], nil
		}
		b.execute(e, workerStub{hold: unreachableHold})
	}
	listed := false
	for deadline := b.now.Add(2 * time.Second); b.now.Before(deadline); {
		e := b.tick(10 * time.Millisecond)
		if found := startsOf(e, task, 1); len(found) > 0 {
			t.Fatalf("the start of run %d is repeated after the done end was listed", found[0].Run)
		}
		e.Proposals = nil // the log is slow
		b.execute(e, workerStub{hold: func(h dispatch.Hold) dispatch.HoldReport {
			if !listed {
				listed = true
				defer b.core.StartAnswered(b.now, pending, dispatch.OutcomeNotSent, 0)
			}
			return listDone(task)(h)
		}})
	}
	if !listed {
		t.Fatal("w was not called")
	}
}

// Guards against a done end that is acknowledged without being counted, because another end of the run was
// proposed before it was listed (rule TWICE).
func TestDoneEndCountsBesideAnotherProposedEnd(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeRefused, 0)
	refused := b.tick(10 * time.Millisecond)
	b.answerHolds(listDone(starts[0].Task)(dispatch.Hold{}))
	done := b.tick(100 * time.Millisecond)
	after := b.commit(refused)
	for _, h := range append(done.Holds, after.Holds...) {
		if h.AckedEnd > 0 {
			t.Error("the done end is acknowledged before its commit")
		}
	}
	done.Proposals = append(done.Proposals, after.Proposals...)
	e := b.commit(done)
	b.answerHolds(dispatch.HoldReport{})
	for _, found := range [][]dispatch.Start{startsOf(e, starts[0].Task, 1), startsOf(b.commit(b.tick(replanDelay)), starts[0].Task, 1)} {
		if len(found) > 0 {
			t.Errorf("the task starts again: %+v", found)
		}
	}
}
