package workload_test

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/workload"
)

// An open run whose start has reached no worker must not make its job count as started: its queue
// listed 2 pending jobs while 10 waited (platform rule MIXED).
func TestJobWithAnOpenRunIsPending(t *testing.T) {
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	ts.assign(workload.StepID{Job: "j"}, workload.TaskAssignment{Worker: "w", Boot: 1})
	ts.expectJob(workload.JobRunning, 1)
}

// A boot that ends may not have begun the runs that it was assigned. Their job must count as pending until
// a worker is known to have begun one.
func TestJobWhoseRunWasLostWithItsBootIsPending(t *testing.T) {
	for name, end := range map[string]workload.Command{
		"later boot": register("w", 2, 10),
		"boot ended": {EndBoot: &workload.EndBoot{Worker: "w", Boot: 1, Permanent: true}},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
			ts.assign(workload.StepID{Job: "j"}, workload.TaskAssignment{Worker: "w", Boot: 1})
			ts.apply(end)
			ts.expectJob(workload.JobRunning, 1)
		})
	}
}

// A job must stop being pending once a worker is known to have begun it, and must not become pending
// again. The number must be the same after a restart from a snapshot.
func TestBegunJobIsNotPending(t *testing.T) {
	task := workload.TaskID{Job: "j"}
	report := workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{workload.BegunReport(task)}}}
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)), submit("other", tasks(1, 1)))
	ts.assign(task.StepID(), workload.TaskAssignment{Worker: "w", Boot: 1})
	ts.restore()
	ts.expectJob(workload.JobRunning, 2)
	ts.apply(report)
	ts.expectJob(workload.JobRunning, 1)
	ts.apply(report)
	ts.expectJob(workload.JobRunning, 1)
	if !ts.state.Task(task).Open {
		t.Error("the report has closed the run")
	}
	ts.restore()
	ts.expectJob(workload.JobRunning, 1)
	ts.end("w", task, 1, workload.EndNeverStarted)
	ts.expectJob(workload.JobRunning, 1)
	ts.apply(workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	ts.apply(report)
	ts.expectJob(workload.JobCancelled, 1)
	ts.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{workload.BegunReport(workload.TaskID{Job: "unknown"})}}})
	ts.expectJob(workload.JobCancelled, 1)
	if found := ts.state.Audit(); len(found) > 0 {
		t.Error(found)
	}
}

// restore replaces the state by one that is restored from its snapshot.
func (ts *testState) restore() {
	ts.t.Helper()
	restored, err := workload.Restore(ts.state.Snapshot())
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.state = restored
}

// Replicas of earlier versions would close the run that a report names, unless it names no run and no
// worker.
func TestBegunReportNamesNoRun(t *testing.T) {
	task := workload.TaskID{Job: "j", Step: 1, Index: 2}
	if report := workload.BegunReport(task); report.Run != 0 || report.Worker != "" || report.Task != task {
		t.Errorf("report is %+v, want only the task %v and the kind", report, task)
	}
}
