package workload

import (
	"fmt"
	"testing"
	"time"
)

// newRoomState returns a state with a worker of 10 cores, a hot team "t0" that is guaranteed nothing and
// has a cap of 5 cores, a team "t1" without either, and a queue of higher priority.
func newRoomState() *State {
	s := New()
	s.Apply(rateEpoch, 0, Command{Configure: &Config{
		Version: 1, KeysRequired: true,
		Queues: []Queue{{Name: teamQueue, Service: "s", MaxAttempts: 3, Priority: 1}, {Name: "urgent", Service: "s", MaxAttempts: 3}, {Name: "elsewhere", Service: "other"}},
		Teams:  []Team{{Name: "t0", Cap: Resources{MilliCPU: 5_000}}, {Name: "t1"}, {Name: "t2", Weight: 100}},
	}})
	s.Apply(rateEpoch, 0, Command{Register: &Register{Worker{ID: "w", Boot: 1, Service: "s", Capacity: Resources{MilliCPU: 10_000}}}})
	return s
}

// submitWork submits a job of tasks of one core for a team.
func submitWork(s *State, queue string, team TeamName, id JobID, tasks int, estimate time.Duration) Result {
	return s.Apply(rateEpoch, 0, Command{Submit: &Submit{ID: id, Team: team, Spec: JobSpec{
		Queue: queue, Steps: []StepSpec{{Tasks: tasks, Size: Resources{MilliCPU: 1000}, Estimate: estimate}},
	}}})
}

// Guards against jobs beyond a share that are refused although there is room, or accepted although what is
// ahead of them takes longer than they can wait.
func TestJobsBeyondTheShareNeedRoom(t *testing.T) {
	for name, c := range map[string]struct {
		before func(s *State)
		queue  string
		team   TeamName
		want   Refusal
	}{
		"empty cell":                   {func(*State) {}, teamQueue, "t1", RefusalNone},
		"room beside what waits":       {func(s *State) { submitWork(s, teamQueue, "t2", "1", 9, time.Minute) }, teamQueue, "t1", RefusalNone},
		"what waits is short":          {func(s *State) { submitWork(s, teamQueue, "t2", "1", 20, 500*time.Millisecond) }, teamQueue, "t1", RefusalNone},
		"what waits is long":           {func(s *State) { submitWork(s, teamQueue, "t2", "1", 20, time.Second) }, teamQueue, "t1", RefusalNoRoomBeyondShare},
		"what waits is less urgent":    {func(s *State) { submitWork(s, teamQueue, "t2", "1", 20, time.Second) }, "urgent", "t1", RefusalNone},
		"what waits is as urgent":      {func(s *State) { submitWork(s, "urgent", "t2", "1", 20, time.Second) }, "urgent", "t1", RefusalNoRoomBeyondShare},
		"the cap has no room":          {func(s *State) { submitWork(s, teamQueue, "t0", "1", 5, 2*time.Second) }, teamQueue, "t0", RefusalNoRoomBeyondShare},
		"the cap of another team":      {func(s *State) { submitWork(s, teamQueue, "t0", "1", 5, 2*time.Second) }, teamQueue, "t1", RefusalNone},
		"no worker of the service":     {func(*State) {}, "elsewhere", "t1", RefusalNoRoomBeyondShare},
		"within the share":             {func(s *State) { submitWork(s, teamQueue, "t2", "1", 500, time.Second) }, teamQueue, "t2", RefusalNone},
		"without a team":               {func(s *State) { submitWork(s, teamQueue, "t2", "1", 500, time.Second) }, teamQueue, "", RefusalNone},
		"what waits was cancelled":     {func(s *State) { submitWork(s, teamQueue, "t2", "1", 20, time.Second); cancelFor(s, "t2", "1") }, teamQueue, "t1", RefusalNone},
		"a step that cannot start yet": {submitChain, teamQueue, "t1", RefusalNone},
	} {
		s := newRoomState()
		c.before(s)
		if got := submitWork(s, c.queue, c.team, "new", 1, time.Second); got.Refusal != c.want || (s.Job("new") == nil) != (c.want != RefusalNone) {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func cancelFor(s *State, team TeamName, id JobID) {
	s.Apply(rateEpoch, 0, Command{Cancel: &Cancel{ID: id, Team: team}})
}

// submitChain submits a job whose long second step waits for the first one.
func submitChain(s *State) {
	s.Apply(rateEpoch, 0, Command{Submit: &Submit{ID: "chain", Team: "t2", Spec: JobSpec{Queue: teamQueue, Steps: []StepSpec{
		{Tasks: 1, Size: Resources{MilliCPU: 1000}}, {Tasks: 50, Size: Resources{MilliCPU: 1000}, Estimate: time.Minute, DependsOn: []int{0}},
	}}}})
}

// Guards against a time to come back that has nothing to do with the backlog, and against the refusal of a
// job that the state has.
func TestRefusalFollowsTheBacklog(t *testing.T) {
	s := newRoomState()
	if got := submitWork(s, teamQueue, "t1", "known", 1, time.Second); got.Refusal != RefusalNone {
		t.Fatalf("with room: %+v", got)
	}
	want := map[int]time.Duration{20: 1100 * time.Millisecond, 60: 5100 * time.Millisecond, 500: maxRetryAfter}
	for _, tasks := range []int{20, 60, 500} {
		ahead := JobID(fmt.Sprint("ahead", tasks))
		submitWork(s, teamQueue, "t2", ahead, tasks, time.Second)
		got := submitWork(s, teamQueue, "t1", JobID(fmt.Sprint("new", tasks)), 1, time.Second)
		if got.Refusal != RefusalNoRoomBeyondShare || got.RetryAfter != want[tasks] {
			t.Errorf("behind %d tasks of a second on 10 cores: %+v, want to come back after %v", tasks, got, want[tasks])
		}
		if got := submitWork(s, teamQueue, "t1", "known", 1, time.Second); got.Refusal != RefusalNone {
			t.Errorf("a known job is refused: %+v", got)
		}
		cancelFor(s, "t2", ahead)
	}
}
