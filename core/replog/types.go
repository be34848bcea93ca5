package replog

import "time"

// ReplicaID identifies a replica. An id is never reused, also after a replica
// has lost its disk. 0 is no replica.
type ReplicaID uint64

// EntryKind says what an entry carries.
type EntryKind uint32

// Kinds of entries.
const (
	EntryCommand    EntryKind = 1 // opaque to the log
	EntryMembership EntryKind = 2 // an encoded Membership
	EntryNoop       EntryKind = 3 // first entry of a term
)

// Entry is one entry of the log. Indexes start at 1.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote ReplicaID // 0 where no vote was given in Term
}

// Membership is the set of replicas as of an entry of the log.
type Membership struct {
	Voters   []ReplicaID
	Learners []ReplicaID
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte // encoded state, opaque to the log
}

// MessageType says what a message is for.
type MessageType uint32

// Types of messages.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteAnswer
	MessageVote
	MessageVoteAnswer
	MessageAppend // also the heartbeat, where it has no entries
	MessageAppendAnswer
	MessageSnapshot
	MessageSnapshotAnswer
	MessageTimeoutNow // leadership transfer: start an election at once
)

// Message is sent between replicas. Fields not used by a type are zero.
type Message struct {
	Type     MessageType
	From     ReplicaID
	To       ReplicaID
	Term     uint64
	LogTerm  uint64 // term of the entry at LogIndex
	LogIndex uint64 // entry before Entries, or last entry of a candidate, or the index that an answer confirms
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64 // on a rejected append: last index that may match
	Context  uint64 // read barrier round, or transfer flag of a vote
	Snapshot *Snapshot
	// SentNanos is the leader's own time of sending, returned by the answer.
	// It is compared only with the clock that it came from.
	SentNanos int64
}

// Role is the part that a replica plays in its term.
type Role uint8

// Roles.
const (
	RoleFollower Role = iota + 1
	RolePreCandidate
	RoleCandidate
	RoleLeader
	RoleLearner
)

// Effects is a batch of what the owner must do, in the order of doc.go.
type Effects struct {
	Messages  []Message  // send at once; a leader's appends go out while it syncs
	HardState *HardState // persist where not nil
	Snapshot  *Snapshot  // persist and install where not nil; replaces the log
	Entries   []Entry    // persist; they replace entries of the same index and after
	Mark      uint64     // pass to Persisted once all of the above is synced
	AfterSync []Message  // send after the sync
	Committed []Entry    // apply in order
	Reads     []Read     // finished read barriers
	Deadline  time.Time  // call Tick then at the latest
}

// Empty reports whether there is nothing to do besides waiting.
func (e Effects) Empty() bool {
	return len(e.Messages) == 0 && e.HardState == nil && e.Snapshot == nil &&
		len(e.Entries) == 0 && len(e.AfterSync) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0
}

// Read is a finished read barrier: a read is current once the state has
// applied Index. Aborted is set where leadership was lost first.
type Read struct {
	ID      uint64
	Index   uint64
	Aborted bool
}

// Config is the start state of a replica.
type Config struct {
	ID                 ReplicaID
	Membership         Membership    // initial, or of the snapshot
	ElectionTimeoutMin time.Duration // followers refuse votes for so long after a leader's message
	ElectionTimeoutMax time.Duration // time-outs are drawn between min and max
	HeartbeatInterval  time.Duration
	MaxDriftPPM        int64 // bound on the rate error of any replica's clock
	MaxBatchBytes      int   // entries in one append message
	MaxInflight        int   // append messages on the way to one follower
	MaxPending         int   // proposals not yet committed; above it Propose refuses
	Seed               uint64

	HardState HardState
	Snapshot  *Snapshot // last one on disk, or nil
	Entries   []Entry   // log on disk after the snapshot
}
