package replog

import "time"

// transfer is a leadership transfer under way.
type transfer struct {
	to       ReplicaID // 0 where none
	deadline time.Time
	told     bool // TimeoutNow was sent
}

// TransferLeadership hands leadership to another voter. Proposals are refused
// meanwhile. Where the target does not take over within an election timeout,
// the leader goes on if the target was not told yet, and steps down otherwise:
// after the message is sent there is no leader lease again in this term. It
// returns ErrNotLeader, ErrTransferring or ErrInvalidTarget.
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

// continueTransfer tells the target to take over once it has the whole log.
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
