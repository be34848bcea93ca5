package replog

import "time"

// transferFlag in Message.Context marks the vote request of a replica that the leader asked to take
// over. Followers may grant such a request even if they have heard from the leader recently.
const transferFlag = 1

func (c *Core) resetElectionTimer() {
	spread := c.cfg.ElectionTimeoutMax - c.cfg.ElectionTimeoutMin
	c.electionDeadline = c.now.Add(c.cfg.ElectionTimeoutMin + time.Duration(c.rng.Int64N(int64(spread))))
}

// canCampaign reports whether this replica may start an election: it is a voter of the current
// membership or of the committed membership. The latter lets a replica commit its own removal if no
// other replica can.
func (c *Core) canCampaign() bool {
	if !c.canVote() {
		return false
	}
	return c.membership().IsVoter(c.id) || c.history.at(c.commit).IsVoter(c.id)
}

// canVote reports whether this replica may grant votes. The membership known to this replica does
// not matter, because it may be outdated.
func (c *Core) canVote() bool { return c.initialVoter || c.log.lastIndex() > 0 }

// refusesVotes reports whether this replica is the leader or has heard from a leader within
// ElectionTimeoutMin, and m is not part of a leadership transfer. The leader lease depends on this:
// every follower that responded to a heartbeat refuses votes for ElectionTimeoutMin after receiving
// it.
func (c *Core) refusesVotes(m Message) bool {
	if m.Type == MessageVote && m.Context == transferFlag {
		return false
	}
	return c.role == RoleLeader || c.now.Sub(c.lastLeaderContact) < c.cfg.ElectionTimeoutMin
}

// isCandidateUpToDate reports whether the candidate's log is at least as up-to-date as this log.
// Only such a candidate can have every committed entry.
func (c *Core) isCandidateUpToDate(m Message) bool {
	own := c.log.lastTerm()
	return m.LogTerm > own || m.LogTerm == own && m.LogIndex >= c.log.lastIndex()
}

// startPreVote asks the voters whether they would grant a vote, without incrementing the term. A
// replica that returns after a partition therefore does not depose the leader.
func (c *Core) startPreVote() {
	c.role = RolePreCandidate
	c.leader = 0
	c.votesReceived = map[ReplicaID]bool{c.id: true}
	c.requestVotes(MessagePreVote, c.hardState.Term+1, 0)
	c.tallyVotes()
}

// startElection starts an election in a new term. The candidate's own vote counts once it is
// durable (countOwnVote), and the vote requests are sent after the sync.
func (c *Core) startElection(flag uint64) {
	c.hardState = HardState{Term: c.hardState.Term + 1, Vote: c.id}
	c.role = RoleCandidate
	c.leader = 0
	c.votesReceived = map[ReplicaID]bool{}
	c.resetElectionTimer()
	c.requestVotes(MessageVote, c.hardState.Term, flag)
}

func (c *Core) requestVotes(kind MessageType, term, flag uint64) {
	for _, to := range c.membership().Voters {
		if to == c.id {
			continue
		}
		request := Message{
			Type: kind, To: to, Term: term, Context: flag,
			LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
		}
		if kind == MessagePreVote {
			c.send(request)
		} else {
			c.sendAfterSync(request)
		}
	}
}

func (c *Core) tallyVotes() {
	granted := 0
	for _, id := range c.membership().Voters {
		if c.votesReceived[id] {
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

// countOwnVote counts the candidate's vote for itself after the sync of that vote.
func (c *Core) countOwnVote() {
	if c.role == RoleCandidate && !c.votesReceived[c.id] {
		c.votesReceived[c.id] = true
		c.tallyVotes()
	}
}

// stepPreVote handles pre-vote requests and responses. A request and a granting response carry the
// term of the intended election; a rejection carries the current term of the replica that rejects.
func (c *Core) stepPreVote(m Message) {
	if m.Type == MessagePreVoteResponse {
		c.handlePreVoteResponse(m)
		return
	}
	granted := m.Term > c.hardState.Term && c.canVote() && c.isCandidateUpToDate(m) && !c.refusesVotes(m)
	response := Message{Type: MessagePreVoteResponse, To: m.From, Term: m.Term}
	if !granted {
		response.Term, response.Reject = c.hardState.Term, true
	}
	if response.Term > 0 {
		c.send(response)
	}
}

func (c *Core) handlePreVoteResponse(m Message) {
	if m.Reject {
		if m.Term > c.hardState.Term {
			c.becomeFollower(m.Term, 0)
		}
		return
	}
	if c.role == RolePreCandidate && m.Term == c.hardState.Term+1 {
		c.votesReceived[m.From] = true
		c.tallyVotes()
	}
}

// handleVote grants at most one vote per term, and only to a candidate whose log is at least as
// up-to-date as this one. The response is sent once the vote is durable.
func (c *Core) handleVote(m Message) {
	free := c.hardState.Vote == 0 || c.hardState.Vote == m.From
	granted := free && c.canVote() && c.isCandidateUpToDate(m) && !c.refusesVotes(m)
	if granted {
		c.hardState.Vote = m.From
		c.resetElectionTimer()
	}
	c.sendAfterSync(Message{Type: MessageVoteResponse, To: m.From, Term: c.hardState.Term, Reject: !granted})
}

func (c *Core) handleVoteResponse(m Message) {
	if c.role != RoleCandidate || m.Reject {
		return
	}
	c.votesReceived[m.From] = true
	c.tallyVotes()
}

// handleTimeoutNow starts an election immediately, because the leader is transferring its
// leadership to this replica.
func (c *Core) handleTimeoutNow(m Message) {
	if c.role == RoleLeader || m.From != c.leader || !c.canCampaign() {
		return
	}
	c.startElection(transferFlag)
}
