package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against a done end that is acknowledged without being counted and leaves no line in the log.
func TestUncountedDoneEndIsLogged(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.apply(workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}})
	b.apply(registerWorker("spare", 1))
	b.core.Expire(0, workload.ClosedRunRetention+10*time.Second)
	b.apply(workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{Step: starts[0].Task.StepID(), Members: []workload.TaskAssignment{{Worker: "spare", Boot: 1}}}}}})
	var logged []dispatch.Decision
	b.runFor(time.Second, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport {
			return dispatch.HoldReport{Boot: h.Boot, Ends: []dispatch.ListedEnd{{Number: 1, Task: starts[0].Task, Run: 1, Result: workload.EndDone}}}
		},
		observe: func(e dispatch.Effects) {
			for _, d := range e.Decisions {
				if d.Kind == dispatch.DecisionUncountedEnd {
					logged = append(logged, d)
				}
			}
		},
	})
	if len(logged) != 1 || logged[0].Reason != "not-accepted" {
		t.Errorf("decisions %+v, want one with reason not-accepted", logged)
	}
}
