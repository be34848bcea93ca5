package replog

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Core is one replica of the log. It is not safe for concurrent use: a single goroutine owns it
// and makes all calls.
type Core struct {
	cfg   Config
	id    ReplicaID
	now   time.Time // latest time passed in
	start time.Time // reference time of Message.SentNanos
	rng   *rand.Rand

	hardState HardState // Term never decreases; Vote is set at most once per term
	role      Role      // never RoleLearner, which Status derives from the membership
	leader    ReplicaID // 0 if unknown

	log      entryLog
	history  membershipHistory
	snapshot *Snapshot
	// initialVoter is true if the replica was started as a voter of the initial membership. Only
	// such a replica may vote with an empty log: the empty log of any other replica may have lost
	// entries that the replica had acknowledged.
	initialVoter bool

	// Invariant: applied <= commit <= log.lastIndex(), and commit never decreases.
	commit  uint64
	applied uint64 // last index returned in Effects.Committed or covered by a snapshot

	// lastLeaderContact is when the last message from the current leader arrived. Votes are refused
	// for ElectionTimeoutMin after it. The start of the replica counts as such a message, because a
	// restarted replica does not know whether it acknowledged a heartbeat just before.
	lastLeaderContact time.Time
	early             earlyAppends // as a follower
	electionDeadline  time.Time
	votesReceived     map[ReplicaID]bool // votes received in the current election or pre-election

	leaderState leaderState // valid only while role is RoleLeader
	persistence persistenceState
	out         outbox
	violations  map[Invariant]int
}

// outbox collects the output that the next call of Effects returns.
type outbox struct {
	messages  []Message
	afterSync []Message
	reads     []ReadResult
	snapshot  *Snapshot // received from the leader; to be persisted and installed
}

// New returns a replica that starts as a follower.
func New(cfg Config, now time.Time) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg: cfg, id: cfg.ID, now: now, start: now, lastLeaderContact: now,
		rng:        rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		hardState:  cfg.HardState,
		role:       RoleFollower,
		violations: map[Invariant]int{},
	}
	base := cfg.Membership.normalized()
	c.initialVoter = cfg.Snapshot == nil && base.IsVoter(cfg.ID)
	if s := cfg.Snapshot; s != nil {
		base = s.Membership.normalized()
		c.snapshot = s
		c.log.reset(s.Index, s.Term)
	}
	c.history = membershipHistory{{index: c.log.baseIndex, membership: base}}
	if err := c.loadEntries(cfg.Entries); err != nil {
		return nil, err
	}
	c.commit, c.applied = c.log.baseIndex, c.log.baseIndex
	c.persistence.initialize(c.log.lastIndex(), c.hardState)
	c.resetElectionTimer()
	return c, nil
}

func (c *Core) loadEntries(entries []Entry) error {
	for i, e := range entries {
		if e.Index != c.log.baseIndex+uint64(i)+1 {
			return fmt.Errorf("%w: entry %d at position %d after index %d", ErrInvalidConfig, e.Index, i, c.log.baseIndex)
		}
		if e.Kind != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return fmt.Errorf("%w: entry %d: %w", ErrInvalidConfig, e.Index, err)
		}
		c.history = append(c.history, membershipRecord{e.Index, m})
	}
	c.log.append(entries...)
	if c.log.lastTerm() > c.hardState.Term {
		// The disk has lost a hard state that was synced before these entries, and possibly a vote
		// with it.
		return fmt.Errorf("%w: entry %d of term %d above the hard state's term %d",
			ErrInvalidConfig, c.log.lastIndex(), c.log.lastTerm(), c.hardState.Term)
	}
	return nil
}

func (cfg Config) validate() error {
	checks := []struct {
		ok   bool
		text string
	}{
		{cfg.ID != 0, "replica id must not be 0"},
		{cfg.HeartbeatInterval > 0, "heartbeat interval must be above 0"},
		{cfg.HeartbeatInterval < cfg.ElectionTimeoutMin, "heartbeat interval must be below the election timeout"},
		{cfg.ElectionTimeoutMin < cfg.ElectionTimeoutMax, "minimum election timeout must be below the maximum"},
		{cfg.MaxDriftPPM >= 0 && cfg.MaxDriftPPM < partsPerMillion/4, "drift bound out of range"},
		{cfg.MaxBatchBytes > 0, "batch size must be above 0"},
		{cfg.MaxInflight > 0, "appends in flight must be above 0"},
		{cfg.MaxPending > 0, "pending proposals must be above 0"},
	}
	for _, check := range checks {
		if !check.ok {
			return fmt.Errorf("%w: %s", ErrInvalidConfig, check.text)
		}
	}
	return nil
}

// advance moves the clock of the core to the time of a call. It never moves back.
func (c *Core) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// Tick handles timeouts that are due. The owner calls it no later than Effects.Deadline; earlier
// calls are harmless.
func (c *Core) Tick(now time.Time) {
	c.advance(now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionTimer()
	if c.canCampaign() {
		c.startPreVote()
	}
}

// Step handles a message from another replica. Requests are judged by their term and log even if
// the sender is not in the membership known to this replica, because that membership may be
// outdated. Responses are accepted only from members.
func (c *Core) Step(now time.Time, m Message) {
	c.advance(now)
	if m.To != c.id || m.From == c.id || m.From == 0 || m.Term == 0 {
		return
	}
	if m.Type.isResponse() && !c.membership().Contains(m.From) {
		return
	}
	if m.Type == MessagePreVote || m.Type == MessagePreVoteResponse {
		c.stepPreVote(m)
		return
	}
	if m.Term < c.hardState.Term {
		c.rejectStaleTerm(m)
		return
	}
	if m.Term > c.hardState.Term {
		if m.Type == MessageVote && c.refusesVotes(m) {
			return
		}
		c.becomeFollower(m.Term, 0)
	}
	c.stepCurrentTerm(m)
}

func (t MessageType) isResponse() bool {
	switch t {
	case MessagePreVoteResponse, MessageVoteResponse, MessageAppendResponse, MessageSnapshotResponse:
		return true
	}
	return false
}

func (c *Core) stepCurrentTerm(m Message) {
	switch m.Type {
	case MessageVote:
		c.handleVote(m)
	case MessageVoteResponse:
		c.handleVoteResponse(m)
	case MessageAppend:
		if c.acceptLeader(m) {
			c.handleAppend(m)
		}
	case MessageSnapshot:
		if c.acceptLeader(m) {
			c.handleSnapshot(m)
		}
	case MessageAppendResponse:
		c.handleAppendResponse(m)
	case MessageSnapshotResponse:
		c.handleSnapshotResponse(m)
	case MessageTimeoutNow:
		c.handleTimeoutNow(m)
	}
}

// rejectStaleTerm responds to a message of an earlier term with the current term, so that an
// outdated leader or candidate steps down.
func (c *Core) rejectStaleTerm(m Message) {
	switch m.Type {
	case MessageVote:
		c.sendAfterSync(Message{Type: MessageVoteResponse, To: m.From, Term: c.hardState.Term, Reject: true})
	case MessageAppend, MessageSnapshot:
		c.sendAfterSync(Message{Type: MessageAppendResponse, To: m.From, Term: c.hardState.Term, Reject: true})
	}
}

// membership returns the current membership: the latest one in the log, committed or not.
func (c *Core) membership() Membership { return c.history.latest().membership }

// send queues a message that may be sent before the next sync.
func (c *Core) send(m Message) {
	m.From = c.id
	c.out.messages = append(c.out.messages, m)
}

// sendAfterSync queues a message that depends on a term, a vote or entries that must be durable
// before it is sent.
func (c *Core) sendAfterSync(m Message) {
	m.From = c.id
	c.out.afterSync = append(c.out.afterSync, m)
}

// becomeFollower moves to a later term, or steps down within the current term.
func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	if c.role == RoleLeader {
		c.abortReads()
		c.leaderState = leaderState{}
		c.resetElectionTimer()
	}
	c.role = RoleFollower
	c.leader = leader
	c.votesReceived = nil
}
