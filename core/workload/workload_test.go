package workload_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/workload"
	_ "github.com/godwitlink/godwitlink/internal/rapidseed"
)

const service = "shop"

func config(version uint64) workload.Command {
	return workload.Command{Configure: &workload.Config{Version: version, Services: []string{service}, Queues: []workload.Queue{
		{Name: "batch", Host: "h", PathPrefix: "/b/", Service: service, MaxAttempts: 2},
	}}}
}

func submit(id workload.JobID, steps ...workload.StepSpec) workload.Command {
	return workload.Command{Submit: &workload.Submit{ID: id, Spec: workload.JobSpec{Queue: "batch", Steps: steps}}}
}

func register(id workload.WorkerID, boot workload.Boot, cpu int64) workload.Command {
	return workload.Command{Register: &workload.Register{Worker: workload.Worker{
		ID: id, Boot: boot, Service: service, Capacity: workload.Resources{MilliCPU: cpu},
	}}}
}

func tasks(n int, cpu int64) workload.StepSpec {
	return workload.StepSpec{Tasks: n, Size: workload.Resources{MilliCPU: cpu}}
}

// testState is a state with helpers that apply commands to it.
type testState struct {
	t     *testing.T
	state *workload.State
	clock time.Duration
}

func newTestState(t *testing.T, commands ...workload.Command) *testState {
	ts := &testState{t: t, state: workload.New()}
	ts.apply(config(1))
	for _, c := range commands {
		ts.apply(c)
	}
	return ts
}

func (ts *testState) apply(c workload.Command) workload.Result {
	return ts.state.Apply(time.Time{}, ts.clock, c)
}

func (ts *testState) assign(step workload.StepID, members ...workload.TaskAssignment) []workload.TaskAssignmentResult {
	result := ts.apply(workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{Step: step, Members: members}}}})
	return result.Assigns[0].Members
}

func (ts *testState) end(worker workload.WorkerID, task workload.TaskID, run workload.RunNumber, how workload.RunEnd) {
	ts.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{
		{Worker: worker, Boot: 1, Task: task, Run: run, How: how},
	}}})
}

func (ts *testState) jobState(id workload.JobID) workload.JobState { return ts.state.Job(id).State }

// An older or equal configuration version must not replace the one in force, and an operator that
// repeats a configuration must not be refused.
func TestConfigurationNeverGoesBack(t *testing.T) {
	ts := newTestState(t)
	ts.apply(config(7))
	for _, version := range []uint64{7, 3} {
		got := ts.apply(workload.Command{Configure: &workload.Config{Version: version}})
		if got.Refusal != workload.RefusalNone || got.Version != 7 {
			t.Errorf("version %d: result %+v, want no refusal and version 7", version, got)
		}
	}
	if c := ts.state.Config(); c.Version != 7 || len(c.Queues) != 1 {
		t.Errorf("configuration in force is %+v, want version 7 with 1 queue", c)
	}
}

// A repeated submission must not add a second job or change the first one.
func TestSubmitTwiceIsOneJob(t *testing.T) {
	ts := newTestState(t, submit("a", tasks(1, 1)))
	if got := ts.apply(submit("a", tasks(5, 1))); got.Refusal != workload.RefusalNone {
		t.Errorf("repeated submission is refused: %+v", got)
	}
	if n := len(ts.state.Job("a").Steps[0].Tasks); n != 1 || ts.state.PendingJobs("batch") != 1 {
		t.Errorf("%d tasks and %d pending jobs, want 1 and 1", n, ts.state.PendingJobs("batch"))
	}
}

// The tasks assigned to a worker must not exceed its capacity, whether they are single tasks or the
// tasks of one gang.
func TestAssignWithinCapacity(t *testing.T) {
	gang := tasks(2, 600)
	gang.Gang = true
	ts := newTestState(t, register("w", 1, 1000), submit("g", gang), submit("s", tasks(2, 600)))
	for _, got := range ts.assign(workload.StepID{Job: "g"}, workload.TaskAssignment{Index: 0, Worker: "w", Boot: 1}, workload.TaskAssignment{Index: 1, Worker: "w", Boot: 1}) {
		if got.Refusal != workload.RefusalNoCapacity {
			t.Errorf("gang task: result %+v, want refusal no-room", got)
		}
	}
	got := ts.assign(workload.StepID{Job: "s"}, workload.TaskAssignment{Index: 0, Worker: "w", Boot: 1}, workload.TaskAssignment{Index: 1, Worker: "w", Boot: 1})
	if got[0].Run != 1 || got[1].Refusal != workload.RefusalNoCapacity {
		t.Errorf("single tasks: results %+v, want run 1 and refusal no-room", got)
	}
}

// A step must not start before the steps that it depends on are done.
func TestAssignAfterDependencies(t *testing.T) {
	second := tasks(1, 1)
	second.DependsOn = []int{0}
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1), second))
	dependent := workload.StepID{Job: "j", Step: 1}
	member := workload.TaskAssignment{Worker: "w", Boot: 1}
	if got := ts.assign(dependent, member); got[0].Refusal != workload.RefusalDependency {
		t.Errorf("before the dependency is done: results %+v, want refusal order", got)
	}
	ts.assign(workload.StepID{Job: "j"}, member)
	ts.end("w", workload.TaskID{Job: "j"}, 1, workload.EndDone)
	if got := ts.assign(dependent, member); got[0].Run != 1 {
		t.Errorf("after the dependency is done: results %+v, want run 1", got)
	}
}

// A job fails with the last allowed failure of a task. Runs that were stopped or whose lease expired
// do not count as failures.
func TestFailuresWithinAttempts(t *testing.T) {
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	task, member := workload.TaskID{Job: "j"}, workload.TaskAssignment{Worker: "w", Boot: 1}
	for run, how := range []workload.RunEnd{workload.EndStopped, workload.EndFailed, workload.EndLeaseExpired, workload.EndFailed} {
		if got := ts.assign(workload.StepID{Job: "j"}, member); got[0].Run != workload.RunNumber(run+1) {
			t.Fatalf("want run %d, got results %+v", run+1, got)
		}
		ts.end("w", task, workload.RunNumber(run+1), how)
	}
	if ts.jobState("j") != workload.JobFailed {
		t.Errorf("job is %s, want failed", ts.jobState("j"))
	}
}

// The failures of several tasks of one gang run count as one failure, and all tasks of a gang get the
// same run number.
func TestGangFailsOnce(t *testing.T) {
	gang := tasks(2, 1)
	gang.Gang = true
	ts := newTestState(t, register("w", 1, 10), submit("g", gang))
	members := []workload.TaskAssignment{{Index: 0, Worker: "w", Boot: 1}, {Index: 1, Worker: "w", Boot: 1}}
	ts.assign(workload.StepID{Job: "g"}, members...)
	for index := range members {
		ts.end("w", workload.TaskID{Job: "g", Index: index}, 1, workload.EndFailed)
	}
	if ts.jobState("g") == workload.JobFailed {
		t.Fatal("one failed gang run was counted as two failures")
	}
	for _, got := range ts.assign(workload.StepID{Job: "g"}, members...) {
		if got.Run != 2 {
			t.Errorf("second gang run: result %+v, want run 2", got)
		}
	}
	ts.end("w", workload.TaskID{Job: "g", Index: 1}, 2, workload.EndDone)
	if ts.jobState("g") != workload.JobCompleted {
		t.Errorf("job is %s after one task of the gang is done, want completed", ts.jobState("g"))
	}
}

// A report about a closed run must not close the next run of the task.
func TestEndOfAnotherRunChangesNothing(t *testing.T) {
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	member := workload.TaskAssignment{Worker: "w", Boot: 1}
	ts.assign(workload.StepID{Job: "j"}, member)
	ts.end("w", workload.TaskID{Job: "j"}, 1, workload.EndNeverStarted)
	ts.assign(workload.StepID{Job: "j"}, member)
	ts.end("w", workload.TaskID{Job: "j"}, 1, workload.EndDone)
	if ts.jobState("j") != workload.JobRunning || len(ts.state.OpenRuns("w")) != 1 {
		t.Errorf("job is %s with open runs %v, want running with 1 open run", ts.jobState("j"), ts.state.OpenRuns("w"))
	}
}

// A task whose latest run is reported as done after it was closed must not start again (platform rule
// TWICE). The report of an earlier run does not count.
func TestEndOfAClosedRunCountsWhereNoOtherIsOpen(t *testing.T) {
	task, member := workload.TaskID{Job: "j"}, workload.TaskAssignment{Worker: "w", Boot: 1}
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	ts.assign(task.StepID(), member)
	ts.end("w", task, 1, workload.EndFailed)
	ts.assign(task.StepID(), member)
	ts.end("w", task, 2, workload.EndNeverStarted)
	ts.end("w", task, 1, workload.EndDone)
	if got := ts.jobState("j"); got.Ended() {
		t.Fatalf("job is %s after the end of an earlier run", got)
	}
	ts.end("w", task, 2, workload.EndDone)
	if got := ts.jobState("j"); got != workload.JobCompleted || ts.state.PendingJobs("batch") != 0 {
		t.Errorf("job is %s with %d pending jobs, want %s with 0", got, ts.state.PendingJobs("batch"), workload.JobCompleted)
	}
}

// A task must not start again after a done end of an earlier run that was closed without a report,
// also if a later run on that worker has replaced it in the list (platform rule TWICE).
func TestDoneEndOfAnEarlierRunCounts(t *testing.T) {
	for _, second := range []workload.WorkerID{"w1", "w2"} {
		task := workload.TaskID{Job: "j"}
		ts := newTestState(t, register("w1", 1, 10), register("w2", 1, 10), submit("j", tasks(1, 1)))
		ts.runOnce("w1", task, workload.EndNeverStarted)
		ts.runOnce(second, task, workload.EndLost)
		ts.end("w1", task, 1, workload.EndDone)
		if got := ts.jobState("j"); got != workload.JobCompleted {
			t.Errorf("second run on %s: job is %s after its task was done, want completed", second, got)
		}
	}
}

// A failed run is counted once, although its worker reports it again to the next leader. Counting it
// twice made jobs fail with attempts left (platform rule LOST).
func TestFailedEndIsCountedOnce(t *testing.T) {
	task := workload.TaskID{Job: "j"}
	ts := newTestState(t, register("w", 1, 10), submit("j", tasks(1, 1)))
	ts.assign(task.StepID(), workload.TaskAssignment{Worker: "w", Boot: 1})
	for range 3 {
		ts.end("w", task, 1, workload.EndFailed)
	}
	if got := ts.jobState("j"); got != workload.JobRunning {
		t.Errorf("job is %s after one failed run of two, want %s", got, workload.JobRunning)
	}
}

// A delayed report of a worker must not undo the drain of its boot or replace a later boot.
func TestOldReportsOfWorkers(t *testing.T) {
	ts := newTestState(t, register("w", 5, 10))
	ts.apply(workload.Command{Drain: &workload.Drain{Worker: "w", Boot: 5}})
	ts.apply(register("w", 5, 10))
	if known, _ := ts.state.Worker("w"); !known.Draining {
		t.Error("worker is not draining after a repeated registration of the same boot")
	}
	if got := ts.apply(register("w", 4, 10)); got.Refusal != workload.RefusalStaleBoot {
		t.Errorf("registration of an earlier boot: result %+v, want refusal stale-boot", got)
	}
	ts.apply(register("w", 6, 10))
	if known, _ := ts.state.Worker("w"); known.Draining || known.Boot != 6 {
		t.Errorf("registration of a later boot: worker %+v, want boot 6, not draining", known)
	}
}

// Random sequences of commands must preserve the invariants, and so must a snapshot and its
// restoration. Each closed run of a task that is not done must be listed while its start may still
// be carried out.
func TestRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := workload.New()
		s.Apply(time.Time{}, 0, config(1))
		now, retention, model := time.Duration(0), time.Duration(0), closedRunModel{}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			for range rapid.SampledFrom([]int{0, 0, 0, 1, 4, 12}).Draw(t, "advances") {
				// The retention clock may jump. The steady clock advances by at most the time that passed.
				now += time.Duration(rapid.IntRange(1000, 1500).Draw(t, "interval")) * time.Millisecond
				retention += time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second
				s.Expire(retention, s.SteadyClock()+time.Second)
			}
			open, command := openRunsOf(s), randomCommand(t, s)
			s.Apply(time.Time{}, retention, command)
			model.update(s, open, now, command)
			model.check(t, s, now)
			if found := s.Audit(); len(found) > 0 {
				t.Fatal(found)
			}
		}
		restored, err := workload.Restore(s.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		if found := restored.Audit(); len(found) > 0 {
			t.Fatal(found)
		}
		model.check(t, restored, now)
	})
}

var (
	workerIDs = []workload.WorkerID{"w1", "w2", "w3"}
	jobIDs    = []workload.JobID{"a", "b", "c", "d"}
	runEnds   = []workload.RunEnd{
		workload.EndDone, workload.EndFailed, workload.EndStopped, workload.EndGangBroken, workload.EndLost, workload.EndNeverStarted,
	}
)

func randomCommand(t *rapid.T, s *workload.State) workload.Command {
	worker := rapid.SampledFrom(workerIDs).Draw(t, "worker")
	job := rapid.SampledFrom(jobIDs).Draw(t, "job")
	known, _ := s.Worker(worker)
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return register(worker, workload.Boot(rapid.IntRange(1, 4).Draw(t, "boot")), rapid.Int64Range(500, 2000).Draw(t, "cpu"))
	case 1, 2:
		step := tasks(rapid.IntRange(1, 4).Draw(t, "tasks"), rapid.Int64Range(100, 900).Draw(t, "size"))
		step.Gang = rapid.Bool().Draw(t, "gang")
		step.MaxPerWorker = rapid.IntRange(0, 2).Draw(t, "limit")
		next := tasks(1, 100)
		next.DependsOn = []int{0}
		return submit(job, step, next)
	case 3:
		return workload.Command{Cancel: &workload.Cancel{ID: job}}
	case 4:
		return workload.Command{EndBoot: &workload.EndBoot{
			Worker: worker, Boot: known.Boot, Permanent: rapid.Bool().Draw(t, "left"), Replaced: rapid.IntRange(0, 3).Draw(t, "replaced") == 0,
		}}
	case 5, 6:
		if runs := s.OpenRuns(worker); len(runs) > 0 {
			run := rapid.SampledFrom(runs).Draw(t, "run")
			return workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{
				Worker: worker, Boot: known.Boot, Task: run.Task, Run: run.Run, How: rapid.SampledFrom(runEnds).Draw(t, "how"),
			}}}}
		}
	}
	assign := workload.Assign{Step: workload.StepID{Job: job, Step: rapid.IntRange(0, 1).Draw(t, "step")}}
	for index := range rapid.IntRange(1, 4).Draw(t, "members") {
		to := rapid.SampledFrom(workerIDs).Draw(t, "to")
		target, _ := s.Worker(to)
		assign.Members = append(assign.Members, workload.TaskAssignment{Index: index, Worker: to, Boot: target.Boot})
	}
	return workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{assign}}}
}

// A job returns to the queue when none of its runs was started by a worker. Counting it as started
// made the queue status report less than half of the waiting jobs (platform rule MIXED).
func TestJobWhoseRunsNeverBeganIsPending(t *testing.T) {
	ts := newTestState(t, register("w", 1, 4000), submit("j", tasks(2, 1000)))
	step := workload.StepID{Job: "j"}
	task := func(index int) workload.TaskID { return workload.TaskID{Job: "j", Index: index} }
	ts.assign(step, workload.TaskAssignment{Index: 0, Worker: "w", Boot: 1}, workload.TaskAssignment{Index: 1, Worker: "w", Boot: 1})
	ts.expectJob(workload.JobRunning, 1)
	ts.end("w", task(0), 1, workload.EndNeverStarted)
	ts.expectJob(workload.JobRunning, 1)
	ts.end("w", task(1), 1, workload.EndNeverStarted)
	ts.expectJob(workload.JobQueued, 1)
	ts.assign(step, workload.TaskAssignment{Index: 0, Worker: "w", Boot: 1})
	ts.end("w", task(0), 2, workload.EndStopped)
	ts.expectJob(workload.JobRunning, 0)
	ts.assign(step, workload.TaskAssignment{Index: 1, Worker: "w", Boot: 1})
	ts.end("w", task(1), 2, workload.EndNeverStarted)
	ts.expectJob(workload.JobRunning, 0)
	ts.apply(workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	ts.expectJob(workload.JobCancelled, 0)
}

// expectJob checks the state of job "j" and the number of pending jobs.
func (ts *testState) expectJob(state workload.JobState, pending int) {
	ts.t.Helper()
	if got := ts.state.Job("j").State; got != state || ts.state.PendingJobs("batch") != pending {
		ts.t.Errorf("job is %s with %d pending jobs, want %s with %d", got, ts.state.PendingJobs("batch"), state, pending)
	}
}
