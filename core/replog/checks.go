package replog

// Invariant names an invariant of the replicated log. Messages that contradict an invariant are
// ignored and counted; in a correct group all counts stay 0.
type Invariant string

// Invariants of the replicated log (docs/design.md, section 9).
const (
	InvariantElectionSafety     Invariant = "election-safety"     // at most one leader per term
	InvariantLogMatching        Invariant = "log-matching"        // logs with the same entry (index and term) are identical up to it
	InvariantLeaderCompleteness Invariant = "leader-completeness" // a leader has every entry committed in earlier terms
	InvariantCommitMonotonic    Invariant = "commit-monotonic"    // the commit index never decreases or exceeds the last index
)

func (c *Core) recordViolation(check Invariant) { c.violations[check]++ }

// Violations returns the number of violations of each invariant.
func (c *Core) Violations() map[Invariant]int {
	counts := make(map[Invariant]int, len(c.violations))
	for check, count := range c.violations {
		counts[check] = count
	}
	return counts
}
