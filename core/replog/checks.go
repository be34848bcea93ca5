package replog

// Invariant names an invariant of the replicated log. Messages that contradict an invariant are
// ignored and counted; in a correct group all counts stay 0.
type Invariant string

// Invariants of the replicated log (docs/design.md, section 9).
const (
	InvariantElectionSafety     Invariant = "election-safety"     // at most one leader per term
	InvariantLogMatching        Invariant = "log-matching"        // logs that share an entry have the same prefix
	InvariantLeaderCompleteness Invariant = "leader-completeness" // a leader has all entries of earlier commits
	InvariantCommitMonotonic    Invariant = "commit-monotonic"    // the commit index only grows, within the log
)

func (c *Core) recordViolation(invariant Invariant) { c.violations[invariant]++ }

// Violations returns the number of violations of each invariant.
func (c *Core) Violations() map[Invariant]int {
	counts := make(map[Invariant]int, len(c.violations))
	for invariant, count := range c.violations {
		counts[invariant] = count
	}
	return counts
}
