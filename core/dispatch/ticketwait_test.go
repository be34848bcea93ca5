package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// A task must not wait for a lost start that its worker would refuse because the ticket has expired.
func TestTaskWaitsForALostStartUntilItsTicketHasExpired(t *testing.T) {
	b := newTestbed(t,
		configureQueues(advisedQueue("a", 0, time.Millisecond)),
		registerWorker("w", 1), submitJobTo("a", "j", oneTask), registerWorker("spare", 1),
		workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{
			Step: workload.StepID{Job: "j"}, Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}},
		}}}},
		workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}})
	const ticketTTL = time.Second
	askedAfter := time.Duration(0)
	b.runFor(2*maxCallDelay, workerStub{
		hold: unreachableHold,
		observe: func(e dispatch.Effects) {
			if len(e.Advice) > 0 && askedAfter == 0 {
				askedAfter = b.now.Sub(epoch)
			}
		},
	})
	if askedAfter < ticketTTL+maxWorkerLease || askedAfter > maxCallDelay {
		t.Errorf("the step is considered again after %v, want %v to %v", askedAfter, ticketTTL+maxWorkerLease, maxCallDelay)
	}
}
