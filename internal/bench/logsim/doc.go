// Package logsim simulates replicas of core/replog on a virtual clock, with a network and disks
// whose delays the caller sets. Runs are single-threaded and reproducible. The benchmark of the log
// uses it without faults; the randomised tests of core/replog inject faults through its options.
package logsim
