package workload_test

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against a second start of a task that was done: a lost start is carried out by a later boot,
// after a run of higher number has failed on the worker and another one was closed with its boot.
func TestDoneEndOfARunBeforeAFailedOneCounts(t *testing.T) {
	task := workload.TaskID{Job: "j"}
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	ts.runOnce("w", task, workload.EndNeverStarted)
	ts.runOnce("w", task, workload.EndFailed)
	ts.assign(task.StepID(), workload.TaskAssignment{Worker: "w", Boot: 1})
	ts.apply(register("w", 2, 10))
	ts.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: "w", Boot: 2, Task: task, Run: 1, How: workload.EndDone}}}})
	if got := ts.jobState("j"); got != "completed" {
		t.Errorf("job is %s after its task was done, want completed", got)
	}
}
