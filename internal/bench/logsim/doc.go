// Package logsim runs replicas of core/replog on a virtual clock, with a
// network and disks whose delays the caller decides. Runs are single-threaded
// and repeatable. The benchmark of the log uses it without faults; the
// randomised runs of core/replog add faults through its options.
package logsim
