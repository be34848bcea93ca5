// Package backendserver simulates a backend server of the platform for tests and demonstrations. It
// runs no real work, announces itself to entry processes as section 2.8 of docs/design.md
// describes, enforces its number of slots, and injects failures on request.
//
// The run tracker task owns the slots and the run counts. The announcer task owns the sequence
// number, the tokens and the connections to entry processes.
package backendserver
