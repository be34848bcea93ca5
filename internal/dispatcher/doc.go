// Package dispatcher runs the dispatch core (core/dispatch) on the leader. One
// task owns the core. It takes committed commands from the replica task and the
// answers of workers and of the adviser from the goroutines that call them, and
// carries out the effects. It never waits for a call.
package dispatcher
