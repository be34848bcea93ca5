// Package replog implements a replicated log as a state machine that performs no input or output.
// The owner passes in messages and the time, and carries out the returned effects:
//
//	core.Step(now, message)
//	effects := core.Effects()
//	// 1. send effects.Messages immediately
//	// 2. persist effects.HardState, effects.Snapshot and effects.Entries
//	// 3. after the sync: call core.Persisted(now, effects.Mark) and send
//	//    effects.AfterSync
//	// 4. apply effects.Committed in order
//	// 5. call core.Tick(now) no later than effects.Deadline
//
// The owner may take further batches of effects before earlier batches are synced, but it must
// persist, acknowledge and apply the batches in the order in which they were returned. A batch that
// has nothing to persist repeats the previous mark. Within a batch, the hard state is written
// before the snapshot and the snapshot before the entries, so that a torn write never leaves an
// entry whose term is above the term of the hard state.
//
// Committed entries and finished reads may be handled before the batch that contains them is
// synced, because the entries are already durable on a quorum. The exception is a snapshot in the
// same or an earlier batch: it must be installed first.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, leader lease,
// pipelined appends within a window of bytes, learners, single-step membership changes and
// leadership transfer. Messages may overtake each other: a follower holds appends that arrive before
// the ones they follow.
package replog
