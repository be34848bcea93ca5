// Package replica implements a control replica. The replica task owns the replicated log, the cell
// state and, on the leader, the scheduler and the lease granter. Handlers of the twirp services
// and other tasks communicate with it by typed messages over bounded channels. When the call
// mailbox is full, calls are refused with ErrOverloaded; when the mailbox for log messages is
// full, their senders wait.
package replica
