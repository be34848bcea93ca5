// Package backendserver is a stand-in for the backend servers of the platform.
// It is for tests and demonstrations only: it runs no real work, announces
// itself to entry processes as section 2.8 of docs/design.md says, keeps to its
// slots, and causes failures on request.
//
// The worker task owns the slots and the counts of runs; the announcer task
// owns the sequence, the tokens and the connections to entry processes.
package backendserver
