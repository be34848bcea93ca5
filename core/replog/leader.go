package replog

import "time"

// leadership is the state of a leader in its term.
type leadership struct {
	since     time.Time
	termStart uint64 // index of the no-op that began the term
	peers     map[ReplicaID]*progress
	transfer  transfer
	// leaseVoid is set once another replica was told to start an election at
	// once. That message may arrive at any later time, so there is no lease
	// again in this term.
	leaseVoid bool
	// leaseFloor is the time of the last ClockJumped. Answers to messages that
	// were sent before it give no lease.
	leaseFloor time.Time

	round       uint64 // last read round that was sent
	roundWanted bool
	reads       []pendingRead
}

// becomeLeader starts the term with a no-op: entries of earlier terms are
// committed only together with an entry of the own term.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.grants = nil
	c.lead = leadership{since: c.now, peers: map[ReplicaID]*progress{}}
	c.syncPeers()
	c.lead.termStart = c.log.last() + 1
	c.appendOwn(EntryNoop, nil)
}

// syncPeers makes the set of followers equal to the membership in force.
func (c *Core) syncPeers() {
	peers := map[ReplicaID]*progress{}
	for _, id := range c.membership().others(c.id) {
		peers[id] = c.lead.peers[id]
		if peers[id] == nil {
			peers[id] = &progress{
				id: id, next: c.log.last() + 1, state: ProgressReplicate, heartbeatDue: c.now,
			}
		}
	}
	c.lead.peers = peers
}

// appendOwn adds an entry of the own term. The leader counts itself only after
// the entry is synced (Persisted); followers may confirm it earlier.
func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	index := c.log.last() + 1
	c.appendEntries([]Entry{{Index: index, Term: c.hard.Term, Kind: kind, Data: data}})
	return index
}

// Propose appends commands and returns the index of the first one and the
// term. A command is committed if the entry at its index has that term when it
// comes out of Effects.Committed; otherwise it was replaced. It returns
// ErrNotLeader, ErrTransferring or ErrOverloaded and then appended nothing.
func (c *Core) Propose(now time.Time, commands [][]byte) (first, term uint64, err error) {
	c.advance(now)
	if err := c.mayPropose(); err != nil {
		return 0, 0, err
	}
	if c.log.last()-c.commit+uint64(len(commands)) > uint64(c.cfg.MaxPending) {
		return 0, 0, ErrOverloaded
	}
	first = c.log.last() + 1
	for _, command := range commands {
		c.appendOwn(EntryCommand, command)
	}
	return first, c.hard.Term, nil
}

func (c *Core) mayPropose() error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if c.lead.transfer.to != 0 {
		return ErrTransferring
	}
	return nil
}

// tickLeader steps down where no quorum answered for an election timeout.
// Heartbeats are sent by flush.
func (c *Core) tickLeader() {
	c.tickTransfer()
	if c.role == RoleLeader && !c.now.Before(c.quorumDeadline()) {
		c.becomeFollower(c.hard.Term, 0)
	}
}

// quorumDeadline is when the leader steps down unless more answers arrive.
func (c *Core) quorumDeadline() time.Time {
	heard := c.quorumTime(func(p *progress) time.Time {
		if p.answeredAt.IsZero() {
			return c.lead.since
		}
		return p.answeredAt
	})
	return heard.Add(c.cfg.ElectionTimeoutMax)
}

func (c *Core) leaderDeadline() time.Time {
	deadline := c.quorumDeadline()
	for _, p := range c.lead.peers {
		if p.heartbeatDue.Before(deadline) {
			deadline = p.heartbeatDue
		}
	}
	if c.lead.transfer.to != 0 && c.lead.transfer.deadline.Before(deadline) {
		deadline = c.lead.transfer.deadline
	}
	return deadline
}

// advanceCommit commits the last entry of the own term that a quorum has made
// durable. An entry of an earlier term is never committed by counting: a
// later leader without it could still win an election (Raft, section 5.4.2).
func (c *Core) advanceCommit() {
	index := c.quorumIndex(c.disk.stable, func(p *progress) uint64 { return p.match })
	if index <= c.commit || !c.log.matches(index, c.hard.Term) {
		return
	}
	c.commit = index
	c.finishReads()
	c.leaveIfRemoved()
}

// leaveIfRemoved steps down once the leader's own removal is committed. The
// others learn of the commit first.
func (c *Core) leaveIfRemoved() {
	record := c.history.latest()
	if record.index > c.commit || record.membership.IsVoter(c.id) {
		return
	}
	for _, p := range c.lead.peers {
		p.heartbeatDue = c.now
	}
	c.flush()
	c.becomeFollower(c.hard.Term, 0)
}
