package state_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
)

// closedRunFeeder applies commands at consecutive log indexes. Its state has one step with a run that
// is closed.
type closedRunFeeder struct {
	t     *testing.T
	s     *state.State
	index uint64
	at    time.Time
}

func newClosedRunFeeder(t *testing.T) *closedRunFeeder {
	f := &closedRunFeeder{t: t, s: state.New(), at: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	task := workload.TaskID{Job: "j"}
	for _, c := range []workload.Command{
		{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}},
		{Register: &workload.Register{Worker: workload.Worker{ID: "w", Boot: 1, Service: "shop", Capacity: workload.Resources{MilliCPU: 1}}}},
		{Submit: &workload.Submit{ID: "j", Spec: workload.JobSpec{Queue: "q", Steps: []workload.StepSpec{{Tasks: 1}}}}},
		{Decide: &workload.Decide{Assigns: []workload.Assign{{Step: task.StepID(), Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}}}}}},
		{Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: "w", Boot: 1, Task: task, Run: 1, How: workload.EndNeverStarted}}}},
	} {
		f.apply(1, state.Command{Workload: &c})
	}
	return f
}

func (f *closedRunFeeder) apply(term uint64, c state.Command) {
	f.index++
	c.At, c.Term = f.at, term
	if result, _ := f.s.Apply(f.index, c); result.Refusal != state.RefusalNone {
		f.t.Fatalf("refused: %+v", result)
	}
}

// advance applies Advance commands of one leader that are a time of day apart.
func (f *closedRunFeeder) advance(term uint64, count int, interval time.Duration) {
	for range count {
		f.at = f.at.Add(interval)
		f.apply(term, state.Command{Advance: &state.Advance{}})
	}
}

func (f *closedRunFeeder) expectAge(want time.Duration) {
	f.t.Helper()
	w := f.s.Workload()
	if got := w.SinceLastClosed(&w.Job("j").Steps[0]); got != want {
		f.t.Errorf("last run was closed %v ago, want %v", got, want)
	}
	if _, age, listed := w.ClosedRun(workload.TaskID{Job: "j"}, "w", 1); !listed || age != want {
		f.t.Errorf("run listed: %v, %v old, want %v", listed, age, want)
	}
}

// A time of day that jumps ahead must not age a closed run, because a new leader would then wait too
// short a time for its lost start (platform rule TWICE).
func TestAgeOfAClosedRunIgnoresJumpsOfTheTimeOfDay(t *testing.T) {
	f := newClosedRunFeeder(t)
	f.advance(1, 3, time.Second)
	f.expectAge(time.Second)
	f.advance(1, 1, 10*time.Second)
	f.expectAge(2 * time.Second)
}

// The time between two leaders is not known, so it must not count.
func TestAgeOfAClosedRunCountsNoTimeBetweenLeaders(t *testing.T) {
	f := newClosedRunFeeder(t)
	f.advance(1, 3, time.Second)
	f.advance(2, 1, 10*time.Second)
	f.expectAge(time.Second)
	f.advance(2, 1, time.Second)
	f.expectAge(2 * time.Second)
	f.advance(0, 2, time.Second)
	f.expectAge(2 * time.Second)
}

// A replica that restarts from a snapshot must count the same time as the others.
func TestRestoredStateCountsTheNextAdvance(t *testing.T) {
	f := newClosedRunFeeder(t)
	f.advance(1, 3, time.Second)
	restored, err := state.Restore(f.s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	f.s = restored
	f.advance(1, 1, time.Second)
	f.expectAge(2 * time.Second)
}
