package workload_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// An explanation must name the workers that fit and why the others do not, by the same checks as an
// assignment, and must leave the state as it is.
func TestExplainNamesWorkers(t *testing.T) {
	teams := configWithTeams(2, workload.Team{Name: "a", Weight: 5, Cap: workload.Resources{MilliCPU: 12}})
	draining := register("leaving", 1, 10)
	draining.Register.Worker.Draining = true
	ts := newTestState(t, teams, register("full", 1, 10), register("free", 1, 10), register("half", 1, 10), register("small", 1, 2), draining,
		submit("running", tasks(1, 8)), submit("half-running", tasks(1, 5)))
	ts.assign(workload.StepID{Job: "running"}, workload.TaskAssignment{Worker: "full", Boot: 1})
	ts.assign(workload.StepID{Job: "half-running"}, workload.TaskAssignment{Worker: "half", Boot: 1})
	step := tasks(3, 4)
	step.Estimate = 2 * time.Second
	before := ts.state.Snapshot()
	e := ts.state.Explain(time.Time{}, workload.ExplainQuery{Team: "a", Spec: workload.JobSpec{Queue: "batch", Steps: []workload.StepSpec{step}}})
	if !reflect.DeepEqual(ts.state.Snapshot(), before) {
		t.Error("the explanation has changed the state")
	}
	want := workload.StepExplanation{
		Waiting: 3, Fitting: []workload.WorkerID{"half", "free"}, FittingAll: 2, Slots: 3, RunTime: 2 * time.Second, EndExpected: 2 * time.Second,
		Unfitting: []workload.UnfittingWorkers{{Reason: workload.RefusalDraining, Workers: 1}, {Reason: workload.RefusalNoCapacity, Workers: 1}, {Reason: workload.RefusalTooSmall, Workers: 1}},
	}
	if e.Refusal != workload.RefusalNone || e.TeamCap.MilliCPU != 12 || len(e.Steps) != 1 || !reflect.DeepEqual(e.Steps[0], want) {
		t.Errorf("explanation %+v, want step %+v", e, want)
	}
}

// An explanation must say what a submission would be told, and what holds a known job back.
func TestExplainNamesTheRefusal(t *testing.T) {
	teams := configWithTeams(2, workload.Team{Name: "a", Weight: 5, Cap: workload.Resources{MilliCPU: 6}})
	second := tasks(1, 1)
	second.DependsOn = []int{0}
	held := workload.Command{Submit: &workload.Submit{ID: "held", Team: "a", Spec: workload.JobSpec{Queue: "batch", Steps: []workload.StepSpec{tasks(2, 5), second}}}}
	ts := newTestState(t, teams, register("w", 1, 20), held)
	ts.assign(workload.StepID{Job: "held"}, workload.TaskAssignment{Worker: "w", Boot: 1})
	gang := tasks(2, 4)
	gang.Gang = true
	for name, c := range map[string]struct {
		query workload.ExplainQuery
		want  workload.Refusal
	}{
		"unknown job":   {workload.ExplainQuery{Job: "none"}, workload.RefusalUnknownJob},
		"unknown queue": {workload.ExplainQuery{Spec: workload.JobSpec{Queue: "none", Steps: []workload.StepSpec{tasks(1, 1)}}}, workload.RefusalNoQueue},
		"no steps":      {workload.ExplainQuery{Spec: workload.JobSpec{Queue: "batch"}}, workload.RefusalInvalid},
		"wide gang":     {workload.ExplainQuery{Team: "a", Spec: workload.JobSpec{Queue: "batch", Steps: []workload.StepSpec{gang}}}, workload.RefusalTeamCap},
	} {
		if e := ts.state.Explain(time.Time{}, c.query); e.Refusal != c.want {
			t.Errorf("%s: %+v, want %s", name, e, c.want)
		}
	}
	e := ts.state.Explain(time.Time{}, workload.ExplainQuery{Job: "held"})
	if len(e.Steps) != 2 || e.Steps[0].Blocked != workload.RefusalTeamCap || e.Steps[0].Running != 1 || e.Steps[1].Blocked != workload.RefusalDependency {
		t.Errorf("explanation of a job that waits: %+v", e)
	}
}
