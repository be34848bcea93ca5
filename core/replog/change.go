package replog

import (
	"fmt"
	"time"
)

// promoteMaxLag is how many entries a learner may be behind when it becomes a
// voter. A voter far behind would stall commits if another one failed.
const promoteMaxLag = 100

// ChangeMembership proposes the next membership, which differs from the one in
// force by one step of one replica: add a learner, promote it, or remove a
// replica. It is in force at once and final once its entry is committed.
//
// It returns ErrNotLeader, ErrNotReady, ErrChangePending, ErrInvalidChange or
// ErrNotCaughtUp. The first change of a term waits for a committed entry of
// that term: without this rule two leaders could each change the membership
// that they know into ones without a common quorum.
func (c *Core) ChangeMembership(now time.Time, next Membership) error {
	c.advance(now)
	if err := c.mayPropose(); err != nil {
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
	c.appendOwn(EntryMembership, EncodeMembership(next))
	c.syncPeers()
	c.advanceCommit()
	return nil
}

func (c *Core) checkPromotion(next Membership) error {
	for _, id := range next.Voters {
		if c.membership().IsVoter(id) {
			continue
		}
		p := c.lead.peers[id]
		lag := c.log.last() - p.match
		if p.match == 0 || lag > promoteMaxLag || !p.answeredWithin(c.cfg.ElectionTimeoutMax, c.now) {
			return fmt.Errorf("%w: replica %d is %d entries behind", ErrNotCaughtUp, id, lag)
		}
	}
	return nil
}
