package workload

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

const teamQueue = "q"

// newTeamState returns a state with a team "a" of a cap of 10 cores, a team "b" without a cap, and two
// workers of 20 cores.
func newTeamState(t *testing.T) *State {
	t.Helper()
	s := New()
	applyTo(t, s, Command{Configure: &Config{
		Version: 1, Queues: []Queue{{Name: teamQueue, Service: "s", MaxAttempts: 3}, {Name: "open", Service: "s", MaxAttempts: 3, Anonymous: true}},
		KeysRequired: true, Teams: []Team{{Name: "a", Keys: []Key{"k1"}, Cap: Resources{MilliCPU: 10_000}}, {Name: "b", Keys: []Key{"k2"}}},
	}})
	for i := range 2 {
		applyTo(t, s, Command{Register: &Register{Worker{ID: WorkerID(fmt.Sprint("w", i)), Boot: 1, Service: "s", Capacity: Resources{MilliCPU: 20_000}}}})
	}
	return s
}

func applyTo(t *testing.T, s *State, c Command) Result {
	t.Helper()
	result := s.Apply(time.Time{}, 0, c)
	for _, violation := range s.Audit() {
		t.Fatalf("after %+v: %s", c, violation)
	}
	return result
}

func submitFor(t *testing.T, s *State, id JobID, team TeamName, gang bool, tasks int) Result {
	t.Helper()
	return applyTo(t, s, Command{Submit: &Submit{ID: id, Team: team, Spec: JobSpec{
		Queue: teamQueue, Steps: []StepSpec{{Tasks: tasks, Size: Resources{MilliCPU: 3_000}, Gang: gang}},
	}}})
}

// assignTo assigns the first tasks of a job to the workers in turn, and returns the refusals.
func assignTo(t *testing.T, s *State, id JobID, tasks int) []Refusal {
	t.Helper()
	assign := Assign{Step: StepID{Job: id}}
	for i := range tasks {
		assign.Members = append(assign.Members, TaskAssignment{Index: i, Worker: WorkerID(fmt.Sprint("w", i%2)), Boot: 1})
	}
	var refusals []Refusal
	for _, m := range applyTo(t, s, Command{Decide: &Decide{Assigns: []Assign{assign}}}).Assigns[0].Members {
		refusals = append(refusals, m.Refusal)
	}
	return refusals
}

// Guards against runs of a team above its cap that are opened by a plan made before the cap was reached.
func TestAssignmentsAboveTheTeamCapAreRefused(t *testing.T) {
	s := newTeamState(t)
	submitFor(t, s, "1", "a", false, 4)
	if got := fmt.Sprint(assignTo(t, s, "1", 4)); got != "[   team-cap]" {
		t.Fatalf("refusals %s", got)
	}
	submitFor(t, s, "2", "a", false, 1)
	if got := assignTo(t, s, "2", 1); got[0] != RefusalTeamCap {
		t.Errorf("a second job of the team: %v", got)
	}
	applyTo(t, s, Command{EndBoot: &EndBoot{Worker: "w1", Boot: 1}})
	if got := s.TeamUse("a"); got.MilliCPU != 6_000 {
		t.Errorf("use after the end of a boot: %v", got)
	}
	if got := assignTo(t, s, "2", 1); got[0] != RefusalNone {
		t.Errorf("after a run was closed: %v", got)
	}
}

// Guards against a gang that starts in part, or that starts above the cap because each task fits alone.
func TestGangAboveTheTeamCapIsRefusedAsAWhole(t *testing.T) {
	s := newTeamState(t)
	submitFor(t, s, "1", "a", false, 1)
	assignTo(t, s, "1", 1)
	submitFor(t, s, "2", "a", true, 3)
	if got := fmt.Sprint(assignTo(t, s, "2", 3)); got != "[team-cap team-cap team-cap]" {
		t.Errorf("refusals %s", got)
	}
	if got := submitFor(t, s, "3", "a", true, 4).Refusal; got != RefusalTeamCap {
		t.Errorf("a gang wider than the cap is submitted: %q", got)
	}
}

// Guards against a cap that is cut below its use and lets further runs start, or ends those that run.
func TestCapBelowItsUse(t *testing.T) {
	s := newTeamState(t)
	submitFor(t, s, "1", "a", false, 3)
	assignTo(t, s, "1", 2)
	applyTo(t, s, Command{Configure: &Config{Version: 2, Queues: s.config.Queues, KeysRequired: true, Teams: []Team{{Name: "a", Cap: Resources{MilliCPU: 3_000}}}}})
	if got := assignTo(t, s, "1", 3); got[2] != RefusalTeamCap {
		t.Errorf("refusals %v", got)
	}
	if got := s.TeamUse("a"); got.MilliCPU != 6_000 {
		t.Errorf("use %v", got)
	}
}

// Guards against a restored state that has forgotten what a team runs or whose job it is.
func TestTeamUseIsRestored(t *testing.T) {
	s := newTeamState(t)
	submitFor(t, s, "1", "a", false, 3)
	assignTo(t, s, "1", 2)
	restored, err := Restore(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if restored.TeamUse("a") != s.TeamUse("a") || restored.Job("1").Team != "a" || restored.TeamCap("a").MilliCPU != 10_000 {
		t.Errorf("use %v, team %q, cap %v", restored.TeamUse("a"), restored.Job("1").Team, restored.TeamCap("a"))
	}
}

// Guards against a team that reads, cancels or takes over a job of another one.
func TestJobsOfOtherTeams(t *testing.T) {
	s := newTeamState(t)
	submitFor(t, s, "1", "a", false, 1)
	if got := submitFor(t, s, "1", "b", false, 1).Refusal; got != RefusalOtherTeam {
		t.Errorf("submission: %q", got)
	}
	for _, c := range []Cancel{{ID: "1", Team: "b"}, {ID: "1"}, {ID: "1", AnonymousQueue: "open"}} {
		if got := applyTo(t, s, Command{Cancel: &c}).Refusal; got != RefusalUnknownJob {
			t.Errorf("%+v: %q", c, got)
		}
	}
	if s.JobFor("1", Caller{Team: "b"}) != nil || s.JobFor("1", Caller{Team: "a"}) == nil || s.JobFor("1", Caller{AnonymousQueue: teamQueue}) == nil {
		t.Error("the job is shown to another team, or not to its own")
	}
	if got := applyTo(t, s, Command{Cancel: &Cancel{ID: "1", Team: "a"}}).State; got != JobCancelled {
		t.Errorf("own job: %q", got)
	}
}

// Guards against keys in logs and in printed snapshots.
func TestKeysAreNotPrinted(t *testing.T) {
	team := Team{Name: "a", Keys: []Key{"k-secret"}}
	encoded, err := json.Marshal(team)
	if err != nil {
		t.Fatal(err)
	}
	if text := fmt.Sprintf("%v %+v %s", team, team, encoded); strings.Contains(text, "k-secret") {
		t.Error("a key is printed")
	}
}
