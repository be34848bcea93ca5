package replica

import (
	"time"

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
	view := t.groupView(now, t.core.Status())
	for _, id := range t.file.Cell.ControlReplicas {
		view.Listed = append(view.Listed, replog.ReplicaID(id))
	}
	t.takeStep(now, controlgroup.NextStep(view))
}

// groupView is what the leader knows of the group, whoever lists its members.
func (t *task) groupView(now time.Time, status replog.Status) controlgroup.View {
	view := controlgroup.View{Self: t.opts.ID, Membership: status.Membership, Announced: t.peers.recent(now)}
	for _, follower := range status.Followers {
		if now.Sub(follower.AnsweredAt) >= t.opts.ElectionTimeoutMax {
			continue
		}
		view.Responsive = append(view.Responsive, follower.ID)
		if follower.Learner && follower.Match > 0 && follower.Match+caughtUpLag >= status.Commit {
			view.CaughtUp = append(view.CaughtUp, follower.ID)
		}
	}
	return view
}
