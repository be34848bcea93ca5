// Package replica holds the tasks of a control replica. The replica task owns
// the replicated log, the cell state and, on the leader, the scheduler and the
// lease granter. Handlers of the twirp services and the other tasks reach it
// by typed messages over bounded channels; a full mailbox refuses calls with
// ErrOverloaded and holds back messages of the log.
package replica
