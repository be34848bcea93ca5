// Package replog is a replicated log as a state machine without input or
// output. The owner steps messages and the time in and takes a batch of
// effects out:
//
//	core.Step(now, message)
//	effects := core.Effects()
//	// 1. send effects.Messages at once
//	// 2. persist effects.HardState, effects.Snapshot and effects.Entries
//	// 3. after the sync: core.Persisted(now, effects.Mark) and send
//	//    effects.AfterSync
//	// 4. apply effects.Committed in order
//	// 5. call core.Tick(now) at effects.Deadline at the latest
//
// The owner may take further effects before the sync of earlier ones is done,
// but persists, acknowledges and applies the batches in the order in which it
// took them. A batch without anything to persist repeats the last mark. Within
// a batch, the hard state is written before the snapshot and the snapshot
// before the entries, so that a torn write never leaves an entry of a term
// above the hard state's.
//
// Committed entries and finished reads may be handled before the sync of their
// batch, unless a snapshot of this or an earlier batch is not installed yet:
// the entries are durable on a quorum already.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote,
// check-quorum, leader lease, pipelined appends, learners, membership changes
// one at a time, and leadership transfer.
package replog
