package replog

import "time"

// snapshotRetryTimeouts is the number of maximum election timeouts without a response after which a
// snapshot is resent.
const snapshotRetryTimeouts = 4

// replicate sends the entries, snapshots and heartbeats that are due to the followers.
func (c *Core) replicate() {
	if c.role != RoleLeader {
		return
	}
	startRound := c.leaderState.readRoundRequested
	if startRound {
		c.leaderState.readRoundRequested = false
		c.leaderState.readRound++
	}
	for _, id := range c.membership().membersExcept(c.id) {
		p := c.leaderState.followers[id]
		if startRound {
			p.heartbeatDue = c.now
		}
		c.replicateTo(p)
	}
	c.completeReads()
}

func (c *Core) replicateTo(p *progress) {
	if p.nextIndex <= c.log.baseIndex && p.respondedWithin(c.cfg.ElectionTimeoutMax, c.now) {
		// The entries that the replica needs were compacted. A replica that does not respond only
		// gets heartbeats, because snapshots are large.
		c.sendSnapshotIfDue(p)
	}
	if p.state == ProgressReplicate && p.nextIndex > c.log.baseIndex {
		c.sendEntries(p)
	}
	if !c.now.Before(p.heartbeatDue) {
		c.sendAppend(p, nil)
	}
}

// sendEntries sends batches of entries up to the limits of unacknowledged appends.
func (c *Core) sendEntries(p *progress) {
	for p.nextIndex <= c.log.lastIndex() && len(p.inflight) < c.cfg.MaxInflight && p.windowLeft() > 0 {
		entries := c.log.batch(p.nextIndex, min(c.cfg.MaxBatchBytes, p.windowLeft()))
		c.sendAppend(p, entries)
		p.sent(entries[len(entries)-1].Index, encodedBytes(entries))
	}
}

// sendAppend sends the entries after nextIndex-1, or a heartbeat if there are none. A heartbeat to
// a replica that needs compacted entries refers to index 0, which always matches.
func (c *Core) sendAppend(p *progress, entries []Entry) {
	previous := p.nextIndex - 1
	term, ok := c.log.term(previous)
	if !ok {
		previous = 0
	}
	c.send(Message{
		Type: MessageAppend, To: p.id, Term: c.hardState.Term,
		LogIndex: previous, LogTerm: term, Entries: entries, Commit: c.commit,
		Context: c.leaderState.readRound, SentNanos: c.nanosSinceStart(),
	})
	p.heartbeatDue = c.now.Add(c.cfg.HeartbeatInterval)
}

func (c *Core) nanosSinceStart() int64 { return c.now.Sub(c.start).Nanoseconds() }

// handleAppendResponse handles a follower's response. A rejection also proves that the follower has
// heard from this leader.
func (c *Core) handleAppendResponse(m Message) {
	p := c.recordResponse(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleRejection(p, m)
	} else {
		c.handleAcknowledgement(p, m.LogIndex)
	}
	c.advanceCommit()
	c.completeReads()
	c.continueTransfer()
}

// recordResponse records a follower's response for check-quorum, the leader lease and read rounds.
// It returns nil if the response does not belong to this leader's term.
func (c *Core) recordResponse(m Message) *progress {
	p := c.leaderState.followers[m.From]
	if c.role != RoleLeader || p == nil || m.SentNanos > c.nanosSinceStart() || m.LogIndex > c.log.lastIndex() {
		return nil
	}
	p.lastResponseAt = c.now
	if sent := c.start.Add(time.Duration(m.SentNanos)); sent.After(p.lastAckedSendTime) && !sent.Before(c.leaderState.leaseNotBefore) {
		p.lastAckedSendTime = sent
	}
	p.readRound = max(p.readRound, m.Context)
	return p
}

func (c *Core) handleAcknowledgement(p *progress, index uint64) {
	probed := p.state == ProgressProbe && index >= p.nextIndex-1
	p.acknowledge(index, c.cfg.MaxInflight*c.cfg.MaxBatchBytes)
	caughtUp := p.state == ProgressSnapshot && p.matchIndex >= c.log.baseIndex
	if probed || caughtUp {
		p.startReplicating(p.matchIndex + 1)
	}
}

// handleRejection goes back to an earlier entry. A rejection of an index up to matchIndex, or of a
// probe other than the last one, is outdated and ignored.
func (c *Core) handleRejection(p *progress, m Message) {
	if p.state == ProgressSnapshot || m.LogIndex <= p.matchIndex {
		return
	}
	if p.state == ProgressProbe && m.LogIndex != p.nextIndex-1 {
		return
	}
	candidate := c.log.lastIndexWithTermAtMost(m.Hint, m.LogTerm)
	p.startProbing(min(m.LogIndex, candidate+1), c.now)
}
