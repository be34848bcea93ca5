package replog

// Check names an invariant of the replicated log. Messages that contradict an invariant are ignored
// and counted; in a correct group all counts stay 0.
type Check string

// Invariants of the replicated log (docs/design.md, section 9).
const (
	CheckElectionSafety     Check = "election-safety"     // at most one leader per term
	CheckLogMatching        Check = "log-matching"        // logs with the same entry (index and term) are identical up to it
	CheckLeaderCompleteness Check = "leader-completeness" // a leader has every entry committed in earlier terms
	CheckCommitMonotonic    Check = "commit-monotonic"    // the commit index never decreases or exceeds the last index
)

func (c *Core) recordViolation(check Check) { c.violations[check]++ }

// Violations returns the number of violations of each invariant.
func (c *Core) Violations() map[Check]int {
	counts := make(map[Check]int, len(c.violations))
	for check, count := range c.violations {
		counts[check] = count
	}
	return counts
}
