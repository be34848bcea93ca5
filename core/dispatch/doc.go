// Package dispatch decides, on the leader, what workers that wait to be called
// are told: which run starts where, which one stops, and which reported ends
// may be forgotten. It does no input or output and reads no clock.
//
// The owner applies every committed workload command in the order of the log,
// passes in the answers of workers and of the adviser, and carries out Effects.
//
// Invariants:
//   - A start is sent only for a run that the log has opened, and only while
//     the leader lease is valid.
//   - A worker is told to forget an end only after the end was committed.
//   - The runs of a boot are given up only when the worker's lease has run out
//     by the slowest clock that the worker may have, or another boot answered.
//   - A task is placed only where each worker that may still carry out an
//     earlier start of it surely refuses that start.
//   - Every call carries a fencing token that rises with the leader's term and
//     with each end of a boot of the worker. A worker that has answered one call
//     does nothing for an earlier leader, or for calls to an earlier boot.
package dispatch
