package replog

import "time"

// durability tracks which state was passed to the owner to be persisted and which state is synced.
type durability struct {
	handed  uint64       // last log index returned in Effects.Entries
	stable  uint64       // last log index known to be durable
	hard    HardState    // last hard state returned in Effects
	synced  HardState    // last hard state known to be durable
	mark    uint64       // last mark returned in Effects
	pending []writeBatch // not yet synced, oldest first
}

// writeBatch describes the state that one call of Effects returned to be persisted.
type writeBatch struct {
	mark     uint64
	last     uint64 // last log index at that time, and its term
	lastTerm uint64
	hard     HardState
}

func (d *durability) loaded(last uint64, hard HardState) {
	d.handed, d.stable = last, last
	d.hard, d.synced = hard, hard
}

// truncated lowers the indexes after the entries above last were dropped.
func (d *durability) truncated(last uint64) {
	d.handed = min(d.handed, last)
	d.stable = min(d.stable, last)
}

// Persisted reports that all batches up to and including the one with this mark are synced.
func (c *Core) Persisted(now time.Time, mark uint64) {
	c.advance(now)
	for len(c.disk.pending) > 0 && c.disk.pending[0].mark <= mark {
		batch := c.disk.pending[0]
		c.disk.pending = c.disk.pending[1:]
		c.disk.synced = batch.hard
		// If the log still has the last entry of the batch, it also has all earlier entries as they
		// were written. Otherwise they were replaced, and a later batch contains the replacements.
		if c.log.matches(batch.last, batch.lastTerm) {
			c.disk.stable = max(c.disk.stable, batch.last)
		}
	}
	if c.disk.synced == c.hard && c.hard.Vote == c.id {
		c.ownVoteDurable()
	}
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// Effects returns the pending effects and clears them. The owner must persist batches in the order
// in which they were returned. The AfterSync messages of a batch must wait for the sync of this
// batch and all earlier ones.
func (c *Core) Effects() Effects {
	c.flush()
	e := Effects{Snapshot: c.out.install, Reads: c.out.reads}
	e.Entries = c.log.slice(c.disk.handed+1, c.log.last())
	if c.hard != c.disk.hard {
		hard := c.hard
		e.HardState = &hard
	}
	if e.HardState != nil || e.Snapshot != nil || len(e.Entries) > 0 {
		c.handOut()
	}
	e.Mark = c.disk.mark
	e.Messages, e.AfterSync = c.out.messages, c.out.afterSync
	if len(c.disk.pending) == 0 {
		// No write is pending, so everything that these messages depend on is durable already.
		e.Messages, e.AfterSync = append(e.Messages, e.AfterSync...), nil
	}
	e.Committed = c.log.slice(c.emitted+1, c.commit)
	c.emitted = c.commit
	e.Deadline = c.deadline()
	c.out = outbox{}
	return e
}

func (c *Core) handOut() {
	c.disk.mark++
	c.disk.handed = c.log.last()
	c.disk.hard = c.hard
	c.disk.pending = append(c.disk.pending, writeBatch{
		mark: c.disk.mark, last: c.log.last(), lastTerm: c.log.lastTerm(), hard: c.hard,
	})
}

func (c *Core) deadline() time.Time {
	if c.role == RoleLeader {
		return c.leaderDeadline()
	}
	return c.electionDeadline
}
