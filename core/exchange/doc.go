// Package exchange is the life of one routed request at an entry process: the
// record of a keyed non-idempotent request, dispatch within its window, retries
// and the outcome that the caller is told. It has no input or output: each
// method takes what has happened and returns the one thing to do next.
//
// The two rules that it keeps: a non-idempotent request is dispatched again
// only where nothing of it was accepted by a backend server or the backend
// server said that it was not run, and the outcome not-run is given only under
// the same condition.
package exchange
