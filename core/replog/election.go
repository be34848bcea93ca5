package replog

import "time"

// transferFlag in Message.Context marks the vote request of a replica that the
// leader itself asked to take over. It overrides the stickiness of followers.
const transferFlag = 1

func (c *Core) resetElectionTimer() {
	spread := c.cfg.ElectionTimeoutMax - c.cfg.ElectionTimeoutMin
	c.electionDeadline = c.now.Add(c.cfg.ElectionTimeoutMin + time.Duration(c.rng.Int64N(int64(spread))))
}

// mayCampaign reports whether this replica may ask for votes: it is a voter of
// the membership in force, or of the committed one. The second case lets a
// replica finish its own uncommitted removal where no other one can.
func (c *Core) mayCampaign() bool {
	if !c.mayVote() {
		return false
	}
	return c.membership().IsVoter(c.id) || c.history.at(c.commit).IsVoter(c.id)
}

// mayVote reports whether this replica may give votes. It does not depend on
// the membership that this replica knows, which may be outdated.
func (c *Core) mayVote() bool { return c.founder || c.log.last() > 0 }

// refusesVotes reports whether a leader is known to be alive. A leader's lease
// rests on this refusal: every follower that answered a heartbeat refuses
// votes for ElectionTimeoutMin after it received it.
func (c *Core) refusesVotes(m Message) bool {
	if m.Type == MessageVote && m.Context == transferFlag {
		return false
	}
	return c.role == RoleLeader || c.now.Sub(c.heardAt) < c.cfg.ElectionTimeoutMin
}

// upToDate reports whether a candidate's log is at least as complete as this
// one: only such a candidate can have every committed entry.
func (c *Core) upToDate(m Message) bool {
	own := c.log.lastTerm()
	return m.LogTerm > own || m.LogTerm == own && m.LogIndex >= c.log.last()
}

// startPreVote asks whether an election could succeed, without a change of
// term. A replica that was cut off thus cannot depose a leader on its return.
func (c *Core) startPreVote() {
	c.role = RolePreCandidate
	c.leader = 0
	c.grants = map[ReplicaID]bool{c.id: true}
	c.requestVotes(MessagePreVote, c.hard.Term+1, 0)
	c.countGrants()
}

// startElection votes for itself in a new term. The own vote counts once it is
// durable (ownVoteDurable), and the requests leave after the sync.
func (c *Core) startElection(flag uint64) {
	c.hard = HardState{Term: c.hard.Term + 1, Vote: c.id}
	c.role = RoleCandidate
	c.leader = 0
	c.grants = map[ReplicaID]bool{}
	c.resetElectionTimer()
	c.requestVotes(MessageVote, c.hard.Term, flag)
}

func (c *Core) requestVotes(kind MessageType, term, flag uint64) {
	for _, to := range c.membership().Voters {
		if to == c.id {
			continue
		}
		request := Message{
			Type: kind, To: to, Term: term, Context: flag,
			LogIndex: c.log.last(), LogTerm: c.log.lastTerm(),
		}
		if kind == MessagePreVote {
			c.send(request)
		} else {
			c.sendAfterSync(request)
		}
	}
}

func (c *Core) countGrants() {
	granted := 0
	for _, id := range c.membership().Voters {
		if c.grants[id] {
			granted++
		}
	}
	if granted < c.membership().Quorum() {
		return
	}
	switch c.role {
	case RolePreCandidate:
		c.startElection(0)
	case RoleCandidate:
		c.becomeLeader()
	}
}

// ownVoteDurable counts the candidate's vote for itself.
func (c *Core) ownVoteDurable() {
	if c.role == RoleCandidate && !c.grants[c.id] {
		c.grants[c.id] = true
		c.countGrants()
	}
}

// stepPreVote handles both messages of a pre-vote. A request carries the term
// that its sender would move to, as does a grant; a refusal carries the term
// of the replica that refuses.
func (c *Core) stepPreVote(m Message) {
	if m.Type == MessagePreVoteAnswer {
		c.handlePreVoteAnswer(m)
		return
	}
	granted := m.Term > c.hard.Term && c.mayVote() && c.upToDate(m) && !c.refusesVotes(m)
	answer := Message{Type: MessagePreVoteAnswer, To: m.From, Term: m.Term}
	if !granted {
		answer.Term, answer.Reject = c.hard.Term, true
	}
	if answer.Term > 0 {
		c.send(answer)
	}
}

func (c *Core) handlePreVoteAnswer(m Message) {
	if m.Reject {
		if m.Term > c.hard.Term {
			c.becomeFollower(m.Term, 0)
		}
		return
	}
	if c.role == RolePreCandidate && m.Term == c.hard.Term+1 {
		c.grants[m.From] = true
		c.countGrants()
	}
}

// handleVote gives at most one vote a term, and only to a candidate whose log
// is at least as complete. The answer leaves once the vote is durable.
func (c *Core) handleVote(m Message) {
	free := c.hard.Vote == 0 || c.hard.Vote == m.From
	granted := free && c.mayVote() && c.upToDate(m) && !c.refusesVotes(m)
	if granted {
		c.hard.Vote = m.From
		c.resetElectionTimer()
	}
	c.sendAfterSync(Message{Type: MessageVoteAnswer, To: m.From, Term: c.hard.Term, Reject: !granted})
}

func (c *Core) handleVoteAnswer(m Message) {
	if c.role != RoleCandidate || m.Reject {
		return
	}
	c.grants[m.From] = true
	c.countGrants()
}

// handleTimeoutNow starts an election at once because the leader hands over.
func (c *Core) handleTimeoutNow(m Message) {
	if c.role == RoleLeader || m.From != c.leader || !c.mayCampaign() {
		return
	}
	c.startElection(transferFlag)
}
