package replog

import "time"

// snapshotRetryTimeouts is the number of maximum election timeouts without a response after which a
// snapshot is resent.
const snapshotRetryTimeouts = 4

// flush sends the entries, snapshots and heartbeats that are due to the followers.
func (c *Core) flush() {
	if c.role != RoleLeader {
		return
	}
	startRound := c.lead.roundWanted
	if startRound {
		c.lead.roundWanted = false
		c.lead.round++
	}
	for _, id := range c.membership().others(c.id) {
		p := c.lead.peers[id]
		if startRound {
			p.heartbeatDue = c.now
		}
		c.flushTo(p)
	}
	c.finishReads()
}

func (c *Core) flushTo(p *progress) {
	if p.next <= c.log.base && p.answeredWithin(c.cfg.ElectionTimeoutMax, c.now) {
		// The entries that the replica needs were compacted. A replica that does not respond only
		// gets heartbeats, because snapshots are large.
		c.flushSnapshot(p)
	}
	if p.state == ProgressReplicate && p.next > c.log.base {
		c.flushEntries(p)
	}
	if !c.now.Before(p.heartbeatDue) {
		c.sendAppend(p, nil)
	}
}

// flushEntries sends batches of entries up to the limit of unacknowledged appends.
func (c *Core) flushEntries(p *progress) {
	for p.next <= c.log.last() && len(p.inflight) < c.cfg.MaxInflight {
		entries := c.log.batch(p.next, c.cfg.MaxBatchBytes)
		c.sendAppend(p, entries)
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

// sendAppend sends the entries after next-1, or a heartbeat if there are none. A heartbeat to a
// replica that needs compacted entries refers to index 0, which always matches.
func (c *Core) sendAppend(p *progress, entries []Entry) {
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok {
		previous = 0
	}
	c.send(Message{
		Type: MessageAppend, To: p.id, Term: c.hard.Term,
		LogIndex: previous, LogTerm: term, Entries: entries, Commit: c.commit,
		Context: c.lead.round, SentNanos: c.nowNanos(),
	})
	p.heartbeatDue = c.now.Add(c.cfg.HeartbeatInterval)
}

func (c *Core) nowNanos() int64 { return c.now.Sub(c.start).Nanoseconds() }

// handleAppendAnswer handles a follower's response. A rejection also proves that the follower has
// heard from this leader.
func (c *Core) handleAppendAnswer(m Message) {
	p := c.heardFrom(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleRejection(p, m)
	} else {
		c.handleConfirmation(p, m.LogIndex)
	}
	c.advanceCommit()
	c.finishReads()
	c.continueTransfer()
}

// heardFrom records a follower's response for check-quorum, the leader lease and read rounds. It
// returns nil if the response does not belong to this leader's term.
func (c *Core) heardFrom(m Message) *progress {
	p := c.lead.peers[m.From]
	if c.role != RoleLeader || p == nil || m.SentNanos > c.nowNanos() || m.LogIndex > c.log.last() {
		return nil
	}
	p.answeredAt = c.now
	if sent := c.start.Add(time.Duration(m.SentNanos)); sent.After(p.leasedFrom) && !sent.Before(c.lead.leaseFloor) {
		p.leasedFrom = sent
	}
	p.round = max(p.round, m.Context)
	return p
}

func (c *Core) handleConfirmation(p *progress, index uint64) {
	probed := p.state == ProgressProbe && index >= p.next-1
	p.confirm(index)
	caughtUp := p.state == ProgressSnapshot && p.match >= c.log.base
	if probed || caughtUp {
		p.replicateFrom(p.match + 1)
	}
}

// handleRejection goes back to an earlier entry. A rejection of an index up to match, or of a probe
// other than the last one, is outdated and ignored.
func (c *Core) handleRejection(p *progress, m Message) {
	if p.state == ProgressSnapshot || m.LogIndex <= p.match {
		return
	}
	if p.state == ProgressProbe && m.LogIndex != p.next-1 {
		return
	}
	candidate := c.log.lastNotAfterTerm(m.Hint, m.LogTerm)
	p.probeFrom(min(m.LogIndex, candidate+1), c.now)
}
