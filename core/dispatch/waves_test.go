package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against jobs that count as late, or as late too early, because their steps cannot run all tasks
// at the same time.
func TestObjectiveCountsTheWavesOfWideSteps(t *testing.T) {
	// 8 workers have 32 cores, of which a step is assumed to get 8.
	teams := []workload.Team{{Name: "capped", Weight: 100, Cap: workload.Resources{MilliCPU: 3000}}, {Name: "free", Weight: 100}}
	for name, c := range map[string]struct {
		workers int
		team    workload.TeamName
		tasks   int
		gang    bool
		waves   int
	}{
		"within a quarter":           {8, "free", 8, false, 1},
		"wider than a quarter":       {8, "free", 9, false, 2},
		"within the cap":             {8, "capped", 3, false, 1},
		"wider than the cap":         {8, "capped", 7, false, 3},
		"gang":                       {8, "free", 9, true, 1},
		"without a team":             {8, "", 17, false, 3},
		"no worker known":            {0, "free", 9, false, 1},
		"a quarter below one task":   {1, "free", 2, false, 2},
		"cap below one task":         {8, "capped", 1, false, 1},
		"one task more than the cap": {8, "capped", 4, false, 2},
	} {
		b := newTeamTestbed(t, c.workers, teams...)
		submit := submitJobTo("objective", "j", workload.StepSpec{Tasks: c.tasks, Size: oneCore, Estimate: time.Second, Gang: c.gang})
		submit.Submit.Team = c.team
		b.apply(submit)
		if got, want := b.core.Objective("j"), time.Duration(2*c.waves)*time.Second+500*time.Millisecond; got != want {
			t.Errorf("%s: objective %v, want %v", name, got, want)
		}
	}
}
