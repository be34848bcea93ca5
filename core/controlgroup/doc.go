// Package controlgroup decides how the leader changes the membership of the control group, one
// replica at a time, until it equals the list in the cell file (docs/design.md, section 2.7).
//
// A listed replica that has announced itself is added as a learner and then promoted to a voter.
// Only after that is an unlisted replica removed, and only while the group has more voters than the
// file lists. A listed replica that never starts therefore prevents the removal of one unlisted
// replica, so a mistake in the file cannot shrink the group below the size that the operator
// specified.
//
// Each step records the addresses of all members in the membership (docs/decisions/member-addresses.md).
//
// Directory holds the addresses of the replicas and decides which ones are forgotten.
package controlgroup
