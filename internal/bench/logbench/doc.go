// Package logbench measures core/replog on a virtual clock: commits per second
// and commit delay, and the time from the death of a leader to the next
// commit. The figures depend on the delays that are set here and not on the
// machine.
package logbench
