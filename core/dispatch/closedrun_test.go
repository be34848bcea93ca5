package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// decisionsOn lets "w" list runs as active until the leader has logged closed runs there.
func (b *testbed) decisionsOn(boot workload.Boot, active ...dispatch.ActiveRun) []dispatch.Decision {
	var found []dispatch.Decision
	b.runFor(time.Second, workerStub{
		hold: func(dispatch.Hold) dispatch.HoldReport {
			if len(found) > 0 {
				return dispatch.HoldReport{Boot: boot}
			}
			return dispatch.HoldReport{Boot: boot, Active: active}
		},
		observe: func(e dispatch.Effects) {
			for _, d := range e.Decisions {
				if d.Kind == dispatch.DecisionClosedRun || d.Kind == dispatch.DecisionOverlap {
					found = append(found, d)
				}
			}
		},
	})
	return found
}

// The line on a closed run that is found running must say how and when the run was closed.
// Otherwise a late start cannot be told from a lease that lasts too long.
func TestClosedRunFoundRunningIsLoggedWithItsEnd(t *testing.T) {
	refused := workload.EndedRun{Worker: "w", Boot: 1, Task: workload.TaskID{Job: "j"}, Run: 1, How: workload.EndNeverStarted}
	for want, c := range map[string]struct {
		boot    workload.Boot
		command workload.Command
	}{
		"lapsed": {1, workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}}},
		"never":  {1, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{refused}}}},
		"lost":   {2, registerWorker("w", 2)},
	} {
		b, starts := startTasks(t, oneTask)
		b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 1100)
		b.apply(c.command)
		b.core.Expire(0, 5*time.Second)
		got := b.decisionsOn(c.boot, dispatch.ActiveRun{Task: starts[0].Task, Run: 1})
		if len(got) == 0 || got[0].Reason != want || got[0].Age != 4*time.Second {
			t.Errorf("decisions %+v, want reason %q and age 4s", got, want)
		}
	}
}
