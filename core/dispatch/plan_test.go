package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

func queues(queues ...workload.Queue) workload.Command {
	return workload.Command{Configure: &workload.Config{Version: 2, Queues: queues}}
}

func jobIn(queue string, id workload.JobID, step workload.StepSpec) workload.Command {
	return workload.Command{Submit: &workload.Submit{ID: id, Spec: workload.JobSpec{Queue: queue, Steps: []workload.StepSpec{step}}}}
}

// Guards against smaller, less urgent tasks filling each gap that a blocked
// gang waits for.
func TestBlockedGangKeepsRoom(t *testing.T) {
	gang := workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 2000}, Gang: true}
	small := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 1500}}
	commands := []workload.Command{queues(
		workload.Queue{Name: "gangs", Service: "shop", MaxAttempts: 1},
		workload.Queue{Name: "batch", Service: "shop", MaxAttempts: 1, Priority: 1},
	)}
	for _, id := range []workload.WorkerID{"w0", "w1", "w2", "w3"} {
		commands = append(commands, workerOf(id, 1))
	}
	// One run of 3,000 on each worker leaves 1,000 free.
	filler := workload.StepSpec{Tasks: 4, Size: workload.Resources{MilliCPU: 3000}, MaxPerWorker: 1}
	b := newBench(t, append(commands, jobIn("batch", "filler", filler))...)
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	e := b.commit(b.pass(10 * time.Millisecond))
	for _, start := range e.Starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
	}
	for _, c := range []workload.Command{jobIn("gangs", "gang", gang), jobIn("batch", "small", small)} {
		b.core.Applied(b.now, b.now, 0, c)
	}
	b.pass(10 * time.Millisecond)
	// A run ends: the gap of 4,000 is kept for the gang's first two tasks.
	ended := e.Starts[0]
	b.core.Applied(b.now, b.now, 0, workload.Command{Decide: &workload.Decide{Ends: []workload.Ending{
		{Worker: ended.Worker, Boot: 1, Task: ended.Task, Run: 1, How: workload.EndDone},
	}}})
	e = b.commit(b.pass(10 * time.Millisecond))
	started := map[workload.JobID]int{}
	for _, start := range e.Starts {
		started[start.Task.Job]++
	}
	if started["gang"] != 2 || started["small"] != 0 {
		t.Errorf("started %v, want the gang alone", started)
	}
}

// Guards against a step that waits for ever because the workers named in its
// first advice call were all refused (TestSoak, seed 44).
func TestLaterWorkersAreNamed(t *testing.T) {
	advised := workload.Queue{Name: "advised", Service: "shop", MaxAttempts: 1, Advice: &workload.Advice{Base: time.Millisecond, TicketTTL: time.Second}}
	b := newBench(t, queues(advised), workerOf("w0", 1), jobIn("advised", "j", oneTask))
	e := b.pass(0)
	b.answerHolds(dispatch.Report{})
	if len(e.Advice) != 1 {
		t.Fatalf("advice %+v", e.Advice)
	}
	b.core.AdviceAnswered(b.now, e.Advice[0].ID, dispatch.Grant{OK: true, TicketTTL: time.Second})
	b.core.Applied(b.now, b.now, 0, workerOf("w1", 1))
	b.pass(10 * time.Millisecond)
	b.answerHolds(dispatch.Report{})
	for range 20 {
		for _, call := range b.pass(100 * time.Millisecond).Advice {
			if len(call.Workers) == 1 && call.Workers[0] == "w1" {
				return
			}
		}
	}
	t.Error("the worker that came later is never named")
}

// Guards against starting a run with a ticket that runs out on the way.
func TestTicketsAreRenewedBeforeAStart(t *testing.T) {
	advised := workload.Queue{Name: "advised", Service: "shop", MaxAttempts: 1, Advice: &workload.Advice{Base: time.Millisecond, TicketTTL: time.Second}}
	b := newBench(t, queues(advised), workerOf("w0", 1), jobIn("advised", "j", oneTask))
	first := b.pass(0).Advice[0]
	b.answerHolds(dispatch.Report{})
	old := map[workload.WorkerID]string{"w0": "old"}
	b.core.AdviceAnswered(b.now, first.ID, dispatch.Grant{OK: true, Tickets: old, TicketTTL: 100 * time.Millisecond})
	e := b.pass(10 * time.Millisecond)
	if len(e.Proposals) != 0 || len(e.Advice) != 1 {
		t.Fatalf("with a ticket that runs out: %+v", e)
	}
	fresh := map[workload.WorkerID]string{"w0": "fresh"}
	b.core.AdviceAnswered(b.now, e.Advice[0].ID, dispatch.Grant{OK: true, Tickets: fresh, TicketTTL: time.Second})
	if e = b.commit(b.pass(10 * time.Millisecond)); len(e.Starts) != 1 || e.Starts[0].Ticket != "fresh" {
		t.Errorf("starts %+v", e.Starts)
	}
}
