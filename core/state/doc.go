// Package state is the replicated state machine of the cell: configuration,
// jobs, allocations, workers, request records and members. It is a pure
// function of the sequence of commands: Apply takes a command and its log
// index and returns a result for the proposer and events for the scheduler.
// Times are part of the commands, so every replica computes the same state.
package state
