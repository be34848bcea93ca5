package workload_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/workload"
)

var teamNames = []workload.TeamName{"", "a", "b", "removed"}

// randomTeams draws a configuration in which teams change their caps and weights, or are no longer listed.
func randomTeams(t *rapid.T, version uint64) workload.Command {
	c := config(version)
	c.Configure.Queues[0].TargetLatency = time.Second
	if rapid.IntRange(0, 4).Draw(t, "without") == 0 {
		return c
	}
	c.Configure.KeysRequired = true
	for _, name := range teamNames[1:3] {
		if rapid.IntRange(0, 4).Draw(t, "listed") > 0 {
			c.Configure.Teams = append(c.Configure.Teams, workload.Team{
				Name: name, Weight: rapid.SampledFrom([]float64{0, 0.5, 3}).Draw(t, "weight"),
				Cap: workload.Resources{MilliCPU: rapid.SampledFrom([]int64{0, 200, 900, 2500}).Draw(t, "cap")},
			})
		}
	}
	return c
}

// randomTeamCommand draws a command on behalf of teams.
func randomTeamCommand(t *rapid.T, s *workload.State, version uint64) workload.Command {
	if rapid.IntRange(0, 9).Draw(t, "configure") == 0 {
		return randomTeams(t, version)
	}
	c := randomCommand(t, s)
	team := rapid.SampledFrom(teamNames).Draw(t, "team")
	switch {
	case c.Submit != nil:
		c.Submit.Team = team
		for i := range c.Submit.Spec.Steps {
			c.Submit.Spec.Steps[i].Estimate = time.Duration(rapid.IntRange(0, 5).Draw(t, "estimate")) * time.Second
		}
	case c.Cancel != nil:
		c.Cancel.Team = team
	}
	return c
}

// checkTeamRules checks what a command may do to the teams.
func checkTeamRules(t *rapid.T, s *workload.State, c workload.Command, known bool, usedBefore map[workload.TeamName]workload.Resources, result workload.Result) {
	for _, name := range teamNames {
		used := s.TeamUse(name)
		if used.MilliCPU > usedBefore[name].MilliCPU && !used.WithinCap(s.TeamCap(name)) {
			t.Fatalf("%+v: team %q uses %v of %v, and %v before", c, name, used, s.TeamCap(name), usedBefore[name])
		}
	}
	if c.Submit == nil {
		return
	}
	switch job := s.Job(c.Submit.ID); {
	case known && result.Refusal != workload.RefusalNone && result.Refusal != workload.RefusalOtherTeam:
		t.Fatalf("a known job is refused: %q", result.Refusal)
	case result.Refusal == workload.RefusalNoRoomBeyondShare && (job != nil || c.Submit.Team == "" || result.RetryAfter < time.Second):
		t.Fatalf("job %+v refused for a share: %+v", job, result)
	case result.Refusal == workload.RefusalNone && job == nil:
		t.Fatal("an accepted job is not in the state")
	}
}

// Guards against replicas that disagree about teams, runs above a cap that changes at any time, refusals of
// jobs that the state has, and counts that a snapshot or a sequence of events leaves wrong.
func TestRandomCommandsOfTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := workload.New(), workload.New()
		now, version := time.Unix(1000, 0), uint64(1)
		s.Apply(now, 0, randomTeams(t, version))
		other.Apply(now, 0, workload.Command{Configure: s.Config()})
		for range rapid.IntRange(20, 150).Draw(t, "commands") {
			now, version = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms"))*time.Millisecond), version+1
			if rapid.IntRange(0, 19).Draw(t, "restore") == 0 {
				restored, err := workload.Restore(other.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				other = restored
			}
			c := randomTeamCommand(t, s, version)
			usedBefore := map[workload.TeamName]workload.Resources{}
			for _, name := range teamNames {
				usedBefore[name] = s.TeamUse(name)
			}
			known := c.Submit != nil && s.Job(c.Submit.ID) != nil
			result := s.Apply(now, 0, c)
			if got := other.Apply(now, 0, c); !reflect.DeepEqual(got, result) {
				t.Fatalf("%+v: results %+v and %+v", c, result, got)
			}
			checkTeamRules(t, s, c, known, usedBefore, result)
			if found := s.Audit(); len(found) > 0 {
				t.Fatal(found)
			}
		}
		if found := other.Audit(); len(found) > 0 {
			t.Fatal(found)
		}
		if !reflect.DeepEqual(s.Snapshot(), other.Snapshot()) {
			t.Fatal("the replicas differ")
		}
	})
}
