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
	lastIndex uint64 // last log index at that time, and its term
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
// batch and all earlier ones.
func (c *Core) Effects() Effects {
	c.replicate()
	e := Effects{Snapshot: c.out.snapshot, Reads: c.out.reads}
	e.Entries = c.log.slice(c.persistence.submitted+1, c.log.lastIndex())
	if c.hardState != c.persistence.submittedHardState {
		hard := c.hardState
		e.HardState = &hard
	}
	if e.HardState != nil || e.Snapshot != nil || len(e.Entries) > 0 {
		c.submitBatch()
	}
	e.Mark = c.persistence.lastMark
	e.Messages, e.AfterSync = c.out.messages, c.out.afterSync
	if len(c.persistence.pendingBatches) == 0 {
		// No write is pending, so everything that these messages depend on is durable already.
		e.Messages, e.AfterSync = append(e.Messages, e.AfterSync...), nil
	}
	e.Committed = c.log.slice(c.applied+1, c.commit)
	c.applied = c.commit
	e.Deadline = c.deadline()
	c.out = outbox{}
	return e
}

func (c *Core) submitBatch() {
	c.persistence.lastMark++
	c.persistence.submitted = c.log.lastIndex()
	c.persistence.submittedHardState = c.hardState
	c.persistence.pendingBatches = append(c.persistence.pendingBatches, writeBatch{
		mark: c.persistence.lastMark, lastIndex: c.log.lastIndex(), lastTerm: c.log.lastTerm(), hardState: c.hardState,
	})
}

func (c *Core) deadline() time.Time {
	if c.role == RoleLeader {
		return c.leaderDeadline()
	}
	return c.electionDeadline
}
