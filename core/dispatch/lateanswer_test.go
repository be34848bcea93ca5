package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// listDone is the answer to a hold in which "w" lists its run as done.
func listDone(task workload.TaskID) func(dispatch.Hold) dispatch.HoldReport {
	return func(h dispatch.Hold) dispatch.HoldReport {
		return dispatch.HoldReport{Boot: h.Boot, Ends: []dispatch.ListedEnd{{Number: 1, Task: task, Run: 1, Result: workload.EndDone}}}
	}
}

// Guards against a task that starts again because the leader did not read the answer with its done end in time
// (rule TWICE).
func TestDoneEndInALateAnswerCounts(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.apply(registerWorker("spare", 1))
	late := b.openHolds[0]
	for b.now.Before(epoch.Add(30 * time.Second)) {
		e := b.tick(10 * time.Millisecond)
		if found := startsOf(e, starts[0].Task, 1); len(found) > 0 {
			t.Fatalf("the task starts on %s", found[0].Worker)
		}
		b.execute(e, workerStub{hold: func(h dispatch.Hold) dispatch.HoldReport {
			if late.Worker != "" {
				b.core.LateHoldAnswered(b.now, late.Call, listDone(starts[0].Task)(late))
				late = dispatch.Hold{}
			}
			return dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer}
		}})
	}
}

// Guards against giving up a worker that answers, because this process did not run while a single answer was
// on its way.
func TestBootIsNotGivenUpAfterASingleUnansweredHold(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	e := b.tick(2 * workerLease) // the process did not run
	b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
	next := b.tick(10 * time.Millisecond)
	for _, p := range append(e.Proposals, next.Proposals...) {
		if p.Command.EndBoot != nil {
			t.Fatal("the boot is given up")
		}
	}
	if len(next.Holds) != 1 {
		t.Errorf("%d holds, want one", len(next.Holds))
	}
}

// Guards against giving up a worker before the answer to a hold that it carried out within its lease is read.
func TestBootIsNotGivenUpWhileAHoldWithinItsLeaseIsInFlight(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	for b.now.Before(epoch.Add(workerLease - time.Second)) {
		b.tick(10 * time.Millisecond)
		b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent})
	}
	for len(b.openHolds) == 0 {
		b.tick(10 * time.Millisecond)
	}
	for _, p := range b.tick(2 * workerLease).Proposals {
		if p.Command.EndBoot != nil {
			t.Fatal("the boot is given up")
		}
	}
	b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent})
	if e := b.tick(10 * time.Millisecond); len(e.Proposals) != 1 || e.Proposals[0].Command.EndBoot == nil {
		t.Errorf("proposals %+v, want the end of the boot", e.Proposals)
	}
}
