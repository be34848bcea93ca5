package replog

import "time"

// View is the state that the randomised runs inspect after each step.
type View struct {
	Leader             bool
	Term               uint64
	Base, Commit, Last uint64
}

// View returns the current state.
func (c *Core) View() View {
	return View{c.role == RoleLeader, c.hardState.Term, c.log.baseIndex, c.commit, c.log.lastIndex()}
}

// HoldsLeaseAt reports whether the core considers its leader lease valid at now.
func (c *Core) HoldsLeaseAt(now time.Time) bool { return now.Before(c.leaseEnd()) }

// TermAt returns the term at an index between the base and the last index.
func (c *Core) TermAt(index uint64) uint64 {
	term, _ := c.log.term(index)
	return term
}

// EntryAt returns the entry at an index after the base.
func (c *Core) EntryAt(index uint64) Entry { return c.log.entries[index-c.log.baseIndex-1] }
