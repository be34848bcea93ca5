package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
)

// Guards against a lease that expires, with the work of its runs, on a worker whose answers are all read, but
// late (rule AVAIL).
func TestBootIsNotGivenUpWhileItsAnswersAreReadLate(t *testing.T) {
	const timeout, late = 600 * time.Millisecond, 300 * time.Millisecond
	type sentHold struct {
		dispatch.Hold
		timeoutAt time.Time
		timedOut  bool
	}
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	var sent []*sentHold
	for b.now.Before(epoch.Add(20 * time.Second)) {
		for _, p := range b.tick(10 * time.Millisecond).Proposals {
			if p.Command.EndBoot != nil {
				t.Fatalf("the boot is given up after %v", b.now.Sub(epoch))
			}
			b.core.Apply(b.now, b.now, 0, p.Command)
			b.core.ProposalCommitted(b.now, p.ID)
		}
		for _, h := range b.openHolds {
			sent = append(sent, &sentHold{Hold: h, timeoutAt: b.now.Add(h.Wait + timeout)})
		}
		b.openHolds = nil
		for _, h := range sent {
			if !h.timedOut && !b.now.Before(h.timeoutAt) {
				h.timedOut = true
				b.core.HoldAnswered(b.now, h.Call, dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
			}
		}
		for len(sent) > 0 && !b.now.Before(sent[0].timeoutAt.Add(late)) {
			b.core.LateHoldAnswered(b.now, sent[0].Call, dispatch.HoldReport{
				Boot: 1, Clock: sent[0].timeoutAt.Sub(epoch).Milliseconds() + 400, Active: []dispatch.ActiveRun{{Task: starts[0].Task, Run: 1}},
			})
			sent = sent[1:]
		}
	}
}
