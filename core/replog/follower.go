package replog

// acceptLeader records a message from the leader of the current term. It returns false if the
// message violates election safety.
func (c *Core) acceptLeader(m Message) bool {
	if c.role == RoleLeader || c.leader != 0 && c.leader != m.From {
		c.violated(CheckElectionSafety)
		return false
	}
	if c.role != RoleFollower {
		c.becomeFollower(c.hard.Term, m.From)
	}
	c.leader = m.From
	c.heardAt = c.now
	c.resetElectionTimer()
	return true
}

// handleAppend appends the leader's entries. A positive response states that this log is durable
// and identical to the leader's log up to Message.LogIndex.
func (c *Core) handleAppend(m Message) {
	answer := Message{
		Type: MessageAppendAnswer, To: m.From, Term: c.hard.Term,
		Context: m.Context, SentNanos: m.SentNanos,
	}
	switch {
	case m.LogIndex < c.commit:
		// Committed entries are the same on all replicas.
		answer.LogIndex = c.commit
	case !c.log.matches(m.LogIndex, m.LogTerm):
		answer.Reject = true
		answer.LogIndex = m.LogIndex
		answer.Hint = c.log.lastNotAfterTerm(m.LogIndex, m.LogTerm)
		answer.LogTerm, _ = c.log.term(answer.Hint)
	default:
		if !c.mergeEntries(m.LogIndex, m.Entries) {
			return
		}
		answer.LogIndex = m.LogIndex + uint64(len(m.Entries))
		c.commitTo(min(m.Commit, answer.LogIndex))
	}
	c.sendAfterSync(answer)
}

// mergeEntries appends entries that follow index previous. Entries that the log already has are
// kept, so that a delayed or duplicated message does not truncate the log. It returns false if the
// entries violate an invariant.
func (c *Core) mergeEntries(previous uint64, entries []Entry) bool {
	for i, e := range entries {
		if e.Index != previous+uint64(i)+1 || e.Term > c.hard.Term {
			c.violated(CheckLogMatching)
			return false
		}
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() && !c.truncateFrom(e.Index) {
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
		c.violated(CheckLeaderCompleteness)
		return false
	}
	c.log.truncateFrom(index)
	c.history = c.history.truncateFrom(index)
	c.disk.truncated(index - 1)
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
			c.violated(CheckLogMatching)
			return false
		}
		c.history = append(c.history, membershipRecord{e.Index, m})
	}
	c.log.append(entries...)
	return true
}

// commitTo raises the commit index to index.
func (c *Core) commitTo(index uint64) {
	if index > c.log.last() {
		c.violated(CheckCommitMonotonic)
		return
	}
	c.commit = max(c.commit, index)
}
