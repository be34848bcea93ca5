package replog

import "time"

// leaderState is the volatile state of a leader during one term.
type leaderState struct {
	electedAt time.Time
	noopIndex uint64 // index of the no-op entry that starts the term
	followers map[ReplicaID]*progress
	transfer  transfer
	// leaseDisabled is set when TimeoutNow is sent to another replica. The message may arrive at
	// any later time, so the leader must not hold a lease again in this term.
	leaseDisabled bool
	// leaseNotBefore is the time of the last call of ClockJumped. Responses to messages sent before
	// it do not extend the lease.
	leaseNotBefore time.Time

	readRound          uint64 // last read round that was started
	readRoundRequested bool
	pendingReads       []pendingRead
}

// becomeLeader appends a no-op entry: entries of earlier terms can be committed only together with
// an entry of the current term.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.votesReceived = nil
	c.leaderState = leaderState{electedAt: c.now, followers: map[ReplicaID]*progress{}}
	c.updateFollowers()
	c.leaderState.noopIndex = c.log.lastIndex() + 1
	c.appendInTerm(EntryNoop, nil)
}

// updateFollowers updates the set of followers to the current membership.
func (c *Core) updateFollowers() {
	peers := map[ReplicaID]*progress{}
	for _, id := range c.membership().membersExcept(c.id) {
		peers[id] = c.leaderState.followers[id]
		if peers[id] == nil {
			peers[id] = &progress{
				id: id, nextIndex: c.log.lastIndex() + 1, state: ProgressReplicate, window: minWindowBytes, heartbeatDue: c.now,
			}
		}
	}
	c.leaderState.followers = peers
}

// appendInTerm appends an entry of the leader's term. The leader counts itself towards the quorum
// only after the entry is synced (see Persisted); followers may acknowledge the entry earlier.
func (c *Core) appendInTerm(kind EntryKind, data []byte) uint64 {
	index := c.log.lastIndex() + 1
	c.appendEntries([]Entry{{Index: index, Term: c.hardState.Term, Kind: kind, Data: data}})
	return index
}

// Propose appends commands and returns the index of the first command and the term. A command is
// committed if Effects.Committed returns an entry with that index and term; if the entry at that
// index has another term, the command was replaced. If Propose returns ErrNotLeader,
// ErrTransferring or ErrOverloaded, nothing was appended.
func (c *Core) Propose(now time.Time, commands [][]byte) (first, term uint64, err error) {
	c.advance(now)
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if c.log.lastIndex()-c.commit+uint64(len(commands)) > uint64(c.cfg.MaxPending) {
		return 0, 0, ErrOverloaded
	}
	first = c.log.lastIndex() + 1
	for _, command := range commands {
		c.appendInTerm(EntryCommand, command)
	}
	return first, c.hardState.Term, nil
}

func (c *Core) checkCanPropose() error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if c.leaderState.transfer.target != 0 {
		return ErrTransferring
	}
	return nil
}

// tickLeader steps down if no quorum has responded within the election timeout (check-quorum).
// Heartbeats are sent by replicate.
func (c *Core) tickLeader() {
	c.tickTransfer()
	if c.role == RoleLeader && !c.now.Before(c.checkQuorumDeadline()) {
		c.becomeFollower(c.hardState.Term, 0)
	}
}

// checkQuorumDeadline returns when the leader steps down unless it receives more responses.
func (c *Core) checkQuorumDeadline() time.Time {
	heard := c.quorumTime(func(p *progress) time.Time {
		if p.lastResponseAt.IsZero() {
			return c.leaderState.electedAt
		}
		return p.lastResponseAt
	})
	return heard.Add(c.cfg.ElectionTimeoutMax)
}

func (c *Core) leaderDeadline() time.Time {
	deadline := c.checkQuorumDeadline()
	for _, p := range c.leaderState.followers {
		if p.heartbeatDue.Before(deadline) {
			deadline = p.heartbeatDue
		}
	}
	if c.leaderState.transfer.target != 0 && c.leaderState.transfer.deadline.Before(deadline) {
		deadline = c.leaderState.transfer.deadline
	}
	return deadline
}

// advanceCommit commits the last entry of the current term that is durable on a quorum. Entries of
// earlier terms are never committed by counting replicas, because a later leader without such an
// entry could still be elected (Raft, section 5.4.2).
func (c *Core) advanceCommit() {
	index := c.quorumIndex(c.persistence.durable, func(p *progress) uint64 { return p.matchIndex })
	if index <= c.commit || !c.log.matches(index, c.hardState.Term) {
		return
	}
	c.commit = index
	c.completeReads()
	c.stepDownIfRemoved()
}

// stepDownIfRemoved steps down once the entry that removes this leader from the voters is
// committed. It first sends the new commit index to the followers.
func (c *Core) stepDownIfRemoved() {
	record := c.history.latest()
	if record.index > c.commit || record.membership.IsVoter(c.id) {
		return
	}
	for _, p := range c.leaderState.followers {
		p.heartbeatDue = c.now
	}
	c.replicate()
	c.becomeFollower(c.hardState.Term, 0)
}
