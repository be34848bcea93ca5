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
					end.Task.Step, end.Task.Index = position("step"), position("index")
				}
				for i := range c.Decide.Assigns {
					assign := &c.Decide.Assigns[i]
					assign.Step.Step = position("step")
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
