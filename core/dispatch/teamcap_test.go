package dispatch_test

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// setCap puts a configuration in force in which team "a" has a cap.
func (b *testbed) setCap(version uint64, cores int64) {
	b.apply(workload.Command{Configure: &workload.Config{
		Version: version, KeysRequired: true, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}},
		Teams: []workload.Team{{Name: "a", Weight: 20, Cap: workload.Resources{MilliCPU: 1000 * cores}}},
	}})
}

// applyProposals commits proposals without another pass of the core.
func (b *testbed) applyProposals(proposals []dispatch.Proposal) {
	for _, p := range proposals {
		b.apply(p.Command)
		b.core.ProposalCommitted(b.now, p.ID)
	}
}

func newCapTestbed(t *testing.T, cores int64, jobs int) *testbed {
	b := newTeamTestbed(t, 3)
	b.setCap(3, cores)
	b.submitAs("q", "a", jobs, oneCore)
	return b
}

// used returns the use of team "a" in thousandths of a core.
func (b *testbed) used() int64 { return b.core.TeamLoads()[0].Used.MilliCPU }

// Guards against a cap that is cut while starts are on their way: what was not sent is not sent, a start in
// doubt is stopped and not repeated, and what has begun goes on and counts.
func TestStartsWhenACapIsCut(t *testing.T) {
	b := newCapTestbed(t, 4, 4)
	first := b.tick(replanDelay)
	b.applyProposals(first.Proposals)
	starts := b.tick(0).Starts
	if len(starts) != 4 {
		t.Fatalf("%d starts, want 4", len(starts))
	}
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.core.StartAnswered(b.now, starts[1], dispatch.OutcomeNoAnswer, 0)
	b.setCap(4, 1)
	stopped := map[workload.TaskID]bool{}
	for range 10 {
		e := b.tick(replanDelay)
		if len(e.Starts) > 0 {
			t.Fatalf("starts %+v above the cap", e.Starts)
		}
		for _, stop := range e.Stops {
			stopped[stop.Task] = true
		}
		b.applyProposals(e.Proposals)
	}
	if len(stopped) != 1 || !stopped[starts[1].Task] {
		t.Errorf("stopped %v, want the start in doubt", stopped)
	}
	if b.used() != 4000 {
		t.Errorf("use %d before any end is known, want 4000", b.used())
	}
}

// Guards against starts of runs that were opened just before the cap was cut.
func TestRunsOpenedBeforeACapIsCut(t *testing.T) {
	b := newCapTestbed(t, 4, 4)
	b.applyProposals(b.tick(replanDelay).Proposals)
	if b.used() != 4000 {
		t.Fatalf("use %d, want 4000", b.used())
	}
	b.setCap(4, 1)
	for range 5 {
		e := b.tick(replanDelay)
		if len(e.Starts) > 1 || len(e.Starts) == 1 && b.used() > 1000 {
			t.Fatalf("starts %+v at a use of %d", e.Starts, b.used())
		}
		b.applyProposals(e.Proposals)
	}
	if b.used() != 1000 {
		t.Errorf("use %d after the runs that had not begun were closed, want 1000", b.used())
	}
}

// Guards against a team above its cap after the store has failed during a change of caps: the assignments are
// proposed again, the first copies are committed late, and the cap was cut in between.
func TestAssignmentsCommittedLateAfterACapIsCut(t *testing.T) {
	b := newCapTestbed(t, 4, 8)
	lost := b.tick(replanDelay).Proposals
	for _, p := range lost {
		b.core.ProposalFailed(b.now, p.ID)
	}
	b.setCap(4, 2)
	var repeated []dispatch.Proposal
	for len(repeated) == 0 {
		repeated = b.tick(5 * replanDelay).Proposals
	}
	for _, p := range lost {
		b.apply(p.Command)
	}
	b.applyProposals(repeated)
	if b.used() != 2000 {
		t.Errorf("use %d of a cap of 2000", b.used())
	}
	if starts := b.tick(0).Starts; len(starts) != 2 {
		t.Errorf("%d starts, want 2", len(starts))
	}
}

// answerHoldsWithRuns answers all open holds with the runs that were started on each worker.
func (b *testbed) answerHoldsWithRuns(starts []dispatch.Start) {
	holds := b.openHolds
	b.openHolds = nil
	for _, h := range holds {
		report := dispatch.HoldReport{Clock: b.now.Sub(epoch).Milliseconds() + 1000}
		for _, st := range starts {
			if st.Worker == h.Worker {
				report.Active = append(report.Active, dispatch.ActiveRun{Task: st.Task, Run: st.Run})
			}
		}
		b.core.HoldAnswered(b.now, h.Call, report)
	}
}

// Guards against a new leader that does not know what runs of a team at its cap, and starts more.
func TestNewLeaderFindsATeamAtItsCap(t *testing.T) {
	b := newCapTestbed(t, 2, 6)
	starts := b.commit(b.tick(replanDelay)).Starts
	restored, err := workload.Restore(b.core.StateSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	next := &testbed{t: t, now: testclock.At(epoch)}
	next.core = dispatch.New(dispatch.Options{Term: 2, Lease: workerLease, MaxLease: maxWorkerLease, SelfAddress: "self"}, restored, next.now)
	next.core.SetLeaderLease(next.now, lease.DeadlineIn(next.now, leaderLease))
	for range 5 {
		e := next.tick(replanDelay)
		next.answerHoldsWithRuns(starts)
		next.applyProposals(e.Proposals)
		if len(e.Starts) > 0 || next.used() != 2000 {
			t.Fatalf("starts %+v at a use of %d of 2000", e.Starts, next.used())
		}
	}
}
