package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// fullCell is a cell of 8 cores whose runs are all of one team.
type fullCell struct {
	*testbed
	starts []dispatch.Start
}

// newFullCell starts a job of 8 tasks and reports their progress.
func newFullCell(t *testing.T, queue string, weight float64, step workload.StepSpec, percent int) *fullCell {
	t.Helper()
	c := &fullCell{testbed: newTeamTestbed(t, 2, workload.Team{Name: "hot", Weight: weight}, workload.Team{Name: "calm", Weight: 10})}
	c.submitRuns(queue, "hot", step)
	c.start(percent)
	return c
}

// submitRuns submits a job under the name of its team.
func (c *fullCell) submitRuns(queue string, team workload.TeamName, step workload.StepSpec) {
	submit := submitJobTo(queue, workload.JobID(team), step)
	submit.Submit.Team = team
	c.apply(submit)
}

// start starts the submitted tasks, which fill the cell, and reports their progress.
func (c *fullCell) start(percent int) {
	c.t.Helper()
	c.starts = c.commit(c.tick(replanDelay)).Starts
	if len(c.starts) != 8 {
		c.t.Fatalf("%d starts, want 8", len(c.starts))
	}
	for _, st := range c.starts {
		c.core.StartAnswered(c.now, st, dispatch.OutcomeOK, 1100)
	}
	c.tick(2 * time.Second)
	c.answerHoldsWithProgress(percent)
}

func (c *fullCell) answerHoldsWithProgress(percent int) {
	holds := c.openHolds
	c.openHolds = nil
	for _, h := range holds {
		report := dispatch.HoldReport{Clock: c.now.Sub(epoch).Milliseconds() + 1000}
		for _, st := range c.starts {
			if st.Worker == h.Worker {
				report.Active = append(report.Active, dispatch.ActiveRun{Task: st.Task, Run: st.Run, Percent: percent})
			}
		}
		c.core.HoldAnswered(c.now, h.Call, report)
	}
}

// stopsFor submits urgent jobs of the other team and returns the runs that are stopped within a time.
func (c *fullCell) stopsFor(queue string, jobs int, within time.Duration) []dispatch.Stop {
	c.submitAs(queue, "calm", jobs, oneCore)
	var stops []dispatch.Stop
	for end := c.now.Add(within); c.now.Before(end); {
		stops = append(stops, c.tick(replanDelay).Stops...)
	}
	return stops
}

// Guards against urgent work that waits for long runs of a team above its share, and against runs that are
// stopped although they must not be.
func TestUrgentWorkPreemptsRunsThatSaveTheirProgress(t *testing.T) {
	saved := workload.StepSpec{Tasks: 8, Size: oneCore, Estimate: time.Minute, Checkpoints: true}
	unsaved, gang := saved, saved
	unsaved.Checkpoints, gang.Gang = false, true
	for name, c := range map[string]struct {
		queue   string // of the runs
		weight  float64
		step    workload.StepSpec
		percent int
		urgent  string // queue of the waiting job
		within  time.Duration
		want    int
	}{
		"team above its share": {"q", 1, saved, 10, "urgent", 500 * time.Millisecond, 1},
		"waiting for a moment": {"q", 1, saved, 10, "urgent", 150 * time.Millisecond, 0},
		"same priority":        {"q", 1, saved, 10, "q", 500 * time.Millisecond, 0},
		"as urgent":            {"urgent", 1, saved, 10, "urgent", 500 * time.Millisecond, 0},
		"without checkpoints":  {"q", 1, unsaved, 10, "urgent", 500 * time.Millisecond, 0},
		"gang":                 {"q", 1, gang, 10, "urgent", 500 * time.Millisecond, 0},
		"run that ends soon":   {"q", 1, saved, 90, "urgent", 500 * time.Millisecond, 0},
	} {
		cell := newFullCell(t, c.queue, c.weight, c.step, c.percent)
		if got := cell.stopsFor(c.urgent, 1, c.within); len(got) != c.want {
			t.Errorf("%s: %d runs stopped, want %d", name, len(got), c.want)
		}
	}
}

// Guards against the preemption of a team that uses its share and no more.
func TestTeamWithinItsShareIsNotPreempted(t *testing.T) {
	c := &fullCell{testbed: newTeamTestbed(t, 2, workload.Team{Name: "even", Weight: 10}, workload.Team{Name: "calm", Weight: 10})}
	half := workload.StepSpec{Tasks: 4, Size: oneCore, Estimate: time.Minute, Checkpoints: true}
	c.submitRuns("q", "even", half)
	c.submitRuns("q", "calm", half)
	c.start(10)
	if got := c.stopsFor("urgent", 1, 500*time.Millisecond); len(got) != 0 {
		t.Errorf("%d runs stopped, want none", len(got))
	}
}

// Guards against a step that gives way to one urgent step after the other, and against a task that has lost
// its place for good.
func TestStepIsPreemptedOnce(t *testing.T) {
	c := newFullCell(t, "q", 1, workload.StepSpec{Tasks: 8, Size: oneCore, Estimate: time.Minute, Checkpoints: true}, 10)
	stops := c.stopsFor("urgent", 5, 2*time.Second)
	if len(stops) != 1 {
		t.Fatalf("%d runs stopped, want 1", len(stops))
	}
	stopped := stops[0]
	c.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{
		{Worker: stopped.Worker, Boot: 1, Task: stopped.Task, Run: stopped.Run, How: workload.EndStopped, Checkpoint: "saved"},
	}}})
	starts := c.commit(c.tick(replanDelay)).Starts
	if len(starts) != 1 || starts[0].Task.Job == "hot" {
		t.Fatalf("starts %+v, want one urgent task", starts)
	}
	for i := range 5 {
		c.apply(workload.Command{Cancel: &workload.Cancel{ID: workload.JobID("calm-urgent-" + string(rune('0'+i))), Team: "calm"}})
	}
	c.core.StartAnswered(c.now, starts[0], dispatch.OutcomeOK, 3000)
	c.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: starts[0].Worker, Boot: 1, Task: starts[0].Task, Run: starts[0].Run, How: workload.EndStopped}}}})
	again := c.commit(c.tick(replanDelay)).Starts
	if len(again) != 1 || again[0].Task != stopped.Task || again[0].Checkpoint != "saved" {
		t.Errorf("starts %+v, want the preempted task from its checkpoint", again)
	}
}
