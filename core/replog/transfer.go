package replog

import "time"

// transfer is a leadership transfer in progress.
type transfer struct {
	to       ReplicaID // 0 if no transfer is in progress
	deadline time.Time
	told     bool // TimeoutNow was sent
}

// TransferLeadership starts a transfer of the leadership to another voter. Proposals are rejected
// during the transfer. If the target has not taken over after the maximum election timeout, the
// leader continues if it has not yet sent TimeoutNow and steps down otherwise: once TimeoutNow is
// sent, the leader cannot hold a lease again in this term. It returns ErrNotLeader, ErrTransferring
// or ErrInvalidTarget.
func (c *Core) TransferLeadership(now time.Time, to ReplicaID) error {
	c.advance(now)
	if err := c.mayPropose(); err != nil {
		return err
	}
	if to == c.id || !c.membership().IsVoter(to) {
		return ErrInvalidTarget
	}
	c.lead.transfer = transfer{to: to, deadline: c.now.Add(c.cfg.ElectionTimeoutMax)}
	c.continueTransfer()
	return nil
}

// continueTransfer sends TimeoutNow to the target once it has the whole log.
func (c *Core) continueTransfer() {
	t := &c.lead.transfer
	if c.role != RoleLeader || t.to == 0 || t.told {
		return
	}
	p := c.lead.peers[t.to]
	if p == nil || p.match < c.log.last() {
		return
	}
	t.told = true
	c.lead.leaseVoid = true
	c.send(Message{Type: MessageTimeoutNow, To: t.to, Term: c.hard.Term})
}

func (c *Core) tickTransfer() {
	t := c.lead.transfer
	if t.to == 0 || c.now.Before(t.deadline) {
		return
	}
	if t.told {
		c.becomeFollower(c.hard.Term, 0)
		return
	}
	c.lead.transfer = transfer{}
}
