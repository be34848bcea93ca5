// Package exchange is the state machine of one routed request at an entry process: the record of a
// keyed non-idempotent request, dispatch within its window, retries, and the outcome that the
// caller is told. It has no input or output: each method takes an event and returns the next effect
// to carry out.
//
// A keyed request has an Idempotency-Key. Its begin record, which the control group commits before
// the request is dispatched, allows one entry process to dispatch it until the dispatch window has
// passed. The finish record states the outcome, and the answer unless it is too large to store. A
// repeated request with the same key waits for that outcome.
//
// It enforces two rules. A non-idempotent request is dispatched again only if no backend server
// accepted any part of it or the backend server answered that the request was not run. The outcome
// not-run is reported under the same condition only.
package exchange
