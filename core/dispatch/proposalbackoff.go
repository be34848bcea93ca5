package dispatch

import "time"

// Delays of proposals after one was rejected. The replica rejects proposals while too many of them wait. Each
// rejected one is made again, and without a delay they would take the processor time that the replica needs
// for those that wait.
const (
	minProposalBackoff = 50 * time.Millisecond
	maxProposalBackoff = time.Second
)

// backOffProposals delays further proposals after one has failed. Proposals that fail during the delay were
// made before and do not extend it.
func (c *Core) backOffProposals() {
	if c.proposalsDelayed() {
		return
	}
	c.proposalBackoff = min(max(2*c.proposalBackoff, minProposalBackoff), maxProposalBackoff)
	c.nextProposalAt = c.now.Add(c.proposalBackoff)
}

// proposalsDelayed reports whether no proposal may be made now.
func (c *Core) proposalsDelayed() bool { return c.now.Before(c.nextProposalAt) }
