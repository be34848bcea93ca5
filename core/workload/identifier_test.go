package workload_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against a command with positions outside its job that ends every replica that applies it.
func TestPositionsOutsideTheJobChangeNothing(t *testing.T) {
	for name, task := range map[string]workload.TaskID{
		"negative step":   {Job: "j", Step: -1},
		"negative index":  {Job: "j", Index: -1},
		"step too large":  {Job: "j", Step: 1},
		"index too large": {Job: "j", Index: 1},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
			for _, how := range runEnds {
				ts.end("w", task, 1, how)
			}
			ts.apply(workload.Command{EndBoot: &workload.EndBoot{
				Worker: "w", Boot: 1, UnconfirmedRuns: []workload.TaskID{task},
				Checkpoints: []workload.TaskCheckpoint{{Task: task, Run: 1, Checkpoint: "c"}},
			}})
			member := workload.TaskAssignment{Index: task.Index, Worker: "w", Boot: 1}
			if got := ts.assign(task.StepID(), member); got[0].Run != 0 {
				t.Errorf("assignment opened run %d, want none", got[0].Run)
			}
			if got := ts.state.Task(task); got != nil || ts.jobState("j") != "queued" {
				t.Errorf("task %+v, job %s, want no task and queued", got, ts.jobState("j"))
			}
		})
	}
}

// Commands with any figures must neither end a replica nor violate an invariant.
func TestCommandsWithArbitraryPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := workload.New()
		s.Apply(time.Time{}, 0, config(1))
		position := func(name string) int { return rapid.IntRange(-2, 3).Draw(t, name) }
		for range rapid.IntRange(10, 60).Draw(t, "commands") {
			c := randomCommand(t, s)
			if c.Decide != nil && rapid.Bool().Draw(t, "arbitrary") {
				for i := range c.Decide.Ends {
					end := &c.Decide.Ends[i]
					end.Task.Occurrence, end.Task.Step, end.Task.Index = position("occurrence"), position("step"), position("index")
				}
				for i := range c.Decide.Assigns {
					assign := &c.Decide.Assigns[i]
					assign.Step.Occurrence, assign.Step.Step = position("occurrence"), position("step")
					for k := range assign.Members {
						assign.Members[k].Index = position("index")
					}
				}
			}
			s.Apply(time.Time{}, 0, c)
			if found := s.Audit(); len(found) > 0 {
				t.Fatal(found)
			}
		}
	})
}

// Guards against the end of a task of one occurrence that completes the task of another.
func TestEndOfAnotherOccurrenceChangesNothing(t *testing.T) {
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	ts.assign(workload.StepID{Job: "j"}, workload.TaskAssignment{Worker: "w", Boot: 1})
	ts.end("w", workload.TaskID{Job: "j"}, 1, workload.EndNeverStarted)
	ts.end("w", workload.TaskID{Job: "j", Occurrence: 1}, 1, workload.EndDone)
	if got := ts.jobState("j"); got != "queued" {
		t.Errorf("job is %s after the end of another occurrence, want queued", got)
	}
}

// Guards against an open run whose task id is not the one in the state.
func TestAssignOfAnotherOccurrenceIsRefused(t *testing.T) {
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	got := ts.assign(workload.StepID{Job: "j", Occurrence: 1}, workload.TaskAssignment{Worker: "w", Boot: 1})
	if got[0].Refusal != "unknown-job" || len(ts.state.OpenRuns("w")) != 0 {
		t.Errorf("results %+v with open runs %v, want refusal unknown-job and none", got, ts.state.OpenRuns("w"))
	}
}
