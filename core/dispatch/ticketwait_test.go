package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// A task must not wait for the lease of a run that a lost start may begin 12 s late if its ticket has
// expired long before: its job would be idle for 19 s (platform rule LOST).
func TestTaskWithATicketWaitsForALostStartAsLongAsACallMayTake(t *testing.T) {
	b := newTestbed(t,
		configureQueues(advisedQueue("a", 0, time.Millisecond)),
		registerWorker("w", 1), submitJobTo("a", "j", oneTask), registerWorker("spare", 1),
		workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{
			Step: workload.StepID{Job: "j"}, Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}},
		}}}},
		workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}})
	askedAfter := time.Duration(0)
	b.runFor(2*maxCallDelay, workerStub{
		hold: unreachableHold,
		observe: func(e dispatch.Effects) {
			if len(e.Advice) > 0 && askedAfter == 0 {
				askedAfter = b.now.Sub(epoch)
			}
		},
	})
	if askedAfter < maxCallDelay || askedAfter > maxCallDelay+2*time.Second {
		t.Errorf("the step is considered again after %v, want %v to %v", askedAfter, maxCallDelay, maxCallDelay+2*time.Second)
	}
}
