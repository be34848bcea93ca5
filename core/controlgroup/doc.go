// Package controlgroup decides how the leader makes the control group equal to
// the list in the cell file, one replica at a time (docs/design.md, section
// 2.7).
//
// A listed replica that has announced itself becomes a learner, then a voter.
// Only after that is a replica removed that is not listed, and only while the
// group has more voters than the file lists ids. A listed replica that never
// starts therefore holds the removal of one other back, so a mistake in the
// file cannot make the group smaller than the operator wants it to be.
package controlgroup
