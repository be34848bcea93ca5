package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

func advisedQueue(name string, priority int, base time.Duration) workload.Queue {
	return workload.Queue{
		Name: name, Service: "shop", MaxAttempts: 1, Priority: priority,
		Advice: &workload.AdviserConfig{Base: base, PerWorker: time.Millisecond, TicketTTL: time.Second},
	}
}

func workersOf(n int) []workload.Command {
	var commands []workload.Command
	for i := range n {
		commands = append(commands, workerOf(workload.WorkerID(fmt.Sprintf("w%03d", i)), 1))
	}
	return commands
}

// Guards against a short call to the adviser that waits behind a slow one of
// the same process.
func TestShortAdviceDoesNotWaitBehindSlowCalls(t *testing.T) {
	commands := append(workersOf(4), queues(advisedQueue("slow", 1, time.Second), advisedQueue("fast", 0, 10*time.Millisecond)))
	b := newBench(t, commands...)
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	const callers = 10
	for i := range callers {
		b.core.SawCaller(b.now, fmt.Sprint("caller", i))
	}
	for i := range 3 * callers {
		b.core.Applied(b.now, b.now, 0, jobIn("slow", workload.JobID(fmt.Sprint("s", i)), oneTask))
	}
	busy := map[string]bool{}
	for _, call := range b.pass(planned).Advice {
		busy[call.Caller] = true
	}
	b.core.Applied(b.now, b.now, 0, jobIn("fast", "f", oneTask))
	fast := b.pass(20 * time.Millisecond).Advice
	if len(fast) != 1 || busy[fast[0].Caller] {
		t.Errorf("calls %+v, processes with slow calls %v", fast, busy)
	}
}

// Guards against naming far more workers than a step needs: the adviser takes
// longer for each.
func TestFirstCallNamesAsManyWorkersAsItTakes(t *testing.T) {
	for _, c := range []struct {
		tasks, most int
		least       int
	}{{1, 20, 8}, {40, 100, 60}} {
		b := newBench(t, append(workersOf(120), queues(advisedQueue("a", 0, time.Millisecond)))...)
		b.pass(0)
		b.answerHolds(dispatch.Report{})
		step := workload.StepSpec{Tasks: c.tasks, Size: workload.Resources{MilliCPU: 2000}}
		b.core.Applied(b.now, b.now, 0, jobIn("a", "j", step))
		calls := b.pass(planned).Advice
		if len(calls) != 1 || len(calls[0].Workers) < c.least || len(calls[0].Workers) > c.most {
			t.Errorf("%d tasks: calls %+v, want one with %d to %d workers", c.tasks, calls, c.least, c.most)
		}
	}
}

// Guards against steps that all name the same empty workers: the first answer
// takes their room, and the others have waited for nothing.
func TestStepsNameDifferentWorkers(t *testing.T) {
	b := newBench(t, append(workersOf(120), queues(advisedQueue("a", 0, time.Millisecond)))...)
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	for i := range 8 {
		step := workload.StepSpec{Tasks: 8, Size: workload.Resources{MilliCPU: 4000}}
		b.core.Applied(b.now, b.now, 0, jobIn("a", workload.JobID(fmt.Sprint("j", i)), step))
	}
	named := map[workload.WorkerID]bool{}
	for _, call := range b.pass(planned).Advice {
		for _, worker := range call.Workers {
			named[worker] = true
		}
	}
	if len(named) < 100 {
		t.Errorf("8 steps name %d of 120 workers", len(named))
	}
}

// Guards against a call for each task of a step that waits for room.
func TestRenewalNamesAllGrantedWorkers(t *testing.T) {
	plain := workload.Queue{Name: "q", Service: "shop", MaxAttempts: 1}
	b := newBench(t, append(workersOf(4), queues(advisedQueue("a", 0, time.Millisecond), plain))...)
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	// Three workers are full, so two of the three tasks wait.
	filler := workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 4000}}
	b.core.Applied(b.now, b.now, 0, jobOf("filler", filler))
	b.commit(b.pass(planned))
	b.core.Applied(b.now, b.now, 0, jobIn("a", "j", workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 4000}}))
	first := b.pass(planned).Advice[0]
	tickets := map[workload.WorkerID]string{}
	for _, worker := range first.Workers {
		tickets[worker] = "old"
	}
	b.core.AdviceAnswered(b.now, first.ID, dispatch.Grant{OK: true, Tickets: tickets, TicketTTL: 100 * time.Millisecond})
	calls := b.pass(planned).Advice
	if len(calls) != 1 || len(calls[0].Workers) != 4 {
		t.Errorf("calls %+v, want one that names all 4 workers", calls)
	}
}

// Guards against slow calls that queue at the adviser in the order of their
// steps' arrival, while a more urgent step waits behind all of them.
func TestUrgentStepsAreAskedAboutNext(t *testing.T) {
	slow, urgent := advisedQueue("slow", 1, time.Second), advisedQueue("urgent", 0, time.Second)
	b := newBench(t, append(workersOf(4), queues(slow, urgent))...)
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	const callers = 9
	seen := func() {
		for i := range callers {
			b.core.SawCaller(b.now, fmt.Sprint("caller", i))
		}
	}
	seen()
	for i := range 5 * callers {
		b.core.Applied(b.now, b.now, 0, jobIn("slow", workload.JobID(fmt.Sprint("s", i)), oneTask))
	}
	first := b.pass(planned).Advice
	if len(first) > callers {
		t.Fatalf("%d calls at once on %d callers", len(first), callers)
	}
	b.core.Applied(b.now, b.now, 0, jobIn("urgent", "u", oneTask))
	for range 60 {
		seen()
		next := b.pass(planned).Advice
		if len(next) > 0 {
			if next[0].Step.Job != "u" {
				t.Errorf("the next call is about %v", next[0].Step)
			}
			return
		}
		if b.now.Sub(epoch) > time.Second {
			for _, call := range first {
				b.core.AdviceAnswered(b.now, call.ID, dispatch.Grant{OK: true, TicketTTL: time.Second})
			}
			first = nil
		}
	}
	t.Error("no further call")
}
