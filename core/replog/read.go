package replog

import "time"

// pendingRead is a read barrier that waits for a read round. In a round the leader sends every
// follower a message with the number of the round. Responses from a quorum prove that no later leader
// had been elected when the round started.
type pendingRead struct {
	id    uint64
	round uint64
	// index is the commit index at the time of the call, or 0 if the leader had not yet committed
	// an entry of its own term.
	index uint64
}

// ReadBarrier requests an index at which a read is linearizable. The result is returned in
// Effects.Reads: immediately if the leader holds a lease, otherwise after a quorum has confirmed
// the leadership in a read round that started after this call. It returns ErrNotLeader, or
// ErrOverloaded if Config.MaxPending barriers are waiting.
func (c *Core) ReadBarrier(now time.Time, id uint64) error {
	c.advance(now)
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if c.ownTermCommitted() && c.holdsLease() {
		c.out.reads = append(c.out.reads, ReadResult{ID: id, Index: c.commit})
		return nil
	}
	if len(c.leaderState.pendingReads) >= c.cfg.MaxPending {
		return ErrOverloaded
	}
	read := pendingRead{id: id, round: c.leaderState.readRound + 1}
	if c.ownTermCommitted() {
		read.index = c.commit
	}
	c.leaderState.pendingReads = append(c.leaderState.pendingReads, read)
	c.leaderState.readRoundRequested = true
	return nil
}

// ownTermCommitted reports whether this leader has committed an entry of its own term. Its commit
// index then covers everything that earlier leaders committed.
func (c *Core) ownTermCommitted() bool {
	return c.role == RoleLeader && c.commit >= c.leaderState.noopIndex
}

// completeReads completes the barriers whose read round a quorum has responded to.
func (c *Core) completeReads() {
	if !c.ownTermCommitted() || len(c.leaderState.pendingReads) == 0 {
		return
	}
	completedRound := c.quorumIndex(c.leaderState.readRound, func(p *progress) uint64 { return p.readRound })
	done := 0
	for _, read := range c.leaderState.pendingReads {
		if read.round > completedRound {
			break
		}
		if read.index == 0 {
			read.index = c.commit
		}
		c.out.reads = append(c.out.reads, ReadResult{ID: read.id, Index: read.index})
		done++
	}
	c.leaderState.pendingReads = c.leaderState.pendingReads[done:]
}

// abortReads aborts the waiting barriers when the leader steps down.
func (c *Core) abortReads() {
	for _, read := range c.leaderState.pendingReads {
		c.out.reads = append(c.out.reads, ReadResult{ID: read.id, Aborted: true})
	}
	c.leaderState.pendingReads = nil
}
