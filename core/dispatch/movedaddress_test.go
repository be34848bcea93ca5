package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
)

// Guards against giving up a live boot because another worker answers at its old address (rule TWICE).
func TestRejectionAtAnOldAddressEndsNoBoot(t *testing.T) {
	for name, answer := range map[string]func(b *testbed, start dispatch.Start){
		"hold": func(b *testbed, _ dispatch.Start) {
			b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeOtherWorker})
		},
		"start": func(b *testbed, start dispatch.Start) {
			b.core.StartAnswered(b.now, start, dispatch.OutcomeOtherWorker, 0)
		},
		"stop": func(b *testbed, start dispatch.Start) {
			b.core.StopAnswered(b.now, dispatch.Stop{Call: start.Call, Task: start.Task, Run: start.Run}, dispatch.OutcomeOtherWorker, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, starts := startTasks(t, oneTask)
			b.answerHolds(dispatch.HoldReport{})
			b.tick(time.Millisecond)
			moved := registerWorker("w", 1)
			moved.Register.Worker.Address = "elsewhere"
			b.apply(moved)
			answer(b, starts[0])
			for _, p := range b.tick(replanDelay).Proposals {
				if p.Command.EndBoot != nil {
					t.Errorf("proposal %+v, want no end of the boot", p.Command.EndBoot)
				}
			}
		})
	}
}
