package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

const (
	// maxCallDelay is how late a call may be carried out according to the platform. The dispatcher
	// waits one second longer.
	maxCallDelay = 12 * time.Second
	// maxPromptPlacement limits the placement time of a task that need not wait for in-doubt
	// starts.
	maxPromptPlacement = 2 * time.Second
)

// workerAnswers defines the answers of a worker after one of its starts may have been lost.
type workerAnswers struct {
	report dispatch.HoldReport // answer to holds; the listed runs end with a stop
	stop   dispatch.Outcome
}

var (
	unreachable = workerAnswers{dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent}, dispatch.OutcomeNotSent}
	laterBoot   = workerAnswers{dispatch.HoldReport{Boot: 2}, dispatch.OutcomeOK}
	otherWorker = workerAnswers{dispatch.HoldReport{Outcome: dispatch.OutcomeOtherWorker}, dispatch.OutcomeOtherWorker}
)

// timeToNextRun runs the core until it sends a start of a later run of a task and returns the
// elapsed time. The worker "w" gives the defined answers, the others work normally.
func (b *testbed) timeToNextRun(task workload.TaskID, answers workerAnswers) time.Duration {
	b.t.Helper()
	delay, placed := b.nextRun(task, answers)
	if !placed {
		b.t.Fatalf("no later run within %v", 2*maxCallDelay)
	}
	return delay
}

// nextRun is like timeToNextRun, but the later run need not occur.
func (b *testbed) nextRun(task workload.TaskID, answers workerAnswers) (delay time.Duration, placed bool) {
	startedAt := b.now
	e := b.tick(0)
	for b.now.Sub(startedAt) < 2*maxCallDelay {
		for _, start := range e.Starts {
			if start.Task == task && start.Run > 1 {
				return b.now.Sub(startedAt), true
			}
			b.core.StartAnswered(b.now, start, dispatch.OutcomeNotSent, 0)
		}
		for _, stop := range e.Stops {
			b.core.StopAnswered(b.now, stop, answers.stop, 0)
		}
		b.answerHoldsWith(answers)
		if len(e.Proposals) > 0 {
			e = b.commit(e)
		} else {
			e = b.tick(10 * time.Millisecond)
		}
	}
	return 0, false
}

func (b *testbed) answerHoldsWith(answers workerAnswers) {
	holds := b.openHolds
	b.openHolds = nil
	for _, hold := range holds {
		report := dispatch.HoldReport{Boot: hold.Boot}
		if hold.Worker == "w" {
			report = answers.report
		}
		report.Clock = b.now.Sub(epoch).Milliseconds() + 1000
		b.core.HoldAnswered(b.now, hold.Call, report)
	}
}

// apply applies a command that another process has committed.
func (b *testbed) apply(c workload.Command) { b.core.Apply(b.now, b.now, 0, c) }

// startWithOutcome returns a testbed with a task on the worker "w", whose start has the given
// outcome, and a free worker.
func startWithOutcome(t *testing.T, outcome dispatch.Outcome) (*testbed, workload.TaskID) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], outcome, 1100)
	b.apply(registerWorker("spare", 1))
	return b, starts[0].Task
}

// A task must not be placed elsewhere while a later boot may still carry out a lost start (platform
// rule TWICE).
func TestTaskWaitsForALostStartOfAnEndedBoot(t *testing.T) {
	b, task := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	if after := b.timeToNextRun(task, unreachable); after < maxCallDelay {
		t.Errorf("placed elsewhere after %v, want at least %v", after, maxCallDelay)
	}
}

// A task must not wait for an in-doubt start that the later boot of the worker refuses.
func TestTaskMovesOnceTheLaterBootRefusesItsStart(t *testing.T) {
	b, task := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	b.apply(registerWorker("w", 2))
	if after := b.timeToNextRun(task, laterBoot); after > maxPromptPlacement {
		t.Errorf("placed after %v, want at most %v", after, maxPromptPlacement)
	}
}

// A task must not wait for an in-doubt start if another worker answers at the address, because that
// worker rejects the start.
func TestTaskMovesIfAnotherWorkerHasTheAddress(t *testing.T) {
	b, task := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	if after := b.timeToNextRun(task, otherWorker); after > maxPromptPlacement {
		t.Errorf("placed after %v, want at most %v", after, maxPromptPlacement)
	}
}

// A task must not be placed elsewhere while it runs on a later boot that has carried out the start
// unnoticed (platform rule TWICE).
func TestTaskWaitsForTheStopOfARunOnAnUnnoticedBoot(t *testing.T) {
	b, task := startWithOutcome(t, dispatch.OutcomeOK)
	b.apply(registerWorker("w", 2))
	answers := laterBoot
	answers.stop = dispatch.OutcomeNoAnswer
	answers.report.Active = []dispatch.ActiveRun{{Task: task, Run: 1}}
	if after, placed := b.nextRun(task, answers); placed {
		t.Errorf("placed elsewhere after %v while the later boot runs it", after)
	}
}

// openedRun returns commands that open a run on the worker "w", as an earlier leader did.
func openedRun() []workload.Command {
	return []workload.Command{registerWorker("w", 1), submitJob("j", oneTask), {Decide: &workload.Decide{Assigns: []workload.Assign{{
		Step: workload.StepID{Job: "j"}, Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}},
	}}}}}
}

// A new leader must take into account the starts that the previous leader had sent (platform rule
// TWICE).
func TestNewLeaderWaitsForLostStartsOfTheFormerOne(t *testing.T) {
	task := workload.TaskID{Job: "j"}
	endBoot := workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}}
	for name, commands := range map[string][]workload.Command{
		"boot ends under the former leader": append(openedRun(), registerWorker("spare", 1), endBoot),
		"boot ends under the new leader":    append(openedRun(), registerWorker("spare", 1)),
	} {
		b := newTestbed(t, commands...)
		if after := b.timeToNextRun(task, unreachable); after < maxCallDelay {
			t.Errorf("%s: placed elsewhere after %v, want at least %v", name, after, maxCallDelay)
		}
		b = newTestbed(t, append(commands, registerWorker("w", 2))...)
		if after := b.timeToNextRun(task, laterBoot); after > maxPromptPlacement {
			t.Errorf("%s, then a later boot: placed after %v, want at most %v", name, after, maxPromptPlacement)
		}
	}
}

// The end of an unresponsive boot must be proposed once, not on each tick while the boot has an
// in-doubt start.
func TestBootOfAnUnresponsiveWorkerIsGivenUpOnce(t *testing.T) {
	b, _ := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	ended := 0
	for e := b.tick(0); b.now.Before(epoch.Add(maxCallDelay)); {
		for _, stop := range e.Stops {
			b.core.StopAnswered(b.now, stop, dispatch.OutcomeNotSent, 0)
		}
		for _, d := range e.Decisions {
			if d.Kind == dispatch.DecisionBootEnded {
				ended++
			}
		}
		b.answerHoldsWith(unreachable)
		if len(e.Proposals) > 0 {
			e = b.commit(e)
		} else {
			e = b.tick(10 * time.Millisecond)
		}
	}
	if ended != 1 {
		t.Errorf("the boot is given up %d times, want once", ended)
	}
}
