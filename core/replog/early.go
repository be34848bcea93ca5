package replog

import (
	"cmp"
	"slices"
	"time"
)

// earlyAppends holds appends of the present leader that arrived before the ones that they follow.
// Requests between replicas overtake each other, in particular while processor time is short. Without
// it the leader would search for the last common entry after each of them and send all that follows
// again.
type earlyAppends struct {
	term     uint64
	verified uint64    // last index at which this log is known to match that of the leader of the term
	waiting  []Message // appends with entries, sorted by LogIndex
	bytes    int       // size of the waiting entries
	since    time.Time // since when an append is missing; zero if none is
}

const (
	// reorderHeartbeats is the number of heartbeat intervals for which a missing append is waited for.
	// After that it counts as lost.
	reorderHeartbeats = 4
	// maxEarlyBatches limits the size of the waiting entries, in batches of the largest size.
	maxEarlyBatches = 4
)

// earlyOfTerm returns the early appends of the current term.
func (c *Core) earlyOfTerm() *earlyAppends {
	if c.early.term != c.hardState.Term {
		c.early = earlyAppends{term: c.hardState.Term}
	}
	return &c.early
}

// awaitsMissing handles an append that follows entries which have not arrived. It returns false if they
// count as lost, so that the leader has to send them again.
func (c *Core) awaitsMissing(m Message) bool {
	early := c.earlyOfTerm()
	if early.verified == 0 || m.LogIndex <= c.log.lastIndex() {
		return false
	}
	if early.since.IsZero() {
		early.since = c.now
	}
	size := encodedBytes(m.Entries)
	if c.now.Sub(early.since) > reorderHeartbeats*c.cfg.HeartbeatInterval || early.bytes+size > maxEarlyBatches*c.cfg.MaxBatchBytes {
		early.since = c.now
		return false
	}
	if len(m.Entries) > 0 {
		at, _ := slices.BinarySearchFunc(early.waiting, m.LogIndex, func(waiting Message, index uint64) int {
			return cmp.Compare(waiting.LogIndex, index)
		})
		early.waiting = slices.Insert(early.waiting, at, m)
		early.bytes += size
	}
	return true
}

// recordMatch records that the log matches the leader's log up to index, and appends what waits for
// that. It returns the last index that matches, or false if an invariant is violated.
func (c *Core) recordMatch(index uint64) (uint64, bool) {
	early := c.earlyOfTerm()
	early.verified = max(early.verified, index)
	for len(early.waiting) > 0 && early.waiting[0].LogIndex <= early.verified {
		next := early.waiting[0]
		early.waiting = early.waiting[1:]
		early.bytes -= encodedBytes(next.Entries)
		if next.LogIndex < c.commit {
			continue
		}
		if !c.mergeEntries(next.LogIndex, next.Entries) {
			return 0, false
		}
		early.verified = max(early.verified, next.LogIndex+uint64(len(next.Entries)))
		c.commitTo(max(c.commit, min(next.Commit, early.verified)))
	}
	early.since = time.Time{}
	if len(early.waiting) > 0 {
		early.since = c.now
	}
	return early.verified, true
}
