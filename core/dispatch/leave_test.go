package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// announceLeave announces that a worker will leave after a time.
func (b *testbed) announceLeave(id workload.WorkerID, after time.Duration) {
	leaving := registerWorker(id, 1)
	leaving.Register.Worker.Draining, leaving.Register.Worker.LeavesIn = true, after
	b.core.Apply(b.now, b.now, 0, leaving)
}

// linearProgress is the progress of runs that take exactly as long as estimated.
func linearProgress(step workload.StepSpec) func(dispatch.Start, time.Duration) int {
	return func(_ dispatch.Start, after time.Duration) int { return min(int(after*100/step.Estimate), 100) }
}

// Runs must be stopped if they cannot end before their worker leaves. Otherwise they are lost with
// the worker, and their tasks wait until its lease has expired.
func TestRunThatCannotEndIsStoppedOnALeavingWorker(t *testing.T) {
	for name, gang := range map[string]bool{"gang": true, "single": false} {
		step := workload.StepSpec{Tasks: 3, Size: wholeWorker, Gang: gang, Estimate: 4 * time.Second}
		b, runs := startRunningTasks(t, 6, step)
		if stops, after := b.runUntilStop(time.Second, runs, linearProgress(step)); len(stops) > 0 {
			t.Fatalf("%s: stopped after %v", name, after)
		}
		b.announceLeave(runs[0].Worker, 2*time.Second)
		want := 1
		if gang {
			want = step.Tasks
		}
		stops := append(b.tick(time.Millisecond).Stops, b.tick(time.Millisecond).Stops...)
		if len(stops) != want || !gang && stops[0].Worker != runs[0].Worker {
			t.Errorf("%s: stops %+v, want %d", name, stops, want)
		}
	}
}

// Runs must not be stopped on a worker that stays long enough or that has not announced when it
// leaves.
func TestRunThatEndsInTimeStaysOnALeavingWorker(t *testing.T) {
	for name, after := range map[string]time.Duration{"long enough": 3500 * time.Millisecond, "not said": 0} {
		for _, gang := range []bool{true, false} {
			step := workload.StepSpec{Tasks: 3, Size: wholeWorker, Gang: gang, Estimate: 4 * time.Second}
			b, runs := startRunningTasks(t, 6, step)
			b.runUntilStop(time.Second, runs, linearProgress(step))
			b.announceLeave(runs[0].Worker, after)
			startedAt := b.now
			stops, at := b.runUntilStop(2500*time.Millisecond, runs, func(start dispatch.Start, after time.Duration) int {
				return min(int((time.Second+after)*100/step.Estimate), 100)
			})
			if len(stops) > 0 {
				t.Errorf("%s, gang %v: stopped after %v of %v", name, gang, at, b.now.Sub(startedAt))
			}
		}
	}
}

// A task that was estimated too short must not stay on a worker that leaves before the task can
// end.
func TestMeasuredProgressDecidesOnALeavingWorker(t *testing.T) {
	step := workload.StepSpec{Tasks: 1, Size: wholeWorker, Estimate: 2 * time.Second}
	b, runs := startRunningTasks(t, 2, step)
	halfSpeed := func(_ dispatch.Start, after time.Duration) int { return min(int(after*100/(2*step.Estimate)), 100) }
	if stops, after := b.runUntilStop(time.Second, runs, halfSpeed); len(stops) > 0 {
		t.Fatalf("stopped after %v", after)
	}
	b.announceLeave(runs[0].Worker, 2*time.Second)
	if stops := b.tick(time.Millisecond).Stops; len(stops) != 1 {
		t.Errorf("stops %+v, want one", stops)
	}
}
