// Package replication carries the messages of the replicated log between control replicas over the
// twirp service Replication.
//
// Sender runs two tasks for each peer, one for log messages and one for snapshots, so that a large
// snapshot does not delay heartbeats. A message that finds its queue full is dropped; the log
// repeats what is not acknowledged.
package replication
