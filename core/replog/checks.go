package replog

// Check names an invariant of the log. A message that contradicts one is
// ignored and counted; in a correct group the counts stay 0.
type Check string

// Checks of the log (docs/design.md, section 9).
const (
	CheckElectionSafety     Check = "election-safety"     // at most one leader a term
	CheckLogMatching        Check = "log-matching"        // same index and term, same prefix
	CheckLeaderCompleteness Check = "leader-completeness" // a leader has every committed entry
	CheckCommitMonotonic    Check = "commit-monotonic"    // the commit index never decreases or leaves the log
)

func (c *Core) violated(check Check) { c.fault[check]++ }

// Violations returns how often each check failed.
func (c *Core) Violations() map[Check]int {
	counts := make(map[Check]int, len(c.fault))
	for check, count := range c.fault {
		counts[check] = count
	}
	return counts
}
