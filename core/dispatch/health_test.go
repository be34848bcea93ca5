package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// end lists a run as ended on its worker and returns the starts that follow.
// number is that of the end on the worker.
func (b *bench) end(start dispatch.Start, number uint64, how workload.RunEnd) []dispatch.Start {
	b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 0)
	open := b.open
	b.open = nil
	for _, h := range open {
		report := dispatch.Report{Clock: b.now.Sub(epoch).Milliseconds() + 1000}
		if h.Worker == start.Worker {
			report.Ends = []dispatch.ListedEnd{{Number: number, Task: start.Task, Run: start.Run, How: how}}
		}
		b.core.HoldAnswered(b.now, h.Call, report)
	}
	return append(b.starts(planned), b.starts(planned)...)
}

// starts lets time pass, commits all that is proposed and returns the starts.
func (b *bench) starts(d time.Duration) []dispatch.Start {
	e := b.pass(d)
	starts := e.Starts
	for len(e.Proposals) > 0 {
		e = b.commit(e)
		starts = append(starts, e.Starts...)
	}
	return starts
}

// Guards against a task that uses up its attempts on the worker that fails it:
// its room is free first (incident inc-c50b).
func TestFailedTaskGoesToAnotherWorker(t *testing.T) {
	b := newBench(t, workerOf("w0", 1), workerOf("w1", 1), jobOf("j", oneTask))
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	first := b.starts(planned)
	if len(first) != 1 {
		t.Fatalf("starts %+v", first)
	}
	next := b.end(first[0], 1, workload.EndFailed)
	if len(next) != 1 || next[0].Worker == first[0].Worker {
		t.Errorf("failed on %s, then starts %+v", first[0].Worker, next)
	}
}

// Guards against a task that is never run again because its only worker has
// failed it once.
func TestFailedTaskReturnsWhereNoOtherWorkerIs(t *testing.T) {
	b := newBench(t, workerOf("w0", 1), jobOf("j", oneTask))
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	starts := b.end(b.starts(planned)[0], 1, workload.EndFailed)
	for range 20 {
		if len(starts) > 0 {
			return
		}
		starts = b.starts(100 * time.Millisecond)
		b.answerHolds(dispatch.Report{})
	}
	t.Error("not started again within 2 s")
}

// Guards against a blocked step that is not planned again when it may use suspect
// workers, because the job was woken for an earlier cause in between. Nothing
// else happens in the system.
func TestBlockedStepIsPlannedAgainAfterAnEarlierWakeUp(t *testing.T) {
	b := newBench(t, workerOf("w0", 1), jobOf("j", oneTask))
	b.pass(0) // blocked without a worker, to be woken a second from now
	b.answerHolds(dispatch.Report{})
	starts := b.end(b.starts(planned)[0], 1, workload.EndFailed)
	for range 200 {
		if len(starts) > 0 {
			return
		}
		starts = b.starts(10 * time.Millisecond)
		b.answerHolds(dispatch.Report{})
	}
	t.Error("not started again within 2 s")
}

// Guards against a worker that fails whatever it runs getting full of work again
// after each pause (incident inc-c50b: 34 failed runs in 12 s).
func TestFailingWorkerIsTriedWithOneRun(t *testing.T) {
	filler := workload.StepSpec{Tasks: 2, Size: wholeWorker, MaxPerWorker: 1}
	commands := []workload.Command{workerOf("w", 1), workerOf("x", 1), workerOf("y", 1)}
	commands = append(commands, jobOf("filler", filler))
	for i := range 12 {
		commands = append(commands, jobOf(workload.JobID(fmt.Sprintf("j%02d", i)), oneTask))
	}
	b := newBench(t, commands...)
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	// Room is scarce: two of three workers are full.
	running := slices.DeleteFunc(b.starts(planned), func(s dispatch.Start) bool { return s.Task.Job == "filler" })
	for _, start := range running {
		if start.Worker != running[0].Worker {
			t.Fatalf("starts %+v", running)
		}
	}
	var failed []time.Duration
	for number := uint64(1); b.now.Before(epoch.Add(20 * time.Second)); {
		if len(running) == 0 {
			running = b.starts(100 * time.Millisecond)
			b.answerHolds(dispatch.Report{})
			continue
		}
		next := b.end(running[0], number, workload.EndFailed)
		failed = append(failed, b.now.Sub(epoch))
		number++
		running = append(running[1:], next...)
	}
	// Four tasks fit. Trials follow after 3, 6 and 12 s.
	if len(failed) > 4+3 {
		t.Errorf("%d runs failed, at %v", len(failed), failed)
	}
}

// Guards against a job that nothing runs while there is room, because the only
// workers that may run it are avoided for longer and longer.
func TestAvoidedWorkerServesWhereNoOtherMay(t *testing.T) {
	labelled := workerOf("w", 1)
	labelled.Register.Worker.Labels = []string{"kind"}
	step := oneTask
	step.RequiredLabel = "kind"
	commands := []workload.Command{labelled, workerOf("x", 1), workerOf("y", 1)}
	for i := range 12 {
		commands = append(commands, jobOf(workload.JobID(fmt.Sprintf("j%02d", i)), step))
	}
	b := newBench(t, commands...)
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	running := b.starts(planned)
	idleSince := b.now
	for number := uint64(1); b.now.Before(epoch.Add(20 * time.Second)); {
		if len(running) == 0 {
			if idle := b.now.Sub(idleSince); idle > 2*time.Second {
				t.Fatalf("nothing runs for %v after %d failed runs", idle, number-1)
			}
			running = b.starts(100 * time.Millisecond)
			b.answerHolds(dispatch.Report{})
			continue
		}
		next := b.end(running[0], number, workload.EndFailed)
		idleSince = b.now
		number++
		running = append(running[1:], next...)
	}
}

// twoAttempts is a queue whose jobs fail with the second failed run of a task.
var twoAttempts = workload.Queue{Name: "q", Service: "shop", MaxAttempts: 2}

// Guards against a job that fails because the last attempt of a task is made on
// a worker that fails the runs of other jobs too.
func TestLastAttemptKeepsOffWorkersWithFailedRuns(t *testing.T) {
	whole := workload.Resources{MilliCPU: 4000}
	for name, step := range map[string]workload.StepSpec{
		"single": {Tasks: 1, Size: whole},
		"gang":   {Tasks: 1, Size: whole, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, queues(twoAttempts), workerOf("w0", 1), workerOf("w1", 1), workerOf("w2", 1), workerOf("w3", 1),
				jobOf("a", step), jobOf("b", step))
			b.pass(0)
			b.answerHolds(dispatch.Report{})
			first := b.starts(planned)
			if len(first) != 2 {
				t.Fatalf("starts %+v", first)
			}
			again := b.end(first[0], 1, workload.EndFailed)
			if len(again) != 1 {
				t.Fatalf("after the failure on %s: starts %+v", first[0].Worker, again)
			}
			b.core.StartAnswered(b.now, again[0], dispatch.OutcomeOK, 0)
			last := b.end(first[1], 1, workload.EndFailed)
			if len(last) != 1 || last[0].Worker == first[0].Worker || last[0].Worker == first[1].Worker {
				t.Errorf("failed on %s and %s, then starts %+v", first[0].Worker, first[1].Worker, last)
			}
		})
	}
}

// Guards against a last attempt that is never made because every worker has
// failed runs.
func TestLastAttemptIsMadeWhereAllWorkersHaveFailedRuns(t *testing.T) {
	step := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 4000}}
	b := newBench(t, queues(twoAttempts), workerOf("w0", 1), workerOf("w1", 1), jobOf("a", step), jobOf("b", step))
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	first := b.starts(planned)
	if len(first) != 2 {
		t.Fatalf("starts %+v", first)
	}
	starts := b.end(first[0], 1, workload.EndFailed)
	starts = append(starts, b.end(first[1], 1, workload.EndFailed)...)
	for range 20 {
		if len(starts) == 2 {
			return
		}
		starts = append(starts, b.starts(100*time.Millisecond)...)
		b.answerHolds(dispatch.Report{})
	}
	t.Errorf("within 2 s only starts %+v", starts)
}

// Guards against a gang that waits for ever because a worker on probation gets one task at a time (TestSoak, seeds 3326 and 5275).
func TestGangUsesAWorkerOnProbation(t *testing.T) {
	failing := []workload.JobID{"a", "b", "c", "d"}
	commands := []workload.Command{workerOf("w", 1)}
	for _, id := range failing {
		commands = append(commands, jobOf(id, oneTask))
	}
	b := newBench(t, commands...)
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	var ends []dispatch.ListedEnd
	for i, start := range b.starts(planned) {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
		ends = append(ends, dispatch.ListedEnd{Number: uint64(i + 1), Task: start.Task, Run: start.Run, How: workload.EndFailed})
	}
	b.answerHolds(dispatch.Report{Ends: ends})
	for _, id := range failing {
		b.core.Applied(b.now, b.now, 0, workload.Command{Cancel: &workload.Cancel{ID: id}})
	}
	gang := workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}, Gang: true}
	b.core.Applied(b.now, b.now, 0, jobOf("gang", gang))
	for range 200 {
		if starts := b.starts(100 * time.Millisecond); len(starts) > 0 {
			if len(starts) != gang.Tasks {
				t.Errorf("starts %+v, want %d", starts, gang.Tasks)
			}
			return
		}
		b.answerHolds(dispatch.Report{})
	}
	t.Error("the gang is not placed within 20 s")
}
