package replog

import "time"

// leadership is the volatile state of a leader during one term.
type leadership struct {
	since     time.Time
	termStart uint64 // index of the no-op entry that starts the term
	peers     map[ReplicaID]*progress
	transfer  transfer
	// leaseVoid is set when TimeoutNow is sent to another replica. The message may arrive at any
	// later time, so the leader must not hold a lease again in this term.
	leaseVoid bool
	// leaseFloor is the time of the last call of ClockJumped. Responses to messages sent before it
	// do not extend the lease.
	leaseFloor time.Time

	round       uint64 // last read round that was started
	roundWanted bool
	reads       []pendingRead
}

// becomeLeader appends a no-op entry: entries of earlier terms can be committed only together with
// an entry of the current term.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.grants = nil
	c.lead = leadership{since: c.now, peers: map[ReplicaID]*progress{}}
	c.syncPeers()
	c.lead.termStart = c.log.last() + 1
	c.appendOwn(EntryNoop, nil)
}

// syncPeers updates the set of followers to the current membership.
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

// appendOwn appends an entry of the leader's term. The leader counts itself towards the quorum only
// after the entry is synced (see Persisted); followers may acknowledge the entry earlier.
func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	index := c.log.last() + 1
	c.appendEntries([]Entry{{Index: index, Term: c.hard.Term, Kind: kind, Data: data}})
	return index
}

// Propose appends commands and returns the index of the first command and the term. A command is
// committed if Effects.Committed returns an entry with that index and term; if the entry at that
// index has another term, the command was replaced. If Propose returns ErrNotLeader,
// ErrTransferring or ErrOverloaded, nothing was appended.
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

// tickLeader steps down if no quorum has responded within the election timeout (check-quorum).
// Heartbeats are sent by flush.
func (c *Core) tickLeader() {
	c.tickTransfer()
	if c.role == RoleLeader && !c.now.Before(c.quorumDeadline()) {
		c.becomeFollower(c.hard.Term, 0)
	}
}

// quorumDeadline returns when the leader steps down unless it receives more responses.
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

// advanceCommit commits the last entry of the current term that is durable on a quorum. Entries of
// earlier terms are never committed by counting replicas, because a later leader without such an
// entry could still be elected (Raft, section 5.4.2).
func (c *Core) advanceCommit() {
	index := c.quorumIndex(c.disk.stable, func(p *progress) uint64 { return p.match })
	if index <= c.commit || !c.log.matches(index, c.hard.Term) {
		return
	}
	c.commit = index
	c.finishReads()
	c.leaveIfRemoved()
}

// leaveIfRemoved steps down once the entry that removes this leader from the voters is committed.
// It first sends the new commit index to the followers.
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
