// Package logbench measures core/replog on a virtual clock: commits per second, commit delay, and
// the time from the loss of a leader to the next commit. The figures depend on the delays set in
// this package and not on the machine.
package logbench
