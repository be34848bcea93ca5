package replog

import "time"

// persistenceState tracks which state was passed to the owner to be persisted and which state is
// synced.
type persistenceState struct {
	submitted          uint64       // last log index returned in Effects.Entries
	durable            uint64       // last log index known to be durable
	submittedHardState HardState    // last hard state returned in Effects
	durableHardState   HardState    // last hard state known to be durable
	lastMark           uint64       // last mark returned in Effects
	pendingBatches     []writeBatch // not yet synced, oldest first
}

// writeBatch describes the state that one call of Effects returned to be persisted.
type writeBatch struct {
	mark      uint64
	lastIndex uint64 // last log index that is stored once it is synced, and its term
	lastTerm  uint64
	hardState HardState
}

func (p *persistenceState) initialize(last uint64, hard HardState) {
	p.submitted, p.durable = last, last
	p.submittedHardState, p.durableHardState = hard, hard
}

// truncate lowers the indexes after the entries above last were dropped.
func (p *persistenceState) truncate(last uint64) {
	p.submitted = min(p.submitted, last)
	p.durable = min(p.durable, last)
}

// Persisted reports that all batches up to and including the one with this mark are synced.
func (c *Core) Persisted(now time.Time, mark uint64) {
	c.advance(now)
	for len(c.persistence.pendingBatches) > 0 && c.persistence.pendingBatches[0].mark <= mark {
		batch := c.persistence.pendingBatches[0]
		c.persistence.pendingBatches = c.persistence.pendingBatches[1:]
		c.persistence.durableHardState = batch.hardState
		// If the log still has the last entry of the batch, it also has all earlier entries as they
		// were written. Otherwise they were replaced, and a later batch contains the replacements.
		if c.log.matches(batch.lastIndex, batch.lastTerm) {
			c.persistence.durable = max(c.persistence.durable, batch.lastIndex)
		}
	}
	if c.persistence.durableHardState == c.hardState && c.hardState.Vote == c.id {
		c.countOwnVote()
	}
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// Effects returns the pending effects and clears them. The owner must persist batches in the order
// in which they were returned. The AfterSync messages of a batch must wait for the sync of this
// batch and all earlier ones. A batch has about Config.MaxBatchBytes of entries; the next call
// returns more, and what depends on them. The owner can then store a part of what does not fit as a
// whole. No entry is returned as committed before it is returned to be persisted.
func (c *Core) Effects() Effects {
	c.replicate()
	e := Effects{Snapshot: c.out.snapshot}
	e.Entries = c.log.batch(c.persistence.submitted+1, c.cfg.MaxBatchBytes)
	if c.hardState != c.persistence.submittedHardState {
		hard := c.hardState
		e.HardState = &hard
	}
	if e.HardState != nil || e.Snapshot != nil || len(e.Entries) > 0 {
		c.submitBatch(c.persistence.submitted + uint64(len(e.Entries)))
	}
	e.Mark = c.persistence.lastMark
	e.Messages = c.out.messages
	next := outbox{}
	if c.persistence.submitted < c.log.lastIndex() {
		next.afterSync, next.reads = c.out.afterSync, c.out.reads
	} else {
		e.AfterSync, e.Reads = c.out.afterSync, c.out.reads
	}
	c.out = next
	if len(c.persistence.pendingBatches) == 0 {
		// No write is pending, so everything that these messages depend on is durable already.
		e.Messages, e.AfterSync = append(e.Messages, e.AfterSync...), nil
	}
	e.Committed = c.log.slice(c.applied+1, min(c.commit, c.persistence.submitted))
	c.applied += uint64(len(e.Committed))
	e.Deadline = c.deadline()
	return e
}

// submitBatch records a batch with the entries up to last.
func (c *Core) submitBatch(last uint64) {
	term, _ := c.log.term(last)
	c.persistence.lastMark++
	c.persistence.submitted = last
	c.persistence.submittedHardState = c.hardState
	c.persistence.pendingBatches = append(c.persistence.pendingBatches, writeBatch{
		mark: c.persistence.lastMark, lastIndex: last, lastTerm: term, hardState: c.hardState,
	})
}

func (c *Core) deadline() time.Time {
	if c.role == RoleLeader {
		return c.leaderDeadline()
	}
	return c.electionDeadline
}
