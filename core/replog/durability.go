package replog

import "time"

// durability tracks what the owner was told to persist and what it has synced.
type durability struct {
	handed  uint64    // last log index handed out in Effects.Entries
	stable  uint64    // last log index known to be durable
	hard    HardState // last one handed out
	synced  HardState // last one known to be durable
	mark    uint64    // last mark handed out
	pending []writeBatch
}

// writeBatch is what one Effects asked to persist.
type writeBatch struct {
	mark     uint64
	last     uint64 // last index of the log and its term at that time
	lastTerm uint64
	hard     HardState
}

func (d *durability) loaded(last uint64, hard HardState) {
	d.handed, d.stable = last, last
	d.hard, d.synced = hard, hard
}

// truncated limits the indexes after entries above last were dropped.
func (d *durability) truncated(last uint64) {
	d.handed = min(d.handed, last)
	d.stable = min(d.stable, last)
}

// Persisted says that everything up to the batch of this mark is synced.
func (c *Core) Persisted(now time.Time, mark uint64) {
	c.advance(now)
	for len(c.disk.pending) > 0 && c.disk.pending[0].mark <= mark {
		batch := c.disk.pending[0]
		c.disk.pending = c.disk.pending[1:]
		c.disk.synced = batch.hard
		// Where the log still has the batch's last entry, it also has all
		// entries before it as they were written. Otherwise they were
		// replaced, and a later batch covers the replacement.
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

// Effects returns what the owner must do and forgets it. Batches are to be
// persisted in the order in which they were returned; AfterSync of a batch
// waits for all batches up to it.
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
		// Everything promised is durable already.
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
