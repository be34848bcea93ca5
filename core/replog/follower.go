package replog

// acceptLeader records a message from the leader of the current term. It returns false if the
// message violates election safety.
func (c *Core) acceptLeader(m Message) bool {
	if c.role == RoleLeader || c.leader != 0 && c.leader != m.From {
		c.recordViolation(InvariantElectionSafety)
		return false
	}
	if c.role != RoleFollower {
		c.becomeFollower(c.hardState.Term, m.From)
	}
	c.leader = m.From
	c.lastLeaderContact = c.now
	c.resetElectionTimer()
	return true
}

// handleAppend appends the leader's entries. A positive response states that this log is durable
// and identical to the leader's log up to Message.LogIndex.
func (c *Core) handleAppend(m Message) {
	response := Message{
		Type: MessageAppendResponse, To: m.From, Term: c.hardState.Term,
		Context: m.Context, SentNanos: m.SentNanos,
	}
	switch {
	case m.LogIndex < c.commit:
		// Committed entries are the same on all replicas.
		response.LogIndex = c.commit
	case c.awaitsMissing(m):
		response.LogIndex = c.early.verified
	case !c.log.matches(m.LogIndex, m.LogTerm):
		response.Reject = true
		response.LogIndex = m.LogIndex
		response.Hint = c.log.lastIndexWithTermAtMost(m.LogIndex, m.LogTerm)
		response.LogTerm, _ = c.log.term(response.Hint)
	default:
		if !c.mergeEntries(m.LogIndex, m.Entries) {
			return
		}
		matching := m.LogIndex + uint64(len(m.Entries))
		c.commitTo(min(m.Commit, matching))
		var ok bool
		if response.LogIndex, ok = c.recordMatch(matching); !ok {
			return
		}
	}
	c.sendAfterSync(response)
}

// mergeEntries appends entries that follow index previous. Entries that the log already has are
// kept, so that a delayed or duplicated message does not truncate the log. It returns false if the
// entries violate an invariant.
func (c *Core) mergeEntries(previous uint64, entries []Entry) bool {
	for i, e := range entries {
		if e.Index != previous+uint64(i)+1 || e.Term > c.hardState.Term {
			c.recordViolation(InvariantLogMatching)
			return false
		}
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.lastIndex() && !c.truncateFrom(e.Index) {
			return false
		}
		return c.appendEntries(entries[i:])
	}
	return true
}

// truncateFrom drops uncommitted entries that conflict with the leader's entries. It returns false
// if a committed entry would be dropped.
func (c *Core) truncateFrom(index uint64) bool {
	if index <= c.commit {
		c.recordViolation(InvariantLeaderCompleteness)
		return false
	}
	c.log.truncateFrom(index)
	c.history = c.history.truncateFrom(index)
	c.persistence.truncate(index - 1)
	return true
}

// appendEntries adds entries at the end of the log. A membership takes effect when its entry is
// appended, before it is committed.
func (c *Core) appendEntries(entries []Entry) bool {
	for _, e := range entries {
		if e.Kind != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			c.recordViolation(InvariantLogMatching)
			return false
		}
		c.history = append(c.history, membershipRecord{e.Index, m})
	}
	c.log.append(entries...)
	return true
}

// commitTo raises the commit index to index.
func (c *Core) commitTo(index uint64) {
	if index > c.log.lastIndex() {
		c.recordViolation(InvariantCommitMonotonic)
		return
	}
	c.commit = max(c.commit, index)
}
