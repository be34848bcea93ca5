package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// singleAttempt is a configuration in which a task has a single attempt.
var singleAttempt = workload.Command{Configure: &workload.Config{Version: 2, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 1}}}}

// startSingleAttempt is startTasks for a task that has a single attempt.
func startSingleAttempt(t *testing.T) (*testbed, dispatch.Start) {
	b := newTestbed(t, singleAttempt, registerWorker("w", 1), submitJob("j", oneTask))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	e := b.commit(b.tick(replanDelay))
	if len(e.Starts) != 1 {
		t.Fatalf("%d starts, want one", len(e.Starts))
	}
	return b, e.Starts[0]
}

// listFailed is the answer to a hold in which "w" lists its run as failed.
func listFailed(task workload.TaskID) dispatch.HoldReport {
	return dispatch.HoldReport{Boot: 1, Ends: []dispatch.ListedEnd{{Number: 1, Task: task, Run: 1, Result: workload.EndFailed}}}
}

// Guards against a failed end that is acknowledged without being counted, because another end of the run was
// proposed before it was listed (rule BUDGET).
func TestFailedEndCountsBesideAnotherProposedEnd(t *testing.T) {
	b, start := startSingleAttempt(t)
	b.core.StartAnswered(b.now, start, dispatch.OutcomeRefused, 0)
	refused := b.tick(10 * time.Millisecond)
	b.answerHolds(listFailed(start.Task))
	failed := b.tick(100 * time.Millisecond)
	after := b.commit(refused)
	failed.Proposals = append(failed.Proposals, after.Proposals...)
	b.commit(failed)
	b.apply(registerWorker("spare", 1))
	b.runFor(5*time.Second, workerStub{
		hold: func(dispatch.Hold) dispatch.HoldReport { return dispatch.HoldReport{Boot: 1} },
		observe: func(e dispatch.Effects) {
			for _, s := range startsOf(e, start.Task, 1) {
				t.Fatalf("run %d starts on %s after the only attempt has failed", s.Run, s.Worker)
			}
		},
	})
}

// Guards against a start that is sent although the last attempt of its task is known to have failed, because
// the commit of that end is slow (rule BUDGET).
func TestNoStartOnceTheLastAttemptIsKnownToHaveFailed(t *testing.T) {
	b, start := startSingleAttempt(t)
	b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
	b.runFor(2*workerLease, workerStub{hold: unreachableHold})
	b.apply(registerWorker("spare", 1))
	var pending dispatch.Start
	for pending.Worker == "" {
		e := b.tick(10 * time.Millisecond)
		if found := startsOf(e, start.Task, 1); len(found) > 0 {
			pending, e.Starts = found[0], nil
		}
		b.execute(e, workerStub{hold: unreachableHold})
	}
	listed := false
	for deadline := b.now.Add(2 * time.Second); b.now.Before(deadline); {
		e := b.tick(10 * time.Millisecond)
		if found := startsOf(e, start.Task, 1); len(found) > 0 {
			t.Fatalf("the start of run %d is sent after the failed end was listed", found[0].Run)
		}
		e.Proposals = nil // the log is slow
		b.execute(e, workerStub{hold: func(dispatch.Hold) dispatch.HoldReport {
			if !listed {
				listed = true
				defer b.core.StartAnswered(b.now, pending, dispatch.OutcomeNotSent, 0)
			}
			return listFailed(start.Task)
		}})
	}
	if !listed {
		t.Fatal("w was not called")
	}
}
