package workload

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a configuration that stops a team without a word to the operator, and against warnings
// about teams that are served.
func TestWarningsAboutTeams(t *testing.T) {
	s := newRateState(5, 5, 0, 5)
	submit := func(team TeamName, at time.Duration, gang bool, tasks int) {
		s.Apply(rateEpoch.Add(at), 0, Command{Submit: &Submit{ID: JobID(fmt.Sprint(team, at, tasks)), Team: team, Spec: JobSpec{
			Queue: teamQueue, Steps: []StepSpec{{Tasks: tasks, Gang: gang, Size: Resources{MilliCPU: 1000}}},
		}}})
	}
	submit("t0", 0, false, 1)              // too long ago
	submit("t0", 30*time.Second, true, 3)  // the gang does not fit
	submit("t1", 30*time.Second, true, 3)  // does not fit
	submit("t1", 31*time.Second, false, 3) // runs one task after the other
	config := *s.config
	config.Version, config.Teams = 2, nil
	for _, team := range s.config.Teams {
		team.Cap = Resources{MilliCPU: 2000}
		config.Teams = append(config.Teams, team)
	}
	s.Apply(rateEpoch.Add(61*time.Second), 0, Command{Configure: &config})
	got := fmt.Sprint(s.TeamWarnings(rateEpoch.Add(61 * time.Second)))
	if want := fmt.Sprint([]TeamWarning{{"t0", WarningCapBelowJobs}, {"t2", WarningNoWeight}}); got != want {
		t.Errorf("warnings %s, want %s", got, want)
	}
	if New().TeamWarnings(rateEpoch) != nil {
		t.Error("warnings without a configuration")
	}
}
