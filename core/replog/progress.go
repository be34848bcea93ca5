package replog

import "time"

// ProgressState says how the leader sends to a follower.
type ProgressState uint8

// States of a follower as the leader sees it.
const (
	// ProgressProbe looks for the point where the logs part, with one empty
	// append at a time.
	ProgressProbe ProgressState = iota + 1
	// ProgressReplicate streams entries without waiting for answers.
	ProgressReplicate
	// ProgressSnapshot waits for the answer to a snapshot.
	ProgressSnapshot
)

// progress is what the leader knows of another replica.
type progress struct {
	id ReplicaID
	// match is the last index known to be durable there and equal to the
	// leader's log. It never decreases within a term.
	match uint64
	next  uint64 // next index to send; above match
	state ProgressState
	// inflight holds the last index of each append on the way, oldest first.
	inflight []uint64

	heartbeatDue time.Time
	snapshotDue  time.Time // when to send the snapshot again
	answeredAt   time.Time // arrival of the last answer; zero before the first
	leasedFrom   time.Time // sending time of the latest message that it answered
	round        uint64    // last read round that it answered
}

// confirm takes note that the replica has the leader's log up to index.
func (p *progress) confirm(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// probeFrom falls back to looking for the last common entry.
func (p *progress) probeFrom(next uint64, now time.Time) {
	p.state = ProgressProbe
	p.next = max(next, p.match+1)
	p.inflight = nil
	p.heartbeatDue = now
}

// replicateFrom streams the entries after match.
func (p *progress) replicateFrom(next uint64) {
	p.state = ProgressReplicate
	p.next = next
	p.inflight = nil
}

// answeredWithin reports whether an answer arrived within the period.
func (p *progress) answeredWithin(period time.Duration, now time.Time) bool {
	return !p.answeredAt.IsZero() && now.Sub(p.answeredAt) < period
}
