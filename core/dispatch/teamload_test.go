package dispatch_test

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against figures that show a team as waiting for room when its cap holds it back, or the reverse,
// and against jobs of other teams in them.
func TestLoadsOfTeams(t *testing.T) {
	b := newTeamTestbed(t, 2, workload.Team{Name: "a", Weight: 30, Cap: workload.Resources{MilliCPU: 2000}}, workload.Team{Name: "b", Weight: 10})
	b.submitAs("q", "a", 5, oneCore)
	b.submitAs("q", "b", 25, oneCore)
	b.commit(b.tick(replanDelay))
	loads := b.core.TeamLoads()
	a, other := loads[0], loads[1]
	if a.Team != "a" || a.Used.MilliCPU != 2000 || a.Cap.MilliCPU != 2000 || a.Share != 0.25 || a.Guaranteed != 0.75 || !a.AtCap || a.WaitingTasks != 3 {
		t.Errorf("load %+v", a)
	}
	// The rate of 10 jobs a second admits a burst of 20.
	if other.Used.MilliCPU != 6000 || other.AtCap || other.WaitingTasks != 19 || other.WaitingBeyondShare != 5 || other.LongestWait <= 0 {
		t.Errorf("load %+v", other)
	}
	if got := newTestbed(t).core.TeamLoads(); got != nil {
		t.Errorf("loads %+v without teams", got)
	}
}

// Guards against a configuration that cuts off a team without a line in the log, and against a line each
// time that an operator repeats it.
func TestWarningsOfAConfiguration(t *testing.T) {
	b := newTeamTestbed(t, 2)
	configure := workload.Command{Configure: &workload.Config{Version: 3, KeysRequired: true, Teams: []workload.Team{{Name: "a"}}}}
	var reasons []string
	for range 2 {
		b.apply(configure)
		for _, d := range b.core.Effects().Decisions {
			if d.Kind == dispatch.DecisionTeamWarning {
				reasons = append(reasons, string(d.Team)+" "+d.Reason)
			}
		}
	}
	if len(reasons) != 1 || reasons[0] != "a weight-zero" {
		t.Errorf("warnings %q, want one", reasons)
	}
}
