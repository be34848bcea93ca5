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
	// matchIndex is the last index known to be durable on the replica and identical to the leader's
	// log. It never decreases within a term.
	matchIndex uint64
	nextIndex  uint64 // next index to send; always above matchIndex
	state      ProgressState
	// inflight holds the last index of each unacknowledged append, oldest first.
	inflight []uint64

	heartbeatDue      time.Time
	snapshotDue       time.Time // when to resend the snapshot
	lastResponseAt    time.Time // arrival of the last response; zero before the first one
	lastAckedSendTime time.Time // sending time of the latest message that it responded to
	readRound         uint64    // last read round that it responded to
}

// acknowledge records that the replica's log matches the leader's log up to index.
func (p *progress) acknowledge(index uint64) {
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// startProbing switches to searching for the last common entry, starting before next.
func (p *progress) startProbing(next uint64, now time.Time) {
	p.state = ProgressProbe
	p.nextIndex = max(next, p.matchIndex+1)
	p.inflight = nil
	p.heartbeatDue = now
}

// startReplicating switches to sending entries from next on without waiting for responses.
func (p *progress) startReplicating(next uint64) {
	p.state = ProgressReplicate
	p.nextIndex = next
	p.inflight = nil
}

// respondedWithin reports whether a response arrived within the period before now.
func (p *progress) respondedWithin(period time.Duration, now time.Time) bool {
	return !p.lastResponseAt.IsZero() && now.Sub(p.lastResponseAt) < period
}
