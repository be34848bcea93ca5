package workload_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/workload"
)

// advance moves both clocks forward.
func (ts *testState) advance(d time.Duration) {
	ts.clock += d
	ts.state.Expire(ts.clock, ts.state.SteadyClock()+d)
}

// runOnce opens the next run of a task on a worker with boot 1 and closes it.
func (ts *testState) runOnce(worker workload.WorkerID, task workload.TaskID, how workload.RunEnd) workload.RunNumber {
	ts.t.Helper()
	got := ts.assign(task.StepID(), workload.TaskAssignment{Index: task.Index, Worker: worker, Boot: 1})
	if got[0].Run == 0 {
		ts.t.Fatalf("not assigned: %+v", got)
	}
	ts.end(worker, task, got[0].Run, how)
	return got[0].Run
}

func closedRuns(s *workload.State, job workload.JobID, step int) []workload.ClosedRun {
	var all []workload.ClosedRun
	s.ForEachClosedRun(&s.Job(job).Steps[step], func(r workload.ClosedRun, _ time.Duration) { all = append(all, r) })
	return all
}

// The lines on closed runs that are found running must tell a lease that is over, a run that never
// started and a boot that has ended apart.
func TestClosedRunListsHowItWasClosed(t *testing.T) {
	endBoot := func(e workload.EndBoot) workload.Command {
		e.Worker, e.Boot = "w", 1
		return workload.Command{EndBoot: &e}
	}
	ended := workload.EndedRun{Worker: "w", Boot: 1, Task: workload.TaskID{Job: "j"}, Run: 1, How: workload.EndNeverStarted}
	unconfirmed := []workload.TaskID{{Job: "j"}}
	for name, c := range map[string]struct {
		command workload.Command
		want    workload.RunEnd
	}{
		"never started":      {workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{ended}}}, "never"},
		"lease over":         {endBoot(workload.EndBoot{UnconfirmedRuns: unconfirmed}), "lapsed"},
		"boot ended":         {endBoot(workload.EndBoot{Permanent: true, UnconfirmedRuns: unconfirmed}), "lost"},
		"later boot":         {register("w", 2, 10), "lost"},
		"address taken over": {endBoot(workload.EndBoot{Permanent: true, Replaced: true}), ""},
	} {
		ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
		ts.assign(workload.StepID{Job: "j"}, workload.TaskAssignment{Worker: "w", Boot: 1})
		ts.apply(c.command)
		ts.advance(6 * time.Second)
		got, age, listed := ts.state.ClosedRun(workload.TaskID{Job: "j"}, "w", 1)
		if listed != (c.want != "") || got.How != c.want || listed && age != 5*time.Second {
			t.Errorf("%s: listed %v as %+v, %v old, want %q and 5s", name, listed, got, age, c.want)
		}
	}
}

// A task that is refused again and again must not let the state grow: a step lists at most one run
// for each task and worker.
func TestClosedRunsAreBounded(t *testing.T) {
	task := workload.TaskID{Job: "j", Index: 1}
	ts := newTestState(t, register("w1", 1, 10), register("w2", 1, 10), submit("j", tasks(2, 1)))
	for range 1000 {
		ts.runOnce("w1", task, workload.EndNeverStarted)
		ts.runOnce("w2", task, workload.EndNeverStarted)
	}
	got := closedRuns(ts.state, "j", 0)
	if len(got) != 2 || got[0].Run != 1999 || got[1].Run != 2000 {
		t.Errorf("closed runs %+v after 2000 refusals on 2 workers, want runs 1999 and 2000", got)
	}
	ts.advance(40 * time.Second)
	if got := closedRuns(ts.state, "j", 0); len(got) > 0 {
		t.Errorf("closed runs %+v after 40s", got)
	}
}

// Closed runs must not stay listed once their task is done or their job has ended.
func TestClosedRunsOfEndedTasksAreRemoved(t *testing.T) {
	gang := tasks(2, 1)
	gang.Gang = true
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(2, 1), gang))
	first, second := workload.TaskID{Job: "j"}, workload.TaskID{Job: "j", Index: 1}
	ts.runOnce("w", first, workload.EndStopped)
	ts.runOnce("w", second, workload.EndStopped)
	ts.runOnce("w", first, workload.EndDone)
	if got := closedRuns(ts.state, "j", 0); len(got) != 1 || got[0].Index != 1 {
		t.Errorf("closed runs %+v after task 0 was done, want one of task 1", got)
	}
	step := workload.StepID{Job: "j", Step: 1}
	members := []workload.TaskAssignment{{Index: 0, Worker: "w", Boot: 1}, {Index: 1, Worker: "w", Boot: 1}}
	for run, how := range []workload.RunEnd{workload.EndGangBroken, workload.EndDone} {
		ts.assign(step, members...)
		for index := range members {
			ts.end("w", workload.TaskID{Job: "j", Step: 1, Index: index}, workload.RunNumber(run+1), how)
		}
	}
	if got := closedRuns(ts.state, "j", 1); len(got) > 0 {
		t.Errorf("closed runs %+v of a gang that is done", got)
	}
	ts.apply(workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	if got := closedRuns(ts.state, "j", 0); len(got) > 0 {
		t.Errorf("closed runs %+v of a cancelled job", got)
	}
}

// A new leader starts with a snapshot, which must contain the closed runs and must not change with
// the state.
func TestSnapshotContainsClosedRuns(t *testing.T) {
	task := workload.TaskID{Job: "j"}
	ts := newTestState(t, register("w1", 1, 10), register("w2", 1, 10), submit("j", tasks(1, 1)))
	ts.advance(time.Second)
	ts.runOnce("w1", task, workload.EndNeverStarted)
	ts.runOnce("w2", task, workload.EndFailed)
	ts.advance(6 * time.Second)
	want := closedRuns(ts.state, "j", 0)
	snapshot := ts.state.Snapshot()
	ts.runOnce("w1", task, workload.EndStopped)
	restored, err := workload.Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	got := closedRuns(restored, "j", 0)
	if len(want) != 2 || !slices.Equal(got, want) {
		t.Errorf("restored closed runs %+v, want the 2 of %+v", got, want)
	}
	if _, age, _ := restored.ClosedRun(task, "w1", 1); age != 5*time.Second {
		t.Errorf("restored run is %v old, want 5s", age)
	}
}

// A snapshot with a closed run of an unknown task must be refused, because the state would index it.
func TestRestoreRefusesClosedRunOfUnknownTask(t *testing.T) {
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	for _, index := range []int{-1, 1} {
		snapshot := ts.state.Snapshot()
		snapshot.Jobs[0].Steps[0].ClosedRuns = []workload.ClosedRun{{Index: index, Run: 1, Worker: "w"}}
		if _, err := workload.Restore(snapshot); err == nil {
			t.Errorf("closed run of task %d of 1 is restored", index)
		}
	}
}

// closedRunModel records when the latest run of each task on each worker was closed.
type closedRunModel map[workload.TaskID]map[workload.WorkerID]modelRun

type modelRun struct {
	run    workload.RunNumber
	closed time.Duration
}

type openRuns map[workload.TaskID]map[workload.WorkerID]workload.RunNumber

func openRunsOf(s *workload.State) openRuns {
	open := openRuns{}
	for _, w := range workerIDs {
		for _, r := range s.OpenRuns(w) {
			open[r.Task] = map[workload.WorkerID]workload.RunNumber{w: r.Run}
		}
	}
	return open
}

// update records the runs that a command has closed.
func (m closedRunModel) update(s *workload.State, before openRuns, now time.Duration, c workload.Command) {
	after := openRunsOf(s)
	for task, runs := range before {
		for worker, run := range runs {
			if after[task][worker] == run {
				continue
			}
			if m[task] == nil {
				m[task] = map[workload.WorkerID]modelRun{}
			}
			m[task][worker] = modelRun{run, now}
		}
	}
	if c.EndBoot != nil && c.EndBoot.Replaced {
		for _, runs := range m {
			delete(runs, c.EndBoot.Worker)
		}
	}
}

// check verifies that the closed runs of pending tasks are listed until they are 30 s old.
func (m closedRunModel) check(t *rapid.T, s *workload.State, now time.Duration) {
	for id, runs := range m {
		job := s.Job(id.Job)
		if job == nil {
			delete(m, id)
			continue
		}
		if job.State.Ended() || s.Task(id).State == workload.TaskDone {
			continue
		}
		for worker, want := range runs {
			_, age, listed := s.ClosedRun(id, worker, want.run)
			if !listed && now-want.closed < 30*time.Second {
				t.Fatalf("run %d of %v on %s was closed %v ago and is not listed", want.run, id, worker, now-want.closed)
			}
			if listed && age > now-want.closed {
				t.Fatalf("run %d of %v on %s was closed %v ago and is listed as %v old", want.run, id, worker, now-want.closed, age)
			}
		}
	}
}

// The steady clock moves in steps. A run that was closed just before a step must not count as one
// step old, because a new leader would then wait too short a time for its lost start.
func TestRunClosedJustBeforeAnAdvanceHasNoAge(t *testing.T) {
	task := workload.TaskID{Job: "j"}
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	run := ts.runOnce("w", task, workload.EndNeverStarted)
	ts.advance(time.Second)
	step := &ts.state.Job("j").Steps[0]
	if _, age, _ := ts.state.ClosedRun(task, "w", run); age != 0 || ts.state.SinceLastClosed(step) != 0 {
		t.Errorf("run is %v old, last one of its step %v, want 0", age, ts.state.SinceLastClosed(step))
	}
}

// A snapshot of a version without the steady clock says nothing about the age of its closed runs. A
// new leader must then count the whole wait.
func TestRunsOfASnapshotWithoutSteadyClockHaveNoAge(t *testing.T) {
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	ts.runOnce("w", workload.TaskID{Job: "j"}, workload.EndNeverStarted)
	ts.advance(20 * time.Second)
	snapshot := ts.state.Snapshot()
	snapshot.SteadyClock = 0
	snapshot.Jobs[0].Steps[0].SteadyClosedAt, snapshot.Jobs[0].Steps[0].ClosedRuns = 0, nil
	restored, err := workload.Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	step := &restored.Job("j").Steps[0]
	if got := restored.SinceLastClosed(step); got != 0 {
		t.Errorf("last run was closed %v ago, want 0", got)
	}
	restored.Expire(40*time.Second, 15*time.Second)
	if got := restored.SinceLastClosed(step); got != 14*time.Second {
		t.Errorf("last run was closed %v ago after 15s, want 14s", got)
	}
}
