package dispatch_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// newTeamTestbed returns a core with workers of 4 cores and 4,000 MB, teams, and two queues of different
// priority.
func newTeamTestbed(t *testing.T, workers int, teams ...workload.Team) *testbed {
	t.Helper()
	commands := []workload.Command{{Configure: &workload.Config{
		Version: 2, KeysRequired: true, Teams: teams, Queues: []workload.Queue{
			{Name: "urgent", Service: "shop", MaxAttempts: 3},
			{Name: "q", Service: "shop", MaxAttempts: 3, Priority: 1},
			{Name: "open", Service: "shop", MaxAttempts: 3, Priority: 1, Anonymous: true},
			{Name: "objective", Service: "shop", MaxAttempts: 3, SlackFactor: 2, TargetLatency: 500 * time.Millisecond},
		},
	}}}
	for i := range workers {
		register := registerWorker(workload.WorkerID(fmt.Sprint("w", i)), 1)
		register.Register.Worker.Capacity.MemoryMB = 4000
		commands = append(commands, register)
	}
	b := newTestbed(t, commands...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	return b
}

// submitAs submits jobs of one task for a team.
func (b *testbed) submitAs(queue string, team workload.TeamName, jobs int, size workload.Resources) {
	for i := range jobs {
		c := submitJobTo(queue, workload.JobID(fmt.Sprint(team, "-", queue, "-", i)), workload.StepSpec{Tasks: 1, Size: size})
		c.Submit.Team = team
		b.apply(c)
	}
}

// startedByTeam makes a plan, commits it and returns the number of starts by team.
func (b *testbed) startedByTeam() map[workload.TeamName]int {
	started := map[workload.TeamName]int{}
	for _, start := range b.commit(b.tick(replanDelay)).Starts {
		team, _, _ := strings.Cut(string(start.Task.Job), "-")
		started[workload.TeamName(team)]++
	}
	return started
}

var oneCore = workload.Resources{MilliCPU: 1000}

// Guards against an order in which a team gets more than its weight of what is free, because its jobs came
// first, use little of the resource that is compared, or are urgent for their own team only.
func TestTeamsShareWhatIsFree(t *testing.T) {
	const workers = 3 // 12 cores, 12,000 MB
	for name, c := range map[string]struct {
		teams  []workload.Team
		submit func(b *testbed)
		want   map[workload.TeamName]int
	}{
		"by weight": {
			[]workload.Team{{Name: "a", Weight: 60}, {Name: "b", Weight: 20}},
			func(b *testbed) { b.submitAs("q", "b", 20, oneCore); b.submitAs("q", "a", 40, oneCore) },
			map[workload.TeamName]int{"a": 9, "b": 3},
		},
		"what a team does not use goes to the others": {
			[]workload.Team{{Name: "a", Weight: 60}, {Name: "b", Weight: 20}},
			func(b *testbed) { b.submitAs("q", "b", 20, oneCore); b.submitAs("q", "a", 2, oneCore) },
			map[workload.TeamName]int{"a": 2, "b": 10},
		},
		"by the dominant resource": {
			[]workload.Team{{Name: "a", Weight: 20}, {Name: "b", Weight: 20}},
			func(b *testbed) {
				b.submitAs("q", "a", 20, workload.Resources{MilliCPU: 500, MemoryMB: 1900})
				b.submitAs("q", "b", 20, oneCore)
			},
			map[workload.TeamName]int{"a": 6, "b": 9}, // 5 and 9 by shares, and half a core that only a can use
		},
		"beyond the share last": {
			[]workload.Team{{Name: "a"}, {Name: "b", Weight: 50}},
			func(b *testbed) { b.submitAs("q", "a", 20, oneCore); b.submitAs("q", "b", 40, oneCore) },
			map[workload.TeamName]int{"b": 12},
		},
		"within the share before beyond it": {
			[]workload.Team{{Name: "a", Weight: 4}, {Name: "b", Weight: 1}},
			func(b *testbed) { b.submitAs("q", "a", 20, oneCore); b.submitAs("q", "b", 3, oneCore) },
			map[workload.TeamName]int{"a": 9, "b": 3},
		},
		"priority of the queue first": {
			[]workload.Team{{Name: "a", Weight: 20}, {Name: "b", Weight: 50}},
			func(b *testbed) { b.submitAs("q", "b", 40, oneCore); b.submitAs("urgent", "a", 20, oneCore) },
			map[workload.TeamName]int{"a": 12},
		},
		"a team at its cap": {
			[]workload.Team{{Name: "a", Weight: 60, Cap: workload.Resources{MilliCPU: 2500}}, {Name: "b", Weight: 20}},
			func(b *testbed) { b.submitAs("q", "a", 40, oneCore); b.submitAs("q", "b", 20, oneCore) },
			map[workload.TeamName]int{"a": 2, "b": 10},
		},
		"jobs without a team": {
			[]workload.Team{{Name: "a", Weight: 20}, {Name: "b", Weight: 20}},
			func(b *testbed) {
				b.submitAs("open", "", 40, oneCore)
				b.submitAs("q", "a", 20, oneCore)
				b.submitAs("q", "b", 20, oneCore)
			},
			map[workload.TeamName]int{"": 4, "a": 4, "b": 4},
		},
	} {
		b := newTeamTestbed(t, workers, c.teams...)
		c.submit(b)
		if got := b.startedByTeam(); !maps.Equal(got, c.want) {
			t.Errorf("%s: started %v, want %v", name, got, c.want)
		}
	}
}

// Guards against an order that looks at one plan only: a team that holds most of the cell must wait until
// the others have caught up.
func TestTeamsCatchUp(t *testing.T) {
	b := newTeamTestbed(t, 3, workload.Team{Name: "a", Weight: 30}, workload.Team{Name: "b", Weight: 30})
	b.submitAs("q", "a", 30, oneCore)
	e := b.commit(b.tick(replanDelay))
	if len(e.Starts) != 12 {
		t.Fatalf("%d starts, want 12", len(e.Starts))
	}
	b.submitAs("q", "b", 30, oneCore)
	for _, s := range e.Starts[:6] {
		b.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: s.Worker, Boot: 1, Task: s.Task, Run: s.Run, How: workload.EndDone}}}})
	}
	if got := b.startedByTeam(); got["b"] != 6 || len(got) != 1 {
		t.Errorf("started %v, want 6 of b", got)
	}
}
