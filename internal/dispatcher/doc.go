// Package dispatcher runs the dispatch core (core/dispatch) on the leader. One task owns the core:
// it receives committed commands from the replica task, and the answers of workers and of the
// adviser from the goroutines that make the calls, and it executes the effects of the core. The
// task never blocks on a call.
package dispatcher
