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

func registerWorkers(n int) []workload.Command {
	var commands []workload.Command
	for i := range n {
		commands = append(commands, registerWorker(workload.WorkerID(fmt.Sprintf("w%03d", i)), 1))
	}
	return commands
}

// A short advice call must not wait behind a slow one of the same requester.
func TestShortAdviceDoesNotWaitBehindSlowCalls(t *testing.T) {
	commands := append(registerWorkers(4), configureQueues(advisedQueue("slow", 1, time.Second), advisedQueue("fast", 0, 10*time.Millisecond)))
	b := newTestbed(t, commands...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	const requesters = 10
	for i := range requesters {
		b.core.RequesterSeen(b.now, fmt.Sprint("requester", i))
	}
	for i := range 3 * requesters {
		b.core.Apply(b.now, b.now, 0, submitJobTo("slow", workload.JobID(fmt.Sprint("s", i)), oneTask))
	}
	slowRequesters := map[string]bool{}
	for _, call := range b.tick(replanDelay).Advice {
		slowRequesters[call.Requester] = true
	}
	b.core.Apply(b.now, b.now, 0, submitJobTo("fast", "f", oneTask))
	fast := b.tick(20 * time.Millisecond).Advice
	if len(fast) != 1 || slowRequesters[fast[0].Requester] {
		t.Errorf("advice calls %+v, requesters with slow calls %v", fast, slowRequesters)
	}
}

// A step must not name far more workers than it needs, because the adviser takes longer for each.
func TestFirstAdviceCallNamesEnoughWorkers(t *testing.T) {
	for _, c := range []struct {
		tasks, maxNamed int
		minNamed        int
	}{{1, 20, 8}, {40, 100, 60}} {
		b := newTestbed(t, append(registerWorkers(120), configureQueues(advisedQueue("a", 0, time.Millisecond)))...)
		b.tick(0)
		b.answerHolds(dispatch.HoldReport{})
		step := workload.StepSpec{Tasks: c.tasks, Size: workload.Resources{MilliCPU: 2000}}
		b.core.Apply(b.now, b.now, 0, submitJobTo("a", "j", step))
		calls := b.tick(replanDelay).Advice
		if len(calls) != 1 || len(calls[0].Workers) < c.minNamed || len(calls[0].Workers) > c.maxNamed {
			t.Errorf("%d tasks: advice calls %+v, want one with %d to %d workers", c.tasks, calls, c.minNamed, c.maxNamed)
		}
	}
}

// Steps must not all name the same empty workers. The first step would use their resources, and the
// others would have waited in vain.
func TestStepsNameDifferentWorkers(t *testing.T) {
	b := newTestbed(t, append(registerWorkers(120), configureQueues(advisedQueue("a", 0, time.Millisecond)))...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	for i := range 8 {
		step := workload.StepSpec{Tasks: 8, Size: workload.Resources{MilliCPU: 4000}}
		b.core.Apply(b.now, b.now, 0, submitJobTo("a", workload.JobID(fmt.Sprint("j", i)), step))
	}
	named := map[workload.WorkerID]bool{}
	for _, call := range b.tick(replanDelay).Advice {
		for _, worker := range call.Workers {
			named[worker] = true
		}
	}
	if len(named) < 100 {
		t.Errorf("8 steps name %d of 120 workers", len(named))
	}
}

// A step that waits for free resources must not make an advice call for each of its tasks.
func TestRenewalNamesAllGrantedWorkers(t *testing.T) {
	plain := workload.Queue{Name: "q", Service: "shop", MaxAttempts: 1}
	b := newTestbed(t, append(registerWorkers(4), configureQueues(advisedQueue("a", 0, time.Millisecond), plain))...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	// Three workers are full, so two of the three tasks wait.
	filler := workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 4000}}
	b.core.Apply(b.now, b.now, 0, submitJob("filler", filler))
	b.commit(b.tick(replanDelay))
	b.core.Apply(b.now, b.now, 0, submitJobTo("a", "j", workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 4000}}))
	first := b.tick(replanDelay).Advice[0]
	tickets := map[workload.WorkerID]string{}
	for _, worker := range first.Workers {
		tickets[worker] = "old"
	}
	b.core.AdviceAnswered(b.now, first.ID, dispatch.Grant{OK: true, Tickets: tickets, TicketTTL: 100 * time.Millisecond})
	calls := b.tick(replanDelay).Advice
	if len(calls) != 1 || len(calls[0].Workers) != 4 {
		t.Errorf("advice calls %+v, want one that names all 4 workers", calls)
	}
}

// Slow calls must not queue at the adviser in order of arrival, because a more urgent step would
// wait behind all of them.
func TestUrgentStepsGetTheNextAdviceCall(t *testing.T) {
	slow, urgent := advisedQueue("slow", 1, time.Second), advisedQueue("urgent", 0, time.Second)
	b := newTestbed(t, append(registerWorkers(4), configureQueues(slow, urgent))...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	const requesters = 9
	keepRequestersAvailable := func() {
		for i := range requesters {
			b.core.RequesterSeen(b.now, fmt.Sprint("requester", i))
		}
	}
	keepRequestersAvailable()
	for i := range 5 * requesters {
		b.core.Apply(b.now, b.now, 0, submitJobTo("slow", workload.JobID(fmt.Sprint("s", i)), oneTask))
	}
	first := b.tick(replanDelay).Advice
	if len(first) > requesters {
		t.Fatalf("%d advice calls at once on %d requesters", len(first), requesters)
	}
	b.core.Apply(b.now, b.now, 0, submitJobTo("urgent", "u", oneTask))
	for range 60 {
		keepRequestersAvailable()
		next := b.tick(replanDelay).Advice
		if len(next) > 0 {
			if next[0].Step.Job != "u" {
				t.Errorf("the next advice call is about %v", next[0].Step)
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
	t.Error("no further advice call")
}
