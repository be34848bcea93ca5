package replog

import (
	"fmt"
	"time"
)

// maxPromotionLagEntries is the number of log entries that a learner may be behind the leader when
// it is promoted. A voter that is far behind would stall commits if another voter failed.
const maxPromotionLagEntries = 100

// ChangeMembership proposes the next membership. It may differ from the current membership by one
// step of one replica: adding a learner, promoting a learner or removing a replica, and in the
// addresses, or in the addresses alone. The next membership takes effect when its entry is appended
// and becomes final when the entry is committed.
//
// It returns ErrNotLeader, ErrNotReady, ErrChangePending, ErrInvalidChange or ErrNotCaughtUp. The
// first change of a term requires a committed entry of that term. Otherwise two leaders could each
// change the membership that they know, and the resulting memberships might have no quorum in
// common.
func (c *Core) ChangeMembership(now time.Time, next Membership) error {
	c.advance(now)
	if err := c.checkCanPropose(); err != nil {
		return err
	}
	if !c.ownTermCommitted() {
		return ErrNotReady
	}
	if c.history.latest().index > c.commit {
		return ErrChangePending
	}
	next = next.normalized()
	if err := c.membership().checkChange(next); err != nil {
		return err
	}
	if err := c.checkPromotion(next); err != nil {
		return err
	}
	c.appendInTerm(EntryMembership, EncodeMembership(next))
	c.updateFollowers()
	c.advanceCommit()
	return nil
}

func (c *Core) checkPromotion(next Membership) error {
	for _, id := range next.Voters {
		if c.membership().IsVoter(id) {
			continue
		}
		p := c.leaderState.followers[id]
		lag := c.log.lastIndex() - p.matchIndex
		if p.matchIndex == 0 || lag > maxPromotionLagEntries || !p.respondedWithin(c.cfg.ElectionTimeoutMax, c.now) {
			return fmt.Errorf("%w: replica %d is %d entries behind", ErrNotCaughtUp, id, lag)
		}
	}
	return nil
}
