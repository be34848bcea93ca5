package workload_test

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against a start after the last attempt, with a failure reported late (platform rule BUDGET).
func TestFailedEndOfAClosedRunIsCountedOnce(t *testing.T) {
	task, member := workload.TaskID{Job: "j"}, workload.TaskAssignment{Worker: "w", Boot: 1}
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	ts.assign(task.StepID(), member)
	ts.apply(workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}})
	for range 3 {
		ts.end("w", task, 1, workload.EndFailed)
	}
	if got := ts.jobState("j"); got.Ended() {
		t.Fatalf("job is %s after one failed run of two", got)
	}
	ts.assign(task.StepID(), member)
	ts.end("w", task, 2, workload.EndFailed)
	if got := ts.jobState("j"); got != "failed" {
		t.Errorf("job is %s after two failed runs of two, want failed", got)
	}
}

// Guards against counting a gang run once for each member whose failed end is reported late.
func TestFailedEndsOfAClosedGangRunCountOnce(t *testing.T) {
	gang := tasks(2, 1)
	gang.Gang = true
	ts := newTestState(t, register("w", 1, 10), submit("g", gang))
	members := []workload.TaskAssignment{{Index: 0, Worker: "w", Boot: 1}, {Index: 1, Worker: "w", Boot: 1}}
	ts.assign(workload.StepID{Job: "g"}, members...)
	ts.apply(workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}})
	for index := range members {
		ts.end("w", workload.TaskID{Job: "g", Index: index}, 1, workload.EndFailed)
	}
	if step := ts.state.Job("g").Steps[0]; step.Failures != 1 || ts.jobState("g") != "running" {
		t.Errorf("%d failures, job %s, want 1 and running", step.Failures, ts.jobState("g"))
	}
}

// Guards against counting a failure that was counted before a snapshot or when its run was closed.
func TestFailedEndIsNotCountedAgainAfterARestore(t *testing.T) {
	task, member := workload.TaskID{Job: "j"}, workload.TaskAssignment{Worker: "w", Boot: 1}
	for name, closed := range map[string]workload.Command{
		"closed with its boot": {EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}},
		"closed as failed":     {Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: "w", Boot: 1, Task: task, Run: 1, How: workload.EndFailed}}}},
	} {
		ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
		ts.assign(task.StepID(), member)
		ts.apply(closed)
		before := ts.state.Snapshot()
		ts.end("w", task, 1, workload.EndFailed)
		restored, err := workload.Restore(ts.state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		ts.state = restored
		ts.end("w", task, 1, workload.EndFailed)
		if got := ts.state.Task(task).Failures; got != 1 {
			t.Errorf("%s: %d failures, want 1", name, got)
		}
		earlier, err := workload.Restore(before)
		if err != nil {
			t.Fatal(err)
		}
		ts.state = earlier
		ts.end("w", task, 1, workload.EndFailed)
		if got := ts.state.Task(task).Failures; got != 1 {
			t.Errorf("%s: %d failures from the earlier snapshot, want 1", name, got)
		}
	}
}

// Guards against a task that starts again after a closed run was done while a later run was open (platform
// rule TWICE).
func TestDoneEndCountsWhileALaterRunIsOpen(t *testing.T) {
	task := workload.TaskID{Job: "j"}
	for name, closeLater := range map[string]workload.Command{
		"lost":         {EndBoot: &workload.EndBoot{Worker: "w2", Boot: 1, Permanent: true}},
		"never":        {Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: "w2", Boot: 1, Task: task, Run: 2, How: workload.EndNeverStarted}}}},
		"failed":       {Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: "w2", Boot: 1, Task: task, Run: 2, How: workload.EndFailed}}}},
		"address lost": {EndBoot: &workload.EndBoot{Worker: "w2", Boot: 1, Permanent: true, Replaced: true}},
	} {
		ts := newTestState(t, register("w1", 1, 10), register("w2", 1, 10), submit("j", tasks(1, 1)))
		ts.runOnce("w1", task, workload.EndNeverStarted)
		ts.assign(task.StepID(), workload.TaskAssignment{Worker: "w2", Boot: 1})
		ts.end("w1", task, 1, workload.EndDone)
		ts.apply(workload.Command{EndBoot: &workload.EndBoot{Worker: "w1", Boot: 1, Permanent: true, Replaced: true}})
		ts.advance(2 * workload.ClosedRunRetention)
		if got := ts.jobState("j"); got != workload.JobRunning || len(ts.state.OpenRuns("w2")) != 1 {
			t.Errorf("%s: job is %s with open runs %v, want running with one", name, got, ts.state.OpenRuns("w2"))
		}
		ts.apply(closeLater)
		if got := ts.jobState("j"); got != workload.JobCompleted {
			t.Errorf("%s: job is %s after its task was done, want completed", name, got)
		}
	}
}

// Guards against a late start of a failed run on a later boot, whose successful end does not count.
func TestEndOfAFailedRunThatALaterBootHasRepeatedCounts(t *testing.T) {
	task := workload.TaskID{Job: "j"}
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	ts.runOnce("w", task, workload.EndFailed)
	ts.runOnce("w", task, workload.EndNeverStarted)
	ts.apply(register("w", 2, 10))
	ts.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: "w", Boot: 2, Task: task, Run: 1, How: workload.EndDone}}}})
	if got := ts.jobState("j"); got != workload.JobCompleted {
		t.Errorf("job is %s after its task was done on boot 2, want completed", got)
	}
}
