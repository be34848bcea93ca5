// Package commitbench measures a control group of three replicas on loopback with synced files: the
// rates of commits and placements, and the time from the kill of the leader to the next commit.
// Commits and placements are compared with the plain version, which commits one command at a time
// and syncs each log entry separately.
package commitbench
