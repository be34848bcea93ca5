package replog

import "fmt"

// SnapshotAt returns the index, term and membership of a snapshot at an applied index, without
// data. The owner adds the data, makes the snapshot durable and passes it to Compact.
func (c *Core) SnapshotAt(index uint64) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.applied {
		return Snapshot{}, fmt.Errorf("%w: %d, applied %d", ErrInvalidSnapshot, index, c.applied)
	}
	membership := c.history.at(index)
	if len(membership.Voters) == 0 {
		// This replica joined as a learner and has not yet received a membership.
		return Snapshot{}, fmt.Errorf("%w: %d, membership unknown", ErrInvalidSnapshot, index)
	}
	return Snapshot{Index: index, Term: term, Membership: membership}, nil
}

// Compact drops the log up to a snapshot that the owner has made durable. A leader keeps entries
// that responsive followers still need, but none before the previous snapshot, because sending a
// snapshot costs far more than sending entries.
func (c *Core) Compact(s Snapshot) error {
	if s.Index > c.applied || !c.log.matches(s.Index, s.Term) {
		return fmt.Errorf("%w: %d, applied %d", ErrInvalidSnapshot, s.Index, c.applied)
	}
	previous := c.snapshotIndex()
	if s.Index < previous {
		return fmt.Errorf("%w: %d is before %d", ErrInvalidSnapshot, s.Index, previous)
	}
	keepAfter := s.Index
	for _, p := range c.leaderState.followers {
		if p.respondedWithin(c.cfg.ElectionTimeoutMax, c.now) {
			keepAfter = min(keepAfter, max(p.matchIndex, previous))
		}
	}
	c.snapshot = &s
	c.persistence.durable = max(c.persistence.durable, s.Index)
	c.log.compactTo(keepAfter)
	c.history = c.history.compactTo(c.log.baseIndex)
	return nil
}

func (c *Core) snapshotIndex() uint64 {
	if c.snapshot == nil {
		return 0
	}
	return c.snapshot.Index
}

// sendSnapshotIfDue sends the latest snapshot, and resends it after a timeout.
func (c *Core) sendSnapshotIfDue(p *progress) {
	if c.snapshot == nil || p.state == ProgressSnapshot && c.now.Before(p.snapshotDue) {
		return
	}
	p.state = ProgressSnapshot
	p.clearInflight()
	p.snapshotDue = c.now.Add(snapshotRetryTimeouts * c.cfg.ElectionTimeoutMax)
	p.heartbeatDue = c.now.Add(c.cfg.HeartbeatInterval)
	c.send(Message{
		Type: MessageSnapshot, To: p.id, Term: c.hardState.Term, Snapshot: c.snapshot,
		Context: c.leaderState.readRound, SentNanos: c.nanosSinceStart(),
	})
}

// handleSnapshot installs a snapshot from the leader unless this replica has already committed its
// entries: a snapshot never replaces newer entries.
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
		c.installSnapshot(s)
	}
	c.sendAfterSync(Message{
		Type: MessageSnapshotResponse, To: m.From, Term: c.hardState.Term,
		LogIndex: c.commit, Context: m.Context, SentNanos: m.SentNanos,
	})
}

// installSnapshot replaces the log with a snapshot. The snapshot covers committed entries that were
// not yet returned in Effects.Committed.
func (c *Core) installSnapshot(s *Snapshot) {
	c.log.reset(s.Index, s.Term)
	c.history = membershipHistory{{index: s.Index, membership: s.Membership.normalized()}}
	c.snapshot = s
	c.commit, c.applied = s.Index, s.Index
	// The previous entries are gone; the base becomes durable with the batch that contains this
	// snapshot.
	c.persistence.submitted = s.Index
	c.persistence.durable = 0
	c.out.snapshot = s
}

func (c *Core) handleSnapshotResponse(m Message) {
	p := c.recordResponse(m)
	if p == nil {
		return
	}
	c.handleAcknowledgement(p, m.LogIndex)
	p.snapshotDue = c.now // if a newer snapshot is needed, send it immediately
	c.advanceCommit()
	c.completeReads()
}
