// Package state is the replicated state machine of the cell: configuration, jobs, allocations,
// workers, request records and members. The state is a pure function of the sequence of commands:
// Apply takes a command and its log index and returns a result for the proposer and events for the
// scheduler. Times are part of the commands, so every replica computes the same state.
//
// Retention is measured by a retention clock, which the Advance commands of the leader move. It
// stops while there is no leader.
package state
