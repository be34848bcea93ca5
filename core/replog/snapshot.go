package replog

import "fmt"

// SnapshotAt returns a snapshot without data for an applied index: its term
// and its membership. The owner adds the data, makes the snapshot durable and
// passes it to Compact.
func (c *Core) SnapshotAt(index uint64) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.emitted {
		return Snapshot{}, fmt.Errorf("%w: %d, applied %d", ErrInvalidSnapshot, index, c.emitted)
	}
	membership := c.history.at(index)
	if len(membership.Voters) == 0 {
		// A learner that joined without a membership has not seen one yet.
		return Snapshot{}, fmt.Errorf("%w: %d, membership unknown", ErrInvalidSnapshot, index)
	}
	return Snapshot{Index: index, Term: term, Membership: membership}, nil
}

// Compact drops the log up to a snapshot that the owner has made durable. A
// leader keeps entries that live followers still need, back to the previous
// snapshot at most, because sending a snapshot costs far more.
func (c *Core) Compact(s Snapshot) error {
	if s.Index > c.emitted || !c.log.matches(s.Index, s.Term) {
		return fmt.Errorf("%w: %d, applied %d", ErrInvalidSnapshot, s.Index, c.emitted)
	}
	previous := c.snapshotIndex()
	if s.Index < previous {
		return fmt.Errorf("%w: %d is before %d", ErrInvalidSnapshot, s.Index, previous)
	}
	keepAfter := s.Index
	for _, p := range c.lead.peers {
		if p.answeredWithin(c.cfg.ElectionTimeoutMax, c.now) {
			keepAfter = min(keepAfter, max(p.match, previous))
		}
	}
	c.snapshot = &s
	c.disk.stable = max(c.disk.stable, s.Index)
	c.log.compactTo(keepAfter)
	c.history = c.history.compactTo(c.log.base)
	return nil
}

func (c *Core) snapshotIndex() uint64 {
	if c.snapshot == nil {
		return 0
	}
	return c.snapshot.Index
}

// flushSnapshot sends the last snapshot, and again after a while.
func (c *Core) flushSnapshot(p *progress) {
	if c.snapshot == nil || p.state == ProgressSnapshot && c.now.Before(p.snapshotDue) {
		return
	}
	p.state = ProgressSnapshot
	p.inflight = nil
	p.snapshotDue = c.now.Add(snapshotRetryTimeouts * c.cfg.ElectionTimeoutMax)
	p.heartbeatDue = c.now.Add(c.cfg.HeartbeatInterval)
	c.send(Message{
		Type: MessageSnapshot, To: p.id, Term: c.hard.Term, Snapshot: c.snapshot,
		Context: c.lead.round, SentNanos: c.nowNanos(),
	})
}

// handleSnapshot installs a leader's snapshot, unless this replica has
// committed as much already: a snapshot never replaces newer entries.
func (c *Core) handleSnapshot(m Message) {
	if m.Snapshot == nil {
		return
	}
	s := m.Snapshot
	switch {
	case s.Index <= c.commit:
	case c.log.matches(s.Index, s.Term):
		c.commitTo(s.Index)
	default:
		c.install(s)
	}
	c.sendAfterSync(Message{
		Type: MessageSnapshotAnswer, To: m.From, Term: c.hard.Term,
		LogIndex: c.commit, Context: m.Context, SentNanos: m.SentNanos,
	})
}

// install replaces the log by a snapshot. Committed entries that were not
// handed out yet are covered by it.
func (c *Core) install(s *Snapshot) {
	c.log.reset(s.Index, s.Term)
	c.history = membershipHistory{{index: s.Index, membership: s.Membership.normalized()}}
	c.snapshot = s
	c.commit, c.emitted = s.Index, s.Index
	// The former entries are gone; the batch of this snapshot makes the base
	// durable.
	c.disk.handed = s.Index
	c.disk.stable = 0
	c.out.install = s
}

func (c *Core) handleSnapshotAnswer(m Message) {
	p := c.heardFrom(m)
	if p == nil {
		return
	}
	c.handleConfirmation(p, m.LogIndex)
	p.snapshotDue = c.now // at once, where a newer snapshot is needed
	c.advanceCommit()
	c.finishReads()
}
