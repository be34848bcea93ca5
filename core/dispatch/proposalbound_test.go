package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against a leader that makes many small proposals while the log is slow, and against decisions that
// are not proposed once it commits again.
func TestProposalsAreFewAndLargeWhileCommitsAreLate(t *testing.T) {
	const jobs = 40
	b := newTestbed(t, registerWorkers(jobs)...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	var inFlight []dispatch.Proposal
	for i := range jobs {
		b.core.Apply(b.now, b.now, 0, submitJob(workload.JobID(fmt.Sprint("j", i)), oneTask))
		proposals := b.tick(replanDelay).Proposals
		// The first proposal is late after 250 ms.
		if late := b.now.Sub(epoch) > 300*time.Millisecond; late && len(proposals) > 0 {
			t.Fatalf("%d proposals are made although %d are late", len(proposals), len(inFlight))
		}
		inFlight = append(inFlight, proposals...)
	}
	placed := 0
	for _, p := range inFlight {
		placed += len(p.Command.Decide.Assigns)
		b.core.Apply(b.now, b.now, 0, p.Command)
		b.core.ProposalCommitted(b.now, p.ID)
	}
	if len(inFlight) < 4 || placed == jobs {
		t.Fatalf("%d proposals with %d placements are made before commits are late", len(inFlight), placed)
	}
	later := append(b.tick(50*time.Millisecond).Proposals, b.tick(50*time.Millisecond).Proposals...)
	if len(later) != 1 || placed+len(later[0].Command.Decide.Assigns) != jobs {
		t.Errorf("%d proposals after the commits, want one with the other %d placements", len(later), jobs-placed)
	}
}

// Guards against a new leader that calls thousands of workers at once and reads the answers late, and against
// workers that are never called.
func TestNewLeaderCallsWorkersInPortions(t *testing.T) {
	const workers, atOnce = 1000, 400
	b := newTestbed(t, registerWorkers(workers)...)
	called := map[workload.WorkerID]bool{}
	firstInFlight := 0
	for round := range 100 {
		e := b.tick(20 * time.Millisecond)
		for _, h := range e.Holds {
			if !called[h.Worker] {
				called[h.Worker] = true
				firstInFlight++
			}
		}
		if firstInFlight > atOnce {
			t.Fatalf("%d workers are called for the first time at once", firstInFlight)
		}
		if round%2 == 1 {
			outcome := dispatch.OutcomeOK
			if round%4 == 1 {
				outcome = dispatch.OutcomeNoAnswer
			}
			b.answerHolds(dispatch.HoldReport{Outcome: outcome})
			firstInFlight = 0
		}
		if len(called) == workers {
			return
		}
	}
	t.Errorf("%d of %d workers were called", len(called), workers)
}
