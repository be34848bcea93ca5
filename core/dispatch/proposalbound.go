package dispatch

import "time"

// Bound of proposals. It is made for a log that commits slowly because many entries wait in it or the
// processes of the group are short of processor time. Each proposal costs a message to every follower, a
// write on every disk and a pass of the leader, whatever it contains. Callers need their work placed and its
// ends counted as soon as the log permits. While commits are late, decisions are therefore collected until
// one of the few proposals in flight is committed, so that proposals are fewer and larger. The bound ends
// with the next commits, at most lateProposalInterval after them.
const (
	// lateCommit is the age of the oldest proposal from which commits count as late. It is several times
	// what a commit across two regions takes.
	lateCommit = minStartDelay
	// maxLateProposals is the number of decisions in flight while commits are late. With one, the log would
	// be idle while the leader prepares the next.
	maxLateProposals = 4
	// lateProposalInterval is the time after which a held back decision is considered again without a
	// commit.
	lateProposalInterval = 50 * time.Millisecond
)

// holdsBackProposals reports whether decisions are collected because commits are late, and delays the next
// plan and the next proposal of ends if so.
func (c *Core) holdsBackProposals() bool {
	if c.oldestProposalAge() < lateCommit || c.decisionsInFlight() < maxLateProposals {
		return false
	}
	if !c.planNeeded && len(c.pendingEnds) == 0 && !c.begunReportsDue() {
		return false
	}
	c.recordBound(BoundProposals, "commits-late")
	if next := c.now.Add(lateProposalInterval); c.nextProposalAt.Before(next) {
		c.nextProposalAt = next
	}
	return true
}

// decisionsInFlight returns the number of proposed placements and ends that are not committed yet. Ends of
// boots do not count, and wait for lateProposalInterval at most.
func (c *Core) decisionsInFlight() int {
	count := 0
	for _, p := range c.proposals {
		if p.command.Decide != nil {
			count++
		}
	}
	return count
}
