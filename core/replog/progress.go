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
	inflight   []sentAppend // unacknowledged appends, oldest first
	// window limits the bytes of entries in unacknowledged appends. While it is in use it grows with what
	// is acknowledged. It is halved when appends were lost or refused, so that a replica that is slow, or
	// that this one is slow to reach, gets appends of a size that arrive in time.
	window        int
	inflightBytes int

	heartbeatDue      time.Time
	snapshotDue       time.Time // when to resend the snapshot
	lastResponseAt    time.Time // arrival of the last response; zero before the first one
	lastAckedSendTime time.Time // sending time of the latest message that it responded to
	readRound         uint64    // last read round that it responded to
}

// sentAppend is an append with entries that was not acknowledged yet.
type sentAppend struct {
	lastIndex uint64
	bytes     int
}

// minWindowBytes is the first and the smallest size of the window. It arrives within a request timeout
// on the slowest link, also while the sender or the receiver is short of processor time.
const minWindowBytes = 64 << 10

// acknowledge records that the replica's log matches the leader's log up to index.
func (p *progress) acknowledge(index uint64, maxWindow int) {
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	inUse := 2*p.inflightBytes >= p.window
	for len(p.inflight) > 0 && p.inflight[0].lastIndex <= index {
		if inUse {
			p.window = min(p.window+p.inflight[0].bytes, maxWindow)
		}
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

// sent records an append with entries up to lastIndex.
func (p *progress) sent(lastIndex uint64, bytes int) {
	p.nextIndex = lastIndex + 1
	p.inflight = append(p.inflight, sentAppend{lastIndex, bytes})
	p.inflightBytes += bytes
}

// windowLeft returns how many bytes of entries may be sent now. It is above 0 when none are in flight.
func (p *progress) windowLeft() int { return p.window - p.inflightBytes }

// clearInflight forgets the unacknowledged appends, which were lost or refused.
func (p *progress) clearInflight() {
	p.window = max(p.window/2, minWindowBytes)
	p.inflight, p.inflightBytes = nil, 0
}

// startProbing switches to searching for the last common entry, starting before next.
func (p *progress) startProbing(next uint64, now time.Time) {
	p.state = ProgressProbe
	p.nextIndex = max(next, p.matchIndex+1)
	p.clearInflight()
	p.heartbeatDue = now
}

// startReplicating switches to sending entries from next on without waiting for responses.
func (p *progress) startReplicating(next uint64) {
	p.state = ProgressReplicate
	p.nextIndex = next
}

// respondedWithin reports whether a response arrived within the period before now.
func (p *progress) respondedWithin(period time.Duration, now time.Time) bool {
	return !p.lastResponseAt.IsZero() && now.Sub(p.lastResponseAt) < period
}
