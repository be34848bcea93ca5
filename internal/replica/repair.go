package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/controlgroup"
)

// Times of the repair of a group without a list of members.
const (
	// repairInterval is the time between two steps. A lost replica has to be replaced within
	// seconds, and a replacement takes four steps.
	repairInterval = 100 * time.Millisecond
	// voterSilenceTimeout is how long a voter may go without an answer before a caught-up replica
	// replaces it. A restart takes about a second.
	voterSilenceTimeout = 1500 * time.Millisecond
)

// repairGroup makes one step towards Options.AutoVoters healthy voters.
func (t *task) repairGroup(now time.Time) {
	status := t.core.Status()
	view := controlgroup.RepairView{
		View: t.membershipView(now, status), Target: t.opts.AutoVoters, Replaced: t.peers.directory.Replaced(),
	}
	for _, follower := range status.Followers {
		if now.Sub(follower.AnsweredAt) >= voterSilenceTimeout {
			view.Unresponsive = append(view.Unresponsive, follower.ID)
		}
	}
	t.proposeMembershipStep(now, controlgroup.NextRepairStep(view))
}

// proposeMembershipStep proposes a change of the group or transfers leadership.
func (t *task) proposeMembershipStep(now time.Time, step controlgroup.Step) {
	var err error
	switch step.Kind {
	case controlgroup.StepNone:
		return
	case controlgroup.StepTransfer:
		err = t.core.TransferLeadership(now, step.Replica)
	default:
		err = t.core.ChangeMembership(now, step.Next)
	}
	if err != nil {
		t.opts.Metrics.Add(metricRetries, "membership", 1)
		t.opts.Logger.Log(eventMembershipChangeRefused, zap.String("step", string(step.Kind)), zap.Uint64("replica", uint64(step.Replica)), zap.Error(err))
		return
	}
	t.opts.Metrics.Add(metricMembershipSteps, string(step.Kind), 1)
	t.opts.Logger.Log(eventMembershipChanged, zap.String("step", string(step.Kind)), zap.Uint64("replica", uint64(step.Replica)),
		zap.Any("voters", step.Next.Voters), zap.Any("learners", step.Next.Learners))
}
