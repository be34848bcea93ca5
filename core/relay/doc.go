// Package relay connects the worker agents attached to an entry process with the leader: it batches
// lease renewals, registers workers, and holds their long polls until their assignments change. The
// owner passes in messages and the time, and carries out the effects.
//
// Invariants: at most one batch of renewals is in flight; a grant is passed to a worker only if its
// sequence number matches the renewal; within an epoch, a worker never receives assignments older
// than those it was sent before.
package relay
