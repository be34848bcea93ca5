package replog

import "time"

// transfer is a leadership transfer in progress.
type transfer struct {
	target         ReplicaID // 0 if no transfer is in progress
	deadline       time.Time
	timeoutNowSent bool
}

// TransferLeadership starts a transfer of the leadership to another voter. Proposals are rejected
// during the transfer. If the target has not taken over after the maximum election timeout, the
// leader continues if it has not yet sent TimeoutNow and steps down otherwise: once TimeoutNow is
// sent, the leader cannot hold a lease again in this term. It returns ErrNotLeader, ErrTransferring
// or ErrInvalidTarget.
func (c *Core) TransferLeadership(now time.Time, to ReplicaID) error {
	c.advance(now)
	if err := c.checkCanPropose(); err != nil {
		return err
	}
	if to == c.id || !c.membership().IsVoter(to) {
		return ErrInvalidTarget
	}
	c.leaderState.transfer = transfer{target: to, deadline: c.now.Add(c.cfg.ElectionTimeoutMax)}
	c.continueTransfer()
	return nil
}

// continueTransfer sends TimeoutNow to the target once it has the whole log.
func (c *Core) continueTransfer() {
	t := &c.leaderState.transfer
	if c.role != RoleLeader || t.target == 0 || t.timeoutNowSent {
		return
	}
	p := c.leaderState.followers[t.target]
	if p == nil || p.matchIndex < c.log.lastIndex() {
		return
	}
	t.timeoutNowSent = true
	c.leaderState.leaseDisabled = true
	c.send(Message{Type: MessageTimeoutNow, To: t.target, Term: c.hardState.Term})
}

func (c *Core) tickTransfer() {
	t := c.leaderState.transfer
	if t.target == 0 || c.now.Before(t.deadline) {
		return
	}
	if t.timeoutNowSent {
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	c.leaderState.transfer = transfer{}
}
