// Package dispatch decides, on the leader, which runs start on which workers, which runs are
// stopped, and which reported ends the workers may forget. It covers the workers that the leader
// calls. It does no input or output and reads no clock.
//
// The owner applies every committed workload command in log order, passes in the answers of workers
// and of the adviser, and carries out the returned Effects.
//
// Invariants:
//   - A start is sent only for a run that a committed command has opened, and
//     only while the leader lease is valid.
//   - A worker is told to forget an end only after the end was committed.
//   - The runs of a boot are given up only after the worker's lease has expired,
//     counted by the slowest clock the worker may have, or after another boot
//     has answered.
//   - A task is placed only if every worker that may still carry out an earlier
//     start of the task is known to refuse that start.
//   - Every call carries a fencing token, which increases with the leader's term
//     and with each boot of the worker that ends. After a worker has answered a
//     call, it ignores calls from earlier leaders and calls to its earlier boots.
package dispatch
