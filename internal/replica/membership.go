package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/controlgroup"
	"github.com/godwitlink/godwitlink/core/replog"
)

// caughtUpLag is how many entries behind the commit index a learner may be
// when the leader proposes to make it a voter. The log itself refuses above
// 100.
const caughtUpLag = 50

// changeGroup makes one step that brings the group closer to the list in the
// file in force. The leader calls it every advanceInterval.
func (t *task) changeGroup(now time.Time) {
	if t.file == nil {
		return
	}
	status := t.core.Status()
	step := controlgroup.Next(t.groupView(now, status))
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
		t.opts.Logger.Log(eventStepRefused, zap.String("step", string(step.Kind)), zap.Uint64("replica", uint64(step.Replica)), zap.Error(err))
		return
	}
	t.opts.Metrics.Add(metricSteps, string(step.Kind), 1)
	t.opts.Logger.Log(eventStep, zap.String("step", string(step.Kind)), zap.Uint64("replica", uint64(step.Replica)),
		zap.Any("voters", step.Next.Voters), zap.Any("learners", step.Next.Learners))
}

func (t *task) groupView(now time.Time, status replog.Status) controlgroup.View {
	view := controlgroup.View{Self: t.opts.ID, Membership: status.Membership, Announced: t.peers.recent(now)}
	for _, id := range t.file.Cell.ControlReplicas {
		view.Listed = append(view.Listed, replog.ReplicaID(id))
	}
	for _, follower := range status.Followers {
		if now.Sub(follower.AnsweredAt) >= t.opts.ElectionTimeoutMax {
			continue
		}
		view.Answering = append(view.Answering, follower.ID)
		if follower.Learner && follower.Match > 0 && follower.Match+caughtUpLag >= status.Commit {
			view.CaughtUp = append(view.CaughtUp, follower.ID)
		}
	}
	return view
}
