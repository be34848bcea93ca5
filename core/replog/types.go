package replog

import "time"

// ReplicaID identifies a replica. An id is never reused, not even after a replica has lost its
// disk. 0 is not a valid id.
type ReplicaID uint64

// EntryKind is the type of content of an entry.
type EntryKind uint32

// Entry kinds.
const (
	EntryCommand    EntryKind = 1 // opaque to the log
	EntryMembership EntryKind = 2 // an encoded Membership
	EntryNoop       EntryKind = 3 // first entry of each term
)

// Entry is one entry of the log. Indexes start at 1.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the persistent vote state. It must be durable before any message that depends on it
// is sent.
type HardState struct {
	Term uint64
	Vote ReplicaID // 0 if no vote was granted in Term
}

// Membership is the set of replicas in the group, with the addresses of those whose address is
// recorded. The log does not interpret addresses. It keeps them so that a replica finds its group
// again with nothing but its disk.
type Membership struct {
	Voters    []ReplicaID
	Learners  []ReplicaID
	Addresses []MemberAddress `json:",omitempty"` // by id, at most one for each member
}

// MemberAddress is the address of a member.
type MemberAddress struct {
	ID      ReplicaID
	Address string // 1 to MaxAddressBytes bytes
}

// Snapshot replaces the entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte // encoded state, opaque to the log
}

// MessageType is the type of a message between replicas.
type MessageType uint32

// Message types.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend // a heartbeat if it has no entries
	MessageAppendResponse
	MessageSnapshot
	MessageSnapshotResponse
	MessageTimeoutNow // leadership transfer: the receiver starts an election immediately
)

// Message is sent between replicas. Fields that a type does not use are zero.
type Message struct {
	Type     MessageType
	From     ReplicaID
	To       ReplicaID
	Term     uint64
	LogTerm  uint64 // term of the entry at LogIndex
	LogIndex uint64 // entry before Entries, last entry of a candidate, or acknowledged index of a response
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64 // in a rejected append: last index that may match
	Context  uint64 // read round, or transfer flag of a vote request
	Snapshot *Snapshot
	// SentNanos is the leader's sending time, which the response returns. It is compared only with
	// the clock of the leader that set it.
	SentNanos int64
}

// Role is the role of a replica in the current term.
type Role uint8

// Roles.
const (
	RoleFollower Role = iota + 1
	RolePreCandidate
	RoleCandidate
	RoleLeader
	RoleLearner
)

// Effects is a batch of actions for the owner. The package comment states the order.
type Effects struct {
	Messages  []Message    // send immediately; a leader's appends are sent while it syncs
	HardState *HardState   // persist if not nil
	Snapshot  *Snapshot    // persist and install if not nil; replaces the log
	Entries   []Entry      // persist; they replace existing entries from the first index on
	Mark      uint64       // pass to Persisted once all of the above is synced
	AfterSync []Message    // send after the sync
	Committed []Entry      // apply in order
	Reads     []ReadResult // completed or aborted read barriers
	Deadline  time.Time    // call Tick no later than this
}

// Empty reports whether the batch contains nothing but the deadline.
func (e Effects) Empty() bool {
	return len(e.Messages) == 0 && e.HardState == nil && e.Snapshot == nil &&
		len(e.Entries) == 0 && len(e.AfterSync) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0
}

// ReadResult is the result of a read barrier. A read is linearizable once the state machine has
// applied Index. Aborted is true if the leadership was lost first.
type ReadResult struct {
	ID      uint64
	Index   uint64
	Aborted bool
}

// Config configures a replica and contains its persisted state.
type Config struct {
	ID                 ReplicaID
	Membership         Membership    // initial membership; ignored if there is a snapshot
	ElectionTimeoutMin time.Duration // followers refuse votes for this time after a leader's message
	ElectionTimeoutMax time.Duration // timeouts are chosen at random between minimum and maximum
	HeartbeatInterval  time.Duration
	MaxDriftPPM        int64 // maximum rate error of any replica's clock, parts per million
	MaxBatchBytes      int   // size of the entries in one append message
	MaxInflight        int   // unacknowledged append messages per follower
	MaxPending         int   // maximum number of uncommitted entries, and of waiting read barriers
	Seed               uint64

	HardState HardState
	Snapshot  *Snapshot // latest persisted snapshot, or nil
	Entries   []Entry   // persisted entries after the snapshot
}
