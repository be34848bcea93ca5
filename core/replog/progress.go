package replog

import "time"

// ProgressState is how the leader replicates to a follower.
type ProgressState uint8

// Replication states of a follower.
const (
	// ProgressProbe searches for the last entry that both logs have in common, with one empty
	// append at a time.
	ProgressProbe ProgressState = iota + 1
	// ProgressReplicate sends appends without waiting for the response to the previous one.
	ProgressReplicate
	// ProgressSnapshot waits for the response to a snapshot.
	ProgressSnapshot
)

// progress is the leader's view of another replica.
type progress struct {
	id ReplicaID
	// match is the last index known to be durable on the replica and identical to the leader's log.
	// It never decreases within a term.
	match uint64
	next  uint64 // next index to send; always above match
	state ProgressState
	// inflight holds the last index of each unacknowledged append, oldest first.
	inflight []uint64

	heartbeatDue time.Time
	snapshotDue  time.Time // when to resend the snapshot
	answeredAt   time.Time // arrival of the last response; zero before the first one
	leasedFrom   time.Time // sending time of the latest message that it responded to
	round        uint64    // last read round that it responded to
}

// confirm records that the replica's log matches the leader's log up to index.
func (p *progress) confirm(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// probeFrom switches to searching for the last common entry, starting before next.
func (p *progress) probeFrom(next uint64, now time.Time) {
	p.state = ProgressProbe
	p.next = max(next, p.match+1)
	p.inflight = nil
	p.heartbeatDue = now
}

// replicateFrom switches to sending entries from next on without waiting for responses.
func (p *progress) replicateFrom(next uint64) {
	p.state = ProgressReplicate
	p.next = next
	p.inflight = nil
}

// answeredWithin reports whether a response arrived within the period before now.
func (p *progress) answeredWithin(period time.Duration, now time.Time) bool {
	return !p.answeredAt.IsZero() && now.Sub(p.answeredAt) < period
}
