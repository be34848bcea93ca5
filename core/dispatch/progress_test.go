package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// reportProgress answers the open holds. Each worker reports its runs with a percentage.
func (b *testbed) reportProgress(runs []dispatch.Start, percent func(dispatch.Start) int) {
	holds := b.openHolds
	b.openHolds = nil
	for _, h := range holds {
		report := dispatch.HoldReport{Clock: b.now.Sub(epoch).Milliseconds() + 1000}
		for _, start := range runs {
			if start.Worker == h.Worker {
				report.Active = append(report.Active, dispatch.ActiveRun{Task: start.Task, Run: start.Run, Percent: percent(start)})
			}
		}
		b.core.HoldAnswered(b.now, h.Call, report)
	}
}

// runUntilStop advances the time, with a report of all workers every 100 ms, and returns the first
// stops and the elapsed time.
func (b *testbed) runUntilStop(d time.Duration, runs []dispatch.Start, percent func(start dispatch.Start, elapsed time.Duration) int) (stops []dispatch.Stop, elapsed time.Duration) {
	startedAt := b.now
	for b.now.Sub(startedAt) < d {
		e := b.tick(100 * time.Millisecond)
		elapsed = b.now.Sub(startedAt)
		b.reportProgress(runs, func(start dispatch.Start) int { return percent(start, elapsed) })
		if e = b.tick(time.Millisecond); len(e.Stops) > 0 {
			return e.Stops, elapsed
		}
	}
	return nil, elapsed
}

// startRunningTasks returns a testbed in which the tasks of a job are running.
func startRunningTasks(t *testing.T, workers int, step workload.StepSpec) (*testbed, []dispatch.Start) {
	commands := []workload.Command{submitJob("j", step)}
	for i := range workers {
		commands = append(commands, registerWorker(workload.WorkerID(fmt.Sprint("w", i)), 1))
	}
	b := newTestbed(t, commands...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	starts := b.commit(b.tick(replanDelay)).Starts
	if len(starts) != step.Tasks {
		t.Fatalf("%d starts, want %d", len(starts), step.Tasks)
	}
	for _, start := range starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 0)
	}
	return b, starts
}

var wholeWorker = workload.Resources{MilliCPU: 4000}

// A gang with a stalled member must be stopped. Otherwise all other members wait at 100 percent; in
// the observed case for five seconds, until the fault of the worker was over.
func TestGangWithAStalledMemberIsStopped(t *testing.T) {
	step := workload.StepSpec{Tasks: 4, Size: wholeWorker, Gang: true, Estimate: time.Second}
	b, runs := startRunningTasks(t, 6, step)
	stops, after := b.runUntilStop(10*time.Second, runs, func(start dispatch.Start, after time.Duration) int {
		percent := min(int(after*100/step.Estimate), 100)
		if start.Task.Index == 0 {
			return min(percent, 20)
		}
		return percent
	})
	if len(stops) != step.Tasks {
		t.Fatalf("%d stops after %v, want %d", len(stops), after, step.Tasks)
	}
	// Waiting must at most double the cost of a restart.
	if after > 4*time.Second {
		t.Errorf("stopped after %v", after)
	}
}

// Runs must not be given up because they exceed the estimate or run on a slow type of worker.
func TestSlowRunsAreNotGivenUp(t *testing.T) {
	for name, gang := range map[string]bool{"gang": true, "single": false} {
		step := workload.StepSpec{Tasks: 4, Size: wholeWorker, Gang: gang, Estimate: time.Second}
		b, runs := startRunningTasks(t, 6, step)
		stops, after := b.runUntilStop(2600*time.Millisecond, runs, func(start dispatch.Start, after time.Duration) int {
			took := 2 * step.Estimate
			if start.Task.Index == 0 {
				took = took * 13 / 10
			}
			return min(int(after*100/took), 100)
		})
		if len(stops) > 0 {
			t.Errorf("%s: stopped after %v: %+v", name, after, stops)
		}
	}
}

// gangTimeout is the shortest time for which the members of a gang wait for each other (gangMs).
const gangTimeout = 3 * time.Second

// Members of a gang must not hold their resources until the run times out because another member
// was never started.
func TestGangIsStoppedWhenAMemberIsGivenUp(t *testing.T) {
	step := workload.StepSpec{Tasks: 2, Size: wholeWorker, Gang: true, Estimate: time.Second}
	b := newTestbed(t, registerWorker("w0", 1), registerWorker("w1", 1), submitJob("j", step))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	starts := b.commit(b.tick(replanDelay)).Starts
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 0)
	lost := starts[1:]
	for deadline := b.now.Add(gangTimeout); b.now.Before(deadline); {
		for _, start := range lost {
			b.core.StartAnswered(b.now, start, dispatch.OutcomeNoAnswer, 0)
		}
		e := b.tick(100 * time.Millisecond)
		if slices.ContainsFunc(e.Stops, func(stop dispatch.Stop) bool { return stop.Task == starts[0].Task }) {
			return
		}
		lost = e.Starts
	}
	t.Errorf("the member that was started is not stopped within %v, when its run times out", gangTimeout)
}

// A gang must not use slow workers if it fits on the others, because all members wait for the
// slowest one.
func TestGangsAvoidSlowWorkers(t *testing.T) {
	const workers, slow = 6, "w0"
	step := workload.StepSpec{Tasks: workers, Size: wholeWorker, Gang: true, Estimate: time.Second, MaxPerWorker: 1}
	b, runs := startRunningTasks(t, workers, step)
	for i := 1; i <= 13; i++ {
		b.tick(100 * time.Millisecond)
		b.reportProgress(runs, func(start dispatch.Start) int {
			if start.Worker == slow {
				return min(i*100/13, 100)
			}
			return min(i*10, 100)
		})
	}
	b.tick(time.Millisecond)
	holds := b.openHolds
	b.openHolds = nil
	for _, h := range holds {
		report := dispatch.HoldReport{Clock: b.now.Sub(epoch).Milliseconds() + 1000}
		for _, start := range runs {
			if start.Worker == h.Worker {
				report.Ends = []dispatch.ListedEnd{{Number: 1, Task: start.Task, Run: start.Run, Result: workload.EndDone}}
			}
		}
		b.core.HoldAnswered(b.now, h.Call, report)
	}
	b.commit(b.tick(replanDelay))
	b.answerHolds(dispatch.HoldReport{})
	next := workload.StepSpec{Tasks: 2, Size: wholeWorker, Gang: true, Estimate: time.Second}
	b.core.Apply(b.now, b.now, 0, submitJob("gang", next))
	starts := b.commit(b.tick(time.Second)).Starts
	if len(starts) != 2 {
		t.Fatalf("starts %+v", starts)
	}
	single := next
	single.Gang, single.Tasks = false, 1
	b.core.Apply(b.now, b.now, 0, submitJob("single", single))
	starts = append(starts, b.commit(b.tick(replanDelay)).Starts...)
	for _, start := range starts {
		if onSlow := start.Worker == slow; onSlow != (start.Task.Job == "single") {
			t.Errorf("%s on %s", start.Task.Job, start.Worker)
		}
	}
}
