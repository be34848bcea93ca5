package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against proposals that are repeated at once while the replica rejects them, which takes the
// processor time that it needs for those that wait, and against proposals that are not repeated at all.
func TestRejectedProposalsAreDelayed(t *testing.T) {
	const workers = 100
	var commands []workload.Command
	for i := range workers {
		commands = append(commands, registerWorker(workload.WorkerID(fmt.Sprintf("w%03d", i)), 1))
	}
	b := newTestbed(t, append(commands, submitJob("j", workload.StepSpec{Tasks: workers, Size: workload.Resources{MilliCPU: 3000}}))...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	for _, start := range b.commit(b.tick(replanDelay)).Starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
	}
	// All workers stop answering, and once their leases have expired each boot is given up.
	endBoots := func(d time.Duration, commit bool) (proposed int) {
		for until := b.now.Add(d); b.now.Before(until); {
			for _, p := range b.tick(10 * time.Millisecond).Proposals {
				if p.Command.EndBoot == nil {
					continue
				}
				proposed++
				if commit {
					b.apply(p.Command)
					b.core.ProposalCommitted(b.now, p.ID)
				} else {
					b.core.ProposalFailed(b.now, p.ID)
				}
			}
			b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent})
		}
		return proposed
	}
	endBoots(2*workerLease, false)
	if got := endBoots(10*time.Second, false); got == 0 || got > 20*workers {
		t.Errorf("%d proposals in 10 s for %d workers while they are rejected", got, workers)
	}
	if got := endBoots(3*time.Second, true); got != workers {
		t.Errorf("%d boots are given up once proposals are accepted, want %d", got, workers)
	}
}
