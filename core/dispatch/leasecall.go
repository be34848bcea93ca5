package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// leaseCall is a call with a lease end that the worker may still carry out, because it has no answer.
type leaseCall struct {
	token  uint64
	sentAt time.Time
	latest time.Time // the call is carried out by then or never
	// hold is true for a hold. Otherwise the call is a start of task and run.
	hold bool
	task workload.TaskID
	run  workload.RunNumber
}

// addLeaseCall records a call to a worker that is being sent. The calls are sorted by their latest
// execution.
func (c *Core) addLeaseCall(w *worker, call leaseCall) {
	lease := c.slowClockDuration(c.opts.MaxLease)
	w.leaseCalls = slices.DeleteFunc(w.leaseCalls, func(past leaseCall) bool { return past.latest.Add(lease).Before(c.now) })
	at, _ := slices.BinarySearchFunc(w.leaseCalls, call, func(a, b leaseCall) int { return a.latest.Compare(b.latest) })
	w.leaseCalls = slices.Insert(w.leaseCalls, at, call)
}

// addLeaseHold records a hold with a lease end.
func (c *Core) addLeaseHold(w *worker) {
	c.addLeaseCall(w, leaseCall{token: c.token(w), sentAt: c.now, latest: c.now.Add(maxCallDelay), hold: true})
}

// addLeaseStart records a start, which always has a lease end. The first copy of a start takes effect
// only while its ticket is valid. A later copy extends the lease of the run that the first one has
// begun, whether or not the ticket is valid.
func (c *Core) addLeaseStart(w *worker, id workload.TaskID, r *run) {
	delay := maxCallDelay
	if r.startAttempts == 1 {
		delay = c.maxStartDelay(id.StepID())
	}
	c.addLeaseCall(w, leaseCall{token: c.token(w), sentAt: c.now, latest: c.now.Add(delay), task: id, run: r.number})
}

// removeLeaseCalls removes the calls that the worker has answered, or that it has never received.
func (w *worker) removeLeaseCalls(answered func(leaseCall) bool) {
	w.leaseCalls = slices.DeleteFunc(w.leaseCalls, answered)
}

// maxStartFences limits how often the token of a worker increases before starts. The values above it
// are kept for ends of boots, which must always increase the token.
const maxStartFences = 1 << (tokenBits - 1)

// fenceLeaseCalls increases the token if calls with a lease end have been sent with the present one.
// A boot that has carried out a call with the new token rejects them, so that they do not extend its
// lease.
func (c *Core) fenceLeaseCalls(w *worker) {
	current := c.token(w)
	sentBefore := func(call leaseCall) bool { return call.token == current && call.sentAt.Before(c.now) }
	if w.tokenCount < maxStartFences && slices.ContainsFunc(w.leaseCalls, sentBefore) {
		w.tokenCount++
	}
}

// startsInFlight reports whether the worker has not yet answered a start.
func (w *worker) startsInFlight() bool {
	for _, r := range w.runs {
		if r.startInFlight {
			return true
		}
	}
	return false
}

// isStartUnresolved reports whether a start to this boot has no answer, and the boot has not answered a
// hold since that would list its run.
func (w *worker) isStartUnresolved() bool { return !w.answeredHoldSentAt.After(w.startUnansweredAt) }

// activeUntil returns the latest time at which a run that an in-doubt start begins may be active on a
// boot that nobody has noticed: its own lease, extended by each unanswered call that the boot may carry
// out before the lease ends. Calls with a lower token are rejected once the start has been carried out.
func (c *Core) activeUntil(start inDoubtStart) time.Time {
	lease := c.slowClockDuration(c.opts.MaxLease)
	until := start.runsUntil
	for _, call := range start.worker.leaseCalls {
		if call.token < start.token || call.sentAt.After(until) {
			continue
		}
		extendedAt := call.latest
		if extendedAt.After(until) {
			extendedAt = until
		}
		if extended := extendedAt.Add(lease); extended.After(until) {
			until = extended
		}
	}
	return until
}
