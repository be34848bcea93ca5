package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against a worker that counts as unresponsive, and loses its runs, because this process had no
// socket for its holds.
func TestLackOfSocketsIsNotTheWorkersFault(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	for b.now.Before(epoch.Add(4 * workerLease)) {
		e := b.tick(50 * time.Millisecond)
		for _, p := range e.Proposals {
			if p.Command.EndBoot != nil {
				t.Fatalf("the boot is given up after %v", b.now.Sub(epoch))
			}
		}
		for _, d := range e.Decisions {
			if d.Kind == dispatch.DecisionUnresponsive {
				t.Fatalf("the worker counts as unresponsive after %v", b.now.Sub(epoch))
			}
		}
		b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNoSocket})
	}
}

// Guards against holds that wait for ends and occupy the sockets that other holds and starts need, and
// against holds in a loop without a pause.
func TestHoldsAreShortWhileSocketsAreShort(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	b.tick(time.Millisecond)
	if wait := b.openHolds[0].Wait; wait == 0 {
		t.Fatal("the hold before the shortage does not wait")
	}
	b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNoSocket})
	holds := 0
	for range 100 {
		b.tick(10 * time.Millisecond)
		for _, h := range b.openHolds {
			holds++
			if h.Wait != 0 {
				t.Errorf("a hold waits for %v", h.Wait)
			}
		}
		b.answerHolds(dispatch.HoldReport{})
	}
	// Several in each lease, so that it does not expire, and few in a second.
	if holds < 2 || holds > 5 {
		t.Errorf("%d holds in a second", holds)
	}
	for range 200 {
		b.tick(10 * time.Millisecond)
		if len(b.openHolds) > 0 && b.openHolds[0].Wait > 0 {
			return
		}
		b.answerHolds(dispatch.HoldReport{})
	}
	t.Error("holds do not wait again after the shortage")
}

// Guards against a start that is given up too early, or a worker that is avoided, because this process had
// no socket, and against a gang of which a part waits for ever.
func TestStartWaitsForASocket(t *testing.T) {
	gang := workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}, Gang: true}
	b, starts := startTasks(t, gang)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	pending, sent := starts[1], 1
	for range 200 {
		if pending.Task != (workload.TaskID{}) {
			b.core.StartAnswered(b.now, pending, dispatch.OutcomeNoSocket, 0)
			pending = dispatch.Start{}
		}
		before := b.tick(10 * time.Millisecond)
		after := b.commit(before)
		for _, d := range append(before.Decisions, after.Decisions...) {
			if d.Kind == dispatch.DecisionAvoided {
				t.Fatalf("the worker is avoided: %s", d.Reason)
			}
		}
		for _, start := range append(before.Starts, after.Starts...) {
			pending = start
			sent++
		}
		for _, stop := range append(before.Stops, after.Stops...) {
			if sent <= 3 || stop.Task != starts[0].Task {
				t.Errorf("stop of %v after %d starts", stop.Task, sent)
			}
			return
		}
	}
	t.Error("the rest of the gang is not stopped")
}
