// Package relay is the part of an entry process that stands between worker
// agents and the leader: it batches lease renewals, registers workers, and
// holds their long polls until their assignments change. The owner steps
// messages and the time in and carries out the effects.
//
// Invariants: at most one batch of renewals is on its way; a grant is passed
// to the worker only for the sequence number that the leader answered; the
// assignments passed to a worker never go back to an older version within an
// epoch.
package relay
