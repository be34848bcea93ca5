// Package replication carries the messages of the replicated log between
// control replicas over the twirp service Replication.
//
// Sender holds two tasks for each peer, one for the log and one for snapshots,
// so that a large snapshot does not delay heartbeats. A message that finds the
// queue of its task full is dropped: the log sends again what is not confirmed.
package replication
