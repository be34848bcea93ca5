package replica

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
)

// Guards against counting time on the steady clock in which the end of a run was proposed but not
// applied: the leader may still start the run then. The Advance commands of one leader must be one
// interval apart, counted from when the former one was applied.
func TestNextAdvanceFollowsAnIntervalAfterTheFormerOneWasApplied(t *testing.T) {
	now := time.Unix(1, 0)
	core := singleVoterLeader(t, now)
	task := &task{core: core, status: core.Status(), leader: &leaderState{}}
	task.proposals.pending = map[uint64]pendingProposal{}
	proposed := func() int {
		count := 0
		for _, p := range task.proposals.pending {
			if p.command.Advance != nil {
				count++
			}
		}
		return count
	}
	task.proposeAdvance(now)
	task.proposeAdvance(now.Add(5 * time.Second))
	if got := proposed(); got != 1 {
		t.Fatalf("%d Advance commands are proposed while the first one is not applied, want 1", got)
	}
	appliedAt := time.Now()
	for index, p := range task.proposals.pending {
		delete(task.proposals.pending, index)
		p.complete(proposeResult{result: state.Result{}}, nil)
	}
	if wait := task.leader.nextAdvanceAt.Sub(appliedAt); wait < time.Second {
		t.Errorf("the next Advance is due %v after the first one was applied, want 1s", wait)
	}
	task.proposeAdvance(now.Add(10 * time.Second))
	if got := proposed(); got != 1 {
		t.Errorf("%d Advance commands are proposed after the first one was applied, want 1", got)
	}
}
