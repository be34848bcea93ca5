package replica

import (
	"time"

	"github.com/godwitlink/godwitlink/core/controlgroup"
	"github.com/godwitlink/godwitlink/core/replog"
)

// maxCaughtUpLag is how many entries a learner may be behind the commit index when the leader
// proposes to promote it to a voter. The log itself refuses learners that are more than 100
// entries behind.
const maxCaughtUpLag = 50

// followListedMembers makes one step towards the group that the cell file in force lists. The
// leader calls it every advanceInterval.
func (t *task) followListedMembers(now time.Time) {
	if t.cellFile == nil {
		return
	}
	view := t.membershipView(now, t.core.Status())
	for _, id := range t.cellFile.Cell.ControlReplicas {
		view.Listed = append(view.Listed, replog.ReplicaID(id))
	}
	t.proposeMembershipStep(now, controlgroup.NextStep(view))
}

// membershipView returns what the leader knows about the group, except for the list of members.
func (t *task) membershipView(now time.Time, status replog.Status) controlgroup.View {
	view := controlgroup.View{Self: t.opts.ID, Membership: status.Membership, Announced: t.peers.directory.RecentlyAnnounced(now)}
	for _, follower := range status.Followers {
		if now.Sub(follower.AnsweredAt) >= t.opts.ElectionTimeoutMax {
			continue
		}
		view.Responsive = append(view.Responsive, follower.ID)
		if follower.Learner && follower.Match > 0 && follower.Match+maxCaughtUpLag >= status.Commit {
			view.CaughtUp = append(view.CaughtUp, follower.ID)
		}
	}
	view.Addresses = map[replog.ReplicaID]string{}
	for _, peer := range t.peers.directory.Peers() {
		view.Addresses[peer.ID] = peer.Address
	}
	view.RecordAddresses = t.peers.directory.MembersReadAddresses(now, view.Responsive)
	return view
}
