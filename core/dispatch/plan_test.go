package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// planned is a step of time after which the core plans again.
const planned = 20 * time.Millisecond

func queues(queues ...workload.Queue) workload.Command {
	return workload.Command{Configure: &workload.Config{Version: 2, Queues: queues}}
}

func jobIn(queue string, id workload.JobID, step workload.StepSpec) workload.Command {
	return workload.Command{Submit: &workload.Submit{ID: id, Spec: workload.JobSpec{Queue: queue, Steps: []workload.StepSpec{step}}}}
}

// Guards against smaller, less urgent tasks filling each gap that a blocked
// gang waits for.
func TestBlockedGangKeepsRoom(t *testing.T) {
	gang := workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 2000}, Gang: true}
	small := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 1500}}
	commands := []workload.Command{queues(
		workload.Queue{Name: "gangs", Service: "shop", MaxAttempts: 1},
		workload.Queue{Name: "batch", Service: "shop", MaxAttempts: 1, Priority: 1},
	)}
	const workers = 8
	for i := range workers {
		commands = append(commands, workerOf(workload.WorkerID(fmt.Sprint("w", i)), 1))
	}
	// One run of 3,000 on each worker leaves 1,000 free.
	filler := workload.StepSpec{Tasks: workers, Size: workload.Resources{MilliCPU: 3000}, MaxPerWorker: 1}
	b := newBench(t, append(commands, jobIn("batch", "filler", filler))...)
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	e := b.commit(b.pass(planned))
	for _, start := range e.Starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
	}
	for _, c := range []workload.Command{jobIn("gangs", "gang", gang), jobIn("batch", "small", small)} {
		b.core.Applied(b.now, b.now, 0, c)
	}
	b.pass(planned)
	// The first gap of 4,000 is kept for two tasks of the gang, until the second
	// one has room for the third.
	started := map[workload.JobID]int{}
	for _, ended := range e.Starts[:2] {
		b.core.Applied(b.now, b.now, 0, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{
			{Worker: ended.Worker, Boot: 1, Task: ended.Task, Run: 1, How: workload.EndDone},
		}}})
		for _, start := range b.commit(b.pass(planned)).Starts {
			started[start.Task.Job]++
		}
		if started["small"] > 0 && started["gang"] == 0 {
			t.Fatal("the small task took the room that the gang waits for")
		}
	}
	if started["gang"] != 3 {
		t.Errorf("started %v, want the gang", started)
	}
}

// Guards against a step that waits for ever because the workers named in its
// first advice call were all refused (TestSoak, seed 44).
func TestLaterWorkersAreNamed(t *testing.T) {
	advised := workload.Queue{Name: "advised", Service: "shop", MaxAttempts: 1, Advice: &workload.AdviserConfig{Base: time.Millisecond, TicketTTL: time.Second}}
	b := newBench(t, queues(advised), workerOf("w0", 1), jobIn("advised", "j", oneTask))
	e := b.pass(0)
	b.answerHolds(dispatch.Report{})
	if len(e.Advice) != 1 {
		t.Fatalf("advice %+v", e.Advice)
	}
	b.core.AdviceAnswered(b.now, e.Advice[0].ID, dispatch.Grant{OK: true, TicketTTL: time.Second})
	b.core.Applied(b.now, b.now, 0, workerOf("w1", 1))
	b.pass(planned)
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
	advised := workload.Queue{Name: "advised", Service: "shop", MaxAttempts: 1, Advice: &workload.AdviserConfig{Base: time.Millisecond, TicketTTL: time.Second}}
	b := newBench(t, queues(advised), workerOf("w0", 1), jobIn("advised", "j", oneTask))
	first := b.pass(0).Advice[0]
	b.answerHolds(dispatch.Report{})
	old := map[workload.WorkerID]string{"w0": "old"}
	b.core.AdviceAnswered(b.now, first.ID, dispatch.Grant{OK: true, Tickets: old, TicketTTL: 100 * time.Millisecond})
	e := b.pass(planned)
	if len(e.Proposals) != 0 || len(e.Advice) != 1 {
		t.Fatalf("with a ticket that runs out: %+v", e)
	}
	fresh := map[workload.WorkerID]string{"w0": "fresh"}
	b.core.AdviceAnswered(b.now, e.Advice[0].ID, dispatch.Grant{OK: true, Tickets: fresh, TicketTTL: time.Second})
	if e = b.commit(b.pass(planned)); len(e.Starts) != 1 || e.Starts[0].Ticket != "fresh" {
		t.Errorf("starts %+v", e.Starts)
	}
}

// Guards against an overload in which every job waits its turn and all are
// late, and against a job that nobody waits for holding up a less urgent one.
func TestJobsThatCanBeOnTimeGoFirst(t *testing.T) {
	urgent := workload.Queue{Name: "urgent", Service: "shop", MaxAttempts: 1, SlackFactor: 1.5, TargetLatency: time.Second}
	batch := urgent
	batch.Name, batch.Priority, batch.SlackFactor = "batch", 1, 100
	step := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 4000}, Estimate: time.Second}
	for _, c := range []struct {
		waits time.Duration // of the first job
		first string
		order []workload.JobID
	}{
		{100 * time.Millisecond, "urgent", []workload.JobID{"first", "second", "batch"}},
		{2 * time.Second, "urgent", []workload.JobID{"second", "first", "batch"}},
		{20 * time.Second, "urgent", []workload.JobID{"second", "batch", "first"}},
	} {
		b := newBench(t, queues(urgent, batch), workerOf("w", 1), jobIn("batch", "filler", step))
		b.pass(0)
		b.answerHolds(dispatch.Report{})
		e := b.commit(b.pass(planned))
		b.core.Applied(b.now, b.now, 0, jobIn(c.first, "first", step))
		b.pass(c.waits)
		b.answerHolds(dispatch.Report{})
		for _, next := range []workload.Command{jobIn("urgent", "second", step), jobIn("batch", "batch", step)} {
			b.core.Applied(b.now, b.now, 0, next)
		}
		var got []workload.JobID
		for range c.order {
			ended := e.Starts[0]
			b.core.Applied(b.now, b.now, 0, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{
				{Worker: "w", Boot: 1, Task: ended.Task, Run: ended.Run, How: workload.EndDone},
			}}})
			if e = b.commit(b.pass(planned)); len(e.Starts) != 1 {
				t.Fatalf("waiting %v: starts %+v after %v", c.waits, e.Starts, got)
			}
			got = append(got, e.Starts[0].Task.Job)
		}
		if !slices.Equal(got, c.order) {
			t.Errorf("after %v the jobs start in the order %v, want %v", c.waits, got, c.order)
		}
	}
}

// Guards against large late gangs, which take long to find room, letting all late
// ones become useless: of those in which nobody has lost interest yet, as many as
// possible are to be done.
func TestOfLateGangsTheSmallestGoesFirst(t *testing.T) {
	urgent := workload.Queue{Name: "urgent", Service: "shop", MaxAttempts: 1, SlackFactor: 1.5, TargetLatency: time.Second}
	gang := workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 2000}, Estimate: time.Second, Gang: true}
	small := gang
	small.Size.MilliCPU = 1500
	filler := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 4000}, Estimate: time.Minute}
	for _, c := range []struct {
		waits time.Duration
		first workload.JobID
	}{{100 * time.Millisecond, "large"}, {4 * time.Second, "small"}} {
		b := newBench(t, queues(urgent), workerOf("w", 1), jobIn("urgent", "filler", filler))
		b.pass(0)
		b.answerHolds(dispatch.Report{})
		running := b.commit(b.pass(planned)).Starts[0]
		b.core.Applied(b.now, b.now, 0, jobIn("urgent", "large", gang))
		b.core.Applied(b.now, b.now, 0, jobIn("urgent", "small", small))
		b.pass(c.waits)
		b.answerHolds(dispatch.Report{})
		b.core.Applied(b.now, b.now, 0, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{
			{Worker: "w", Boot: 1, Task: running.Task, Run: running.Run, How: workload.EndDone},
		}}})
		starts := b.commit(b.pass(planned)).Starts
		if len(starts) != 2 || starts[0].Task.Job != c.first {
			t.Errorf("after %v: starts %+v, want those of %s", c.waits, starts, c.first)
		}
	}
}
