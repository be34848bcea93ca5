package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

const (
	// lateLimit is how late an order may be carried out.
	lateLimit = 12 * time.Second
	// soon bounds the placement of a task that need not wait for late orders.
	soon = 2 * time.Second
)

// lostWorker is how a worker answers after one of its starts may have been lost.
type lostWorker struct {
	report dispatch.Report // to holds; its runs end with a stop
	stop   dispatch.Outcome
}

var (
	unreachable = lostWorker{dispatch.Report{Outcome: dispatch.OutcomeNotSent}, dispatch.OutcomeNotSent}
	laterBoot   = lostWorker{dispatch.Report{Boot: 2}, dispatch.OutcomeOK}
	otherWorker = lostWorker{dispatch.Report{Outcome: dispatch.OutcomeOtherBoot}, dispatch.OutcomeOtherBoot}
)

// untilNextRun plays until a start of a later run of a task leaves, and returns
// how long that took. The worker "w" answers as given, the others soundly.
func (b *bench) untilNextRun(task workload.TaskID, w lostWorker) time.Duration {
	b.t.Helper()
	after, placed := b.nextRun(task, w)
	if !placed {
		b.t.Fatalf("no later run within %v", 2*lateLimit)
	}
	return after
}

// nextRun is untilNextRun for a run that may not come.
func (b *bench) nextRun(task workload.TaskID, w lostWorker) (after time.Duration, placed bool) {
	begun := b.now
	e := b.pass(0)
	for b.now.Sub(begun) < 2*lateLimit {
		for _, start := range e.Starts {
			if start.Task == task && start.Run > 1 {
				return b.now.Sub(begun), true
			}
			b.core.StartAnswered(b.now, start, dispatch.OutcomeNotSent, 0)
		}
		for _, stop := range e.Stops {
			b.core.StopAnswered(b.now, stop, w.stop, 0)
		}
		b.answerHoldsOf(w)
		if len(e.Proposals) > 0 {
			e = b.commit(e)
		} else {
			e = b.pass(10 * time.Millisecond)
		}
	}
	return 0, false
}

// answerHoldsOf answers the open holds.
func (b *bench) answerHoldsOf(w lostWorker) {
	open := b.open
	b.open = nil
	for _, hold := range open {
		report := dispatch.Report{Boot: hold.Boot}
		if hold.Worker == "w" {
			report = w.report
		}
		report.Clock = b.now.Sub(epoch).Milliseconds() + 1000
		b.core.HoldAnswered(b.now, hold.Call, report)
	}
}

// apply applies a command that is committed by another process.
func (b *bench) apply(c workload.Command) { b.core.Applied(b.now, b.now, 0, c) }

// lostStart returns a bench with a task on the worker "w", whose start is
// answered as given, and a worker that is free.
func lostStart(t *testing.T, outcome dispatch.Outcome) (*bench, workload.TaskID) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], outcome, 1100)
	b.apply(workerOf("spare", 1))
	return b, starts[0].Task
}

// Guards against a task that is placed elsewhere while a lost start can still begin it on a later boot (TWICE).
func TestTaskWaitsForALostStartOfAnEndedBoot(t *testing.T) {
	b, task := lostStart(t, dispatch.OutcomeNoAnswer)
	if after := b.untilNextRun(task, unreachable); after < lateLimit {
		t.Errorf("placed elsewhere after %v, within %v", after, lateLimit)
	}
}

// Guards against waiting for late orders that the later boot of their worker has refused.
func TestTaskMovesOnceTheLaterBootRefusesItsStart(t *testing.T) {
	b, task := lostStart(t, dispatch.OutcomeNoAnswer)
	b.apply(workerOf("w", 2))
	if after := b.untilNextRun(task, laterBoot); after > soon {
		t.Errorf("placed after %v, want at most %v", after, soon)
	}
}

// Guards against waiting for late orders where another worker answers at the address, which rejects them.
func TestTaskMovesWhereAnotherWorkerHasTheAddress(t *testing.T) {
	b, task := lostStart(t, dispatch.OutcomeNoAnswer)
	if after := b.untilNextRun(task, otherWorker); after > soon {
		t.Errorf("placed after %v, want at most %v", after, soon)
	}
}

// Guards against a start that an unnoticed later boot has taken: the task is placed elsewhere while it runs there (TWICE).
func TestTaskWaitsForTheStopOfARunOnAnUnnoticedBoot(t *testing.T) {
	b, task := lostStart(t, dispatch.OutcomeOK)
	b.apply(workerOf("w", 2))
	running := laterBoot
	running.stop = dispatch.OutcomeNoAnswer
	running.report.Active = []dispatch.ActiveRun{{Task: task, Run: 1}}
	if after, placed := b.nextRun(task, running); placed {
		t.Errorf("placed elsewhere after %v while the later boot runs it", after)
	}
}

// opened is a task with a run on the worker "w" that an earlier leader opened.
func opened() []workload.Command {
	return []workload.Command{workerOf("w", 1), jobOf("j", oneTask), {Decide: &workload.Decide{Assigns: []workload.Assign{{
		Step: workload.StepID{Job: "j"}, Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}},
	}}}}}
}

// Guards against a new leader that does not know of the starts which the former one had sent (TWICE).
func TestNewLeaderWaitsForLostStartsOfTheFormerOne(t *testing.T) {
	task := workload.TaskID{Job: "j"}
	endBoot := workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}}
	for name, commands := range map[string][]workload.Command{
		"boot ends under the former leader": append(opened(), workerOf("spare", 1), endBoot),
		"boot ends under the new leader":    append(opened(), workerOf("spare", 1)),
	} {
		b := newBench(t, commands...)
		if after := b.untilNextRun(task, unreachable); after < lateLimit {
			t.Errorf("%s: placed elsewhere after %v, within %v", name, after, lateLimit)
		}
		b = newBench(t, append(commands, workerOf("w", 2))...)
		if after := b.untilNextRun(task, laterBoot); after > soon {
			t.Errorf("%s, then a later boot: placed after %v, want at most %v", name, after, soon)
		}
	}
}

// Guards against the end of a silent boot that is proposed with each turn while it is still to refuse a late start.
func TestBootOfASilentWorkerIsGivenUpOnce(t *testing.T) {
	b, _ := lostStart(t, dispatch.OutcomeNoAnswer)
	ended := 0
	for e := b.pass(0); b.now.Before(epoch.Add(lateLimit)); {
		for _, stop := range e.Stops {
			b.core.StopAnswered(b.now, stop, dispatch.OutcomeNotSent, 0)
		}
		for _, d := range e.Decisions {
			if d.Kind == dispatch.DecisionBootEnded {
				ended++
			}
		}
		b.answerHoldsOf(unreachable)
		if len(e.Proposals) > 0 {
			e = b.commit(e)
		} else {
			e = b.pass(10 * time.Millisecond)
		}
	}
	if ended != 1 {
		t.Errorf("given up %d times, want once", ended)
	}
}
