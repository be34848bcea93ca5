package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// replanDelay is long enough for the core to make another plan.
const replanDelay = 20 * time.Millisecond

func configureQueues(queues ...workload.Queue) workload.Command {
	return workload.Command{Configure: &workload.Config{Version: 2, Queues: queues}}
}

func submitJobTo(queue string, id workload.JobID, step workload.StepSpec) workload.Command {
	return workload.Command{Submit: &workload.Submit{ID: id, Spec: workload.JobSpec{Queue: queue, Steps: []workload.StepSpec{step}}}}
}

// newFilledTestbed returns a core with 8 workers, on each of which a run leaves 1,000 of 4,000
// millicores free, and the starts of these runs.
func newFilledTestbed(t *testing.T) (*testbed, []dispatch.Start) {
	t.Helper()
	commands := []workload.Command{configureQueues(
		workload.Queue{Name: "gangs", Service: "shop", MaxAttempts: 1},
		workload.Queue{Name: "batch", Service: "shop", MaxAttempts: 1, Priority: 1},
	)}
	const workers = 8
	for i := range workers {
		commands = append(commands, registerWorker(workload.WorkerID(fmt.Sprint("w", i)), 1))
	}
	filler := workload.StepSpec{Tasks: workers, Size: workload.Resources{MilliCPU: 3000}, MaxPerWorker: 1}
	b := newTestbed(t, append(commands, submitJobTo("batch", "filler", filler))...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	e := b.commit(b.tick(replanDelay))
	for _, start := range e.Starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
	}
	return b, e.Starts
}

// startsInGaps ends runs one after the other and returns the number of starts of each job. It fails
// the test if the small job takes the resources that the gang waits for.
func (b *testbed) startsInGaps(ends []dispatch.Start) map[workload.JobID]int {
	b.t.Helper()
	b.tick(replanDelay)
	started := map[workload.JobID]int{}
	for _, ended := range ends {
		b.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{
			{Worker: ended.Worker, Boot: 1, Task: ended.Task, Run: 1, How: workload.EndDone},
		}}})
		for _, start := range b.commit(b.tick(replanDelay)).Starts {
			started[start.Task.Job]++
		}
		if started["small"] > 0 && started["gang"] == 0 {
			b.t.Fatal("the small task took the resources that the gang waits for")
		}
	}
	return started
}

// Smaller, less urgent tasks must not fill each gap that a blocked gang waits for.
func TestBlockedGangKeepsResourcesFree(t *testing.T) {
	b, filled := newFilledTestbed(t)
	b.apply(submitJobTo("gangs", "gang", workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 2000}, Gang: true}))
	b.apply(submitJobTo("batch", "small", workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 1500}}))
	// The first gap of 4,000 millicores is kept for two tasks of the gang until the second gap has
	// space for the third.
	if started := b.startsInGaps(filled[:2]); started["gang"] != 3 {
		t.Errorf("started %v, want the gang", started)
	}
}

// A step must not wait forever because the adviser refused all workers named in the first call
// (TestSoak, seed 44).
func TestLaterWorkersAreNamed(t *testing.T) {
	advised := workload.Queue{Name: "advised", Service: "shop", MaxAttempts: 1, Advice: &workload.AdviserConfig{Base: time.Millisecond, TicketTTL: time.Second}}
	b := newTestbed(t, configureQueues(advised), registerWorker("w0", 1), submitJobTo("advised", "j", oneTask))
	e := b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	if len(e.Advice) != 1 {
		t.Fatalf("advice calls %+v", e.Advice)
	}
	b.core.AdviceAnswered(b.now, e.Advice[0].ID, dispatch.Grant{OK: true, TicketTTL: time.Second})
	b.core.Apply(b.now, b.now, 0, registerWorker("w1", 1))
	b.tick(replanDelay)
	b.answerHolds(dispatch.HoldReport{})
	for range 20 {
		for _, call := range b.tick(100 * time.Millisecond).Advice {
			if len(call.Workers) == 1 && call.Workers[0] == "w1" {
				return
			}
		}
	}
	t.Error("the worker that registered later is never named")
}

// A run must not be started with a ticket that expires before the start arrives.
func TestTicketsAreRenewedBeforeAStart(t *testing.T) {
	advised := workload.Queue{Name: "advised", Service: "shop", MaxAttempts: 1, Advice: &workload.AdviserConfig{Base: time.Millisecond, TicketTTL: time.Second}}
	b := newTestbed(t, configureQueues(advised), registerWorker("w0", 1), submitJobTo("advised", "j", oneTask))
	first := b.tick(0).Advice[0]
	b.answerHolds(dispatch.HoldReport{})
	old := map[workload.WorkerID]string{"w0": "old"}
	b.core.AdviceAnswered(b.now, first.ID, dispatch.Grant{OK: true, Tickets: old, TicketTTL: 100 * time.Millisecond})
	e := b.tick(replanDelay)
	if len(e.Proposals) != 0 || len(e.Advice) != 1 {
		t.Fatalf("with an expiring ticket: effects %+v", e)
	}
	fresh := map[workload.WorkerID]string{"w0": "fresh"}
	b.core.AdviceAnswered(b.now, e.Advice[0].ID, dispatch.Grant{OK: true, Tickets: fresh, TicketTTL: time.Second})
	if e = b.commit(b.tick(replanDelay)); len(e.Starts) != 1 || e.Starts[0].Ticket != "fresh" {
		t.Errorf("starts %+v", e.Starts)
	}
}

// Under overload, jobs that can still be on time must not wait behind late ones, or all jobs become
// late. A job that is no longer of use must not delay a less urgent one.
func TestJobsThatCanBeOnTimeGoFirst(t *testing.T) {
	urgent := workload.Queue{Name: "urgent", Service: "shop", MaxAttempts: 1, SlackFactor: 1.5, TargetLatency: time.Second}
	batch := urgent
	batch.Name, batch.Priority, batch.SlackFactor = "batch", 1, 100
	step := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 4000}, Estimate: time.Second}
	for _, c := range []struct {
		waited     time.Duration // waiting time of the first job
		firstQueue string
		order      []workload.JobID
	}{
		{100 * time.Millisecond, "urgent", []workload.JobID{"first", "second", "batch"}},
		{2 * time.Second, "urgent", []workload.JobID{"second", "first", "batch"}},
		{20 * time.Second, "urgent", []workload.JobID{"second", "batch", "first"}},
	} {
		b := newTestbed(t, configureQueues(urgent, batch), registerWorker("w", 1), submitJobTo("batch", "filler", step))
		b.tick(0)
		b.answerHolds(dispatch.HoldReport{})
		e := b.commit(b.tick(replanDelay))
		b.core.Apply(b.now, b.now, 0, submitJobTo(c.firstQueue, "first", step))
		b.tick(c.waited)
		b.answerHolds(dispatch.HoldReport{})
		for _, next := range []workload.Command{submitJobTo("urgent", "second", step), submitJobTo("batch", "batch", step)} {
			b.core.Apply(b.now, b.now, 0, next)
		}
		var got []workload.JobID
		for range c.order {
			ended := e.Starts[0]
			b.core.Apply(b.now, b.now, 0, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{
				{Worker: "w", Boot: 1, Task: ended.Task, Run: ended.Run, How: workload.EndDone},
			}}})
			if e = b.commit(b.tick(replanDelay)); len(e.Starts) != 1 {
				t.Fatalf("waiting %v: starts %+v after %v", c.waited, e.Starts, got)
			}
			got = append(got, e.Starts[0].Task.Job)
		}
		if !slices.Equal(got, c.order) {
			t.Errorf("after %v the jobs start in the order %v, want %v", c.waited, got, c.order)
		}
	}
}

// Large overdue gangs, which wait long for free resources, must not delay all other overdue gangs
// until their results are of no use. As many gangs as possible should end in time to be of use.
func TestSmallestOverdueGangGoesFirst(t *testing.T) {
	urgent := workload.Queue{Name: "urgent", Service: "shop", MaxAttempts: 1, SlackFactor: 1.5, TargetLatency: time.Second}
	gang := workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 2000}, Estimate: time.Second, Gang: true}
	small := gang
	small.Size.MilliCPU = 1500
	filler := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 4000}, Estimate: time.Minute}
	for _, c := range []struct {
		waited time.Duration
		first  workload.JobID
	}{{100 * time.Millisecond, "large"}, {4 * time.Second, "small"}} {
		b := newTestbed(t, configureQueues(urgent), registerWorker("w", 1), submitJobTo("urgent", "filler", filler))
		b.tick(0)
		b.answerHolds(dispatch.HoldReport{})
		running := b.commit(b.tick(replanDelay)).Starts[0]
		b.core.Apply(b.now, b.now, 0, submitJobTo("urgent", "large", gang))
		b.core.Apply(b.now, b.now, 0, submitJobTo("urgent", "small", small))
		b.tick(c.waited)
		b.answerHolds(dispatch.HoldReport{})
		b.core.Apply(b.now, b.now, 0, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{
			{Worker: "w", Boot: 1, Task: running.Task, Run: running.Run, How: workload.EndDone},
		}}})
		starts := b.commit(b.tick(replanDelay)).Starts
		if len(starts) != 2 || starts[0].Task.Job != c.first {
			t.Errorf("after %v: starts %+v, want those of %s", c.waited, starts, c.first)
		}
	}
}

// Guards against a gang that cannot run and uses up the claims of the gangs behind it.
func TestGangWithoutWorkersClaimsNothing(t *testing.T) {
	b, filled := newFilledTestbed(t)
	impossible := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 2000}, Gang: true, RequiredLabel: "none"}
	b.apply(submitJobTo("gangs", "impossible", impossible))
	b.apply(submitJobTo("gangs", "gang", workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 2000}, Gang: true}))
	b.apply(submitJobTo("batch", "small", workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 1500}}))
	if started := b.startsInGaps(filled[:2]); started["gang"] != 3 {
		t.Errorf("started %v, want the gang", started)
	}
}

// Guards against a step that is never examined because a thousand more urgent ones cannot be placed.
func TestLeastUrgentStepOfABacklogIsPlaced(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1))
	b.apply(configureQueues(
		workload.Queue{Name: "urgent", Service: "shop", MaxAttempts: 1}, workload.Queue{Name: "batch", Service: "shop", MaxAttempts: 1, Priority: 1},
	))
	for i := range 1_000 {
		b.apply(submitJobTo("urgent", workload.JobID(fmt.Sprint("large", i)), workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 5_000}}))
	}
	b.apply(submitJobTo("batch", "small", oneTask))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	for range 10 {
		before := b.tick(100 * time.Millisecond)
		after := b.commit(before)
		if slices.ContainsFunc(append(before.Starts, after.Starts...), func(s dispatch.Start) bool { return s.Task.Job == "small" }) {
			return
		}
	}
	t.Error("the step that fits is not placed within ten plans")
}
