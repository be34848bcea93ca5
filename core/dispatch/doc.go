// Package dispatch decides, on the leader, which runs start on which workers, which runs are
// stopped, and which reported ends the workers may forget. It covers the workers that the leader
// calls. It does no input or output and reads no clock.
//
// The owner applies every committed workload command in log order, passes in the answers of workers
// and of the adviser, and carries out the returned Effects.
//
// Terms in addition to those of package workload:
//   - A hold is a long-poll call that extends a worker's lease and returns the worker's active runs
//     and its ends.
//   - An end is a worker's numbered report that a run has ended. The worker repeats it in each
//     answer to a hold until the leader acknowledges it.
//   - The adviser is the service that decides which workers may run a step. It issues a ticket for
//     each of them, which a start must carry. A requester is a process of this system that calls
//     the adviser on behalf of the leader.
//   - A start is in doubt while it has no answer and the worker may still carry it out.
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
