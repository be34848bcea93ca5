package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// reportEnd reports the end of a run on its worker and returns the starts that follow. number is
// the worker's number of the end.
func (b *testbed) reportEnd(start dispatch.Start, number uint64, result workload.RunEnd) []dispatch.Start {
	b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 0)
	holds := b.openHolds
	b.openHolds = nil
	for _, h := range holds {
		report := dispatch.HoldReport{Clock: b.now.Sub(epoch).Milliseconds() + 1000}
		if h.Worker == start.Worker {
			report.Ends = []dispatch.ListedEnd{{Number: number, Task: start.Task, Run: start.Run, Result: result}}
		}
		b.core.HoldAnswered(b.now, h.Call, report)
	}
	return append(b.commitStarts(replanDelay), b.commitStarts(replanDelay)...)
}

// commitStarts advances the time, commits all proposals and returns the starts.
func (b *testbed) commitStarts(d time.Duration) []dispatch.Start {
	e := b.tick(d)
	starts := e.Starts
	for len(e.Proposals) > 0 {
		e = b.commit(e)
		starts = append(starts, e.Starts...)
	}
	return starts
}

// A task must not use up its attempts on the worker that fails it, although that worker has free
// resources first (incident inc-c50b).
func TestFailedTaskGoesToAnotherWorker(t *testing.T) {
	b := newTestbed(t, registerWorker("w0", 1), registerWorker("w1", 1), submitJob("j", oneTask))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	first := b.commitStarts(replanDelay)
	if len(first) != 1 {
		t.Fatalf("starts %+v", first)
	}
	next := b.reportEnd(first[0], 1, workload.EndFailed)
	if len(next) != 1 || next[0].Worker == first[0].Worker {
		t.Errorf("failed on %s, then starts %+v", first[0].Worker, next)
	}
}

// A task must be run again even if its only worker has failed it once.
func TestFailedTaskReturnsToTheOnlyWorker(t *testing.T) {
	b := newTestbed(t, registerWorker("w0", 1), submitJob("j", oneTask))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	starts := b.reportEnd(b.commitStarts(replanDelay)[0], 1, workload.EndFailed)
	for range 20 {
		if len(starts) > 0 {
			return
		}
		starts = b.commitStarts(100 * time.Millisecond)
		b.answerHolds(dispatch.HoldReport{})
	}
	t.Error("not started again within 2 s")
}

// A blocked step must be planned again when it may use suspect workers, even if its job was woken
// earlier for another reason. No other event occurs in this test.
func TestBlockedStepIsPlannedAgainAfterAnEarlierWakeUp(t *testing.T) {
	b := newTestbed(t, registerWorker("w0", 1), submitJob("j", oneTask))
	b.tick(0) // blocked without a worker; the wake-up is due after one second
	b.answerHolds(dispatch.HoldReport{})
	starts := b.reportEnd(b.commitStarts(replanDelay)[0], 1, workload.EndFailed)
	for range 200 {
		if len(starts) > 0 {
			return
		}
		starts = b.commitStarts(10 * time.Millisecond)
		b.answerHolds(dispatch.HoldReport{})
	}
	t.Error("not started again within 2 s")
}

// A worker that fails all of its runs must not be filled with work again after each avoidance
// period (incident inc-c50b: 34 failed runs in 12 s).
func TestFailingWorkerIsTriedWithOneRun(t *testing.T) {
	filler := workload.StepSpec{Tasks: 2, Size: wholeWorker, MaxPerWorker: 1}
	commands := []workload.Command{registerWorker("w", 1), registerWorker("x", 1), registerWorker("y", 1)}
	commands = append(commands, submitJob("filler", filler))
	for i := range 12 {
		commands = append(commands, submitJob(workload.JobID(fmt.Sprintf("j%02d", i)), oneTask))
	}
	b := newTestbed(t, commands...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	// Free resources are scarce: two of three workers are full.
	running := slices.DeleteFunc(b.commitStarts(replanDelay), func(s dispatch.Start) bool { return s.Task.Job == "filler" })
	for _, start := range running {
		if start.Worker != running[0].Worker {
			t.Fatalf("starts %+v", running)
		}
	}
	var failed []time.Duration
	for number := uint64(1); b.now.Before(epoch.Add(20 * time.Second)); {
		if len(running) == 0 {
			running = b.commitStarts(100 * time.Millisecond)
			b.answerHolds(dispatch.HoldReport{})
			continue
		}
		next := b.reportEnd(running[0], number, workload.EndFailed)
		failed = append(failed, b.now.Sub(epoch))
		number++
		running = append(running[1:], next...)
	}
	// Four tasks fit at first. Single runs follow after 3, 6 and 12 s.
	if len(failed) > 4+3 {
		t.Errorf("%d runs failed, at %v", len(failed), failed)
	}
}

// A job must run while resources are free, even if the only workers that may run it are avoided for
// longer and longer.
func TestAvoidedWorkerIsUsedIfNoOtherIsPermitted(t *testing.T) {
	labelled := registerWorker("w", 1)
	labelled.Register.Worker.Labels = []string{"kind"}
	step := oneTask
	step.RequiredLabel = "kind"
	commands := []workload.Command{labelled, registerWorker("x", 1), registerWorker("y", 1)}
	for i := range 12 {
		commands = append(commands, submitJob(workload.JobID(fmt.Sprintf("j%02d", i)), step))
	}
	b := newTestbed(t, commands...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	running := b.commitStarts(replanDelay)
	idleSince := b.now
	for number := uint64(1); b.now.Before(epoch.Add(20 * time.Second)); {
		if len(running) == 0 {
			if idle := b.now.Sub(idleSince); idle > 2*time.Second {
				t.Fatalf("nothing runs for %v after %d failed runs", idle, number-1)
			}
			running = b.commitStarts(100 * time.Millisecond)
			b.answerHolds(dispatch.HoldReport{})
			continue
		}
		next := b.reportEnd(running[0], number, workload.EndFailed)
		idleSince = b.now
		number++
		running = append(running[1:], next...)
	}
}

// twoAttemptQueue is a queue in which a job fails when a task fails for the second time.
var twoAttemptQueue = workload.Queue{Name: "q", Service: "shop", MaxAttempts: 2}

// The last attempt of a task must not be made on a worker that has failed runs of other jobs.
func TestLastAttemptAvoidsWorkersWithFailedRuns(t *testing.T) {
	whole := workload.Resources{MilliCPU: 4000}
	for name, step := range map[string]workload.StepSpec{
		"single": {Tasks: 1, Size: whole},
		"gang":   {Tasks: 1, Size: whole, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, configureQueues(twoAttemptQueue), registerWorker("w0", 1), registerWorker("w1", 1), registerWorker("w2", 1), registerWorker("w3", 1),
				submitJob("a", step), submitJob("b", step))
			b.tick(0)
			b.answerHolds(dispatch.HoldReport{})
			first := b.commitStarts(replanDelay)
			if len(first) != 2 {
				t.Fatalf("starts %+v", first)
			}
			again := b.reportEnd(first[0], 1, workload.EndFailed)
			if len(again) != 1 {
				t.Fatalf("after the failure on %s: starts %+v", first[0].Worker, again)
			}
			b.core.StartAnswered(b.now, again[0], dispatch.OutcomeOK, 0)
			last := b.reportEnd(first[1], 1, workload.EndFailed)
			if len(last) != 1 || last[0].Worker == first[0].Worker || last[0].Worker == first[1].Worker {
				t.Errorf("failed on %s and %s, then starts %+v", first[0].Worker, first[1].Worker, last)
			}
		})
	}
}

// The last attempt must be made even if every worker has failed runs.
func TestLastAttemptIsMadeIfAllWorkersHaveFailedRuns(t *testing.T) {
	step := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 4000}}
	b := newTestbed(t, configureQueues(twoAttemptQueue), registerWorker("w0", 1), registerWorker("w1", 1), submitJob("a", step), submitJob("b", step))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	first := b.commitStarts(replanDelay)
	if len(first) != 2 {
		t.Fatalf("starts %+v", first)
	}
	starts := b.reportEnd(first[0], 1, workload.EndFailed)
	starts = append(starts, b.reportEnd(first[1], 1, workload.EndFailed)...)
	for range 20 {
		if len(starts) == 2 {
			return
		}
		starts = append(starts, b.commitStarts(100*time.Millisecond)...)
		b.answerHolds(dispatch.HoldReport{})
	}
	t.Errorf("within 2 s only starts %+v", starts)
}

// A gang must not wait forever because a worker on probation gets one task at a time (TestSoak,
// seeds 3326 and 5275).
func TestGangUsesAWorkerOnProbation(t *testing.T) {
	failing := []workload.JobID{"a", "b", "c", "d"}
	commands := []workload.Command{registerWorker("w", 1)}
	for _, id := range failing {
		commands = append(commands, submitJob(id, oneTask))
	}
	b := newTestbed(t, commands...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	var ends []dispatch.ListedEnd
	for i, start := range b.commitStarts(replanDelay) {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
		ends = append(ends, dispatch.ListedEnd{Number: uint64(i + 1), Task: start.Task, Run: start.Run, Result: workload.EndFailed})
	}
	b.answerHolds(dispatch.HoldReport{Ends: ends})
	for _, id := range failing {
		b.core.Apply(b.now, b.now, 0, workload.Command{Cancel: &workload.Cancel{ID: id}})
	}
	gang := workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}, Gang: true}
	b.core.Apply(b.now, b.now, 0, submitJob("gang", gang))
	for range 200 {
		if starts := b.commitStarts(100 * time.Millisecond); len(starts) > 0 {
			if len(starts) != gang.Tasks {
				t.Errorf("starts %+v, want %d", starts, gang.Tasks)
			}
			return
		}
		b.answerHolds(dispatch.HoldReport{})
	}
	t.Error("the gang is not placed within 20 s")
}
