// Package exchange is the state machine of one routed request at an entry process: the record of a
// keyed non-idempotent request, dispatch within its window, retries, and the outcome that the
// caller is told. It has no input or output: each method takes an event and returns the next effect
// to carry out.
//
// It enforces two rules. A non-idempotent request is dispatched again only if no backend server
// accepted any part of it or the backend server answered that the request was not run. The outcome
// not-run is reported under the same condition only.
package exchange
