package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// leaseCall is a call with a lease end that a later boot than the known one may have carried out, or may
// still carry out.
type leaseCall struct {
	token  uint64
	until  int64 // the lease end, by the worker's clock, in ms
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
	expired := 0
	for lease := c.slowClockDuration(c.opts.MaxLease); expired < len(w.leaseCalls) && w.leaseCalls[expired].latest.Add(lease).Before(c.now); {
		expired++
	}
	w.leaseCalls = slices.Delete(w.leaseCalls, 0, expired)
	at, _ := slices.BinarySearchFunc(w.leaseCalls, call, func(a, b leaseCall) int { return a.latest.Compare(b.latest) })
	w.leaseCalls = slices.Insert(w.leaseCalls, at, call)
}

// addLeaseHold records a hold with a lease end.
func (c *Core) addLeaseHold(w *worker, until int64) {
	c.addLeaseCall(w, leaseCall{token: c.token(w), until: until, sentAt: c.now, latest: c.now.Add(maxCallDelay), hold: true})
}

// addLeaseStart records a start, which always has a lease end. The first copy of a start takes effect
// only while its ticket is valid. A later copy extends the lease of the run that the first one has
// begun, whether or not the ticket is valid.
func (c *Core) addLeaseStart(w *worker, id workload.TaskID, r *run, until int64) {
	delay := maxCallDelay
	if r.startAttempts == 1 {
		delay = c.maxStartDelay(id.StepID())
	}
	c.addLeaseCall(w, leaseCall{token: c.token(w), until: until, sentAt: c.now, latest: c.now.Add(delay), task: id, run: r.number})
}

// leaseCallEnded processes the outcome of a call with a lease end. An answered call stays listed until a
// hold shows that the known boot has carried it out.
func (c *Core) leaseCallEnded(w *worker, outcome Outcome, isCall func(leaseCall) bool) {
	if outcome == OutcomeNoAnswer {
		return
	}
	// The call is among the last ones, because it was in flight.
	at := len(w.leaseCalls) - 1
	for at >= 0 && !isCall(w.leaseCalls[at]) {
		at--
	}
	if at < 0 {
		return
	}
	call := w.leaseCalls[at]
	w.leaseCalls = slices.Delete(w.leaseCalls, at, at+1)
	switch outcome {
	case OutcomeOK, OutcomeRunClosed, OutcomeNoCapacity, OutcomeLaterBoot:
		call.latest = c.now
		c.addLeaseCall(w, call)
	}
	if outcome == OutcomeOK {
		w.acceptedLease = max(w.acceptedLease, call.until)
	}
	// The in-doubt starts may be waited for less long than before.
	c.planNeeded = c.planNeeded || len(w.inDoubtTasks) > 0
}

// holdEnded processes the outcome of the hold in flight. Only the answer to a hold names its boot: if that
// is the known one, it has carried out all calls that were answered before the hold was sent.
func (c *Core) holdEnded(w *worker, call Call, outcome Outcome) {
	c.leaseCallEnded(w, outcome, func(sent leaseCall) bool {
		return sent.hold && sent.token == call.Token && sent.sentAt.Equal(w.holdSentAt)
	})
	if outcome == OutcomeOK {
		w.leaseCalls = slices.DeleteFunc(w.leaseCalls, func(past leaseCall) bool { return past.latest.Before(w.holdSentAt) })
	}
}

// startEnded processes the outcome of a start.
func (c *Core) startEnded(w *worker, start Start, outcome Outcome) {
	c.leaseCallEnded(w, outcome, func(sent leaseCall) bool {
		return !sent.hold && sent.task == start.Task && sent.run == start.Run && sent.token == start.Token
	})
}

// maxStartFences limits how often the token of a worker increases before starts. The values above it
// are kept for ends of boots, which must always increase the token.
const maxStartFences = 1 << (tokenBits - 1)

// fenceLeaseCalls increases the token if calls with a lease end have been sent with the present one and may
// still be carried out. A boot that has carried out a call with the new token rejects them, so that they do
// not extend its lease.
func (c *Core) fenceLeaseCalls(w *worker) {
	current := c.token(w)
	sentBefore := func(call leaseCall) bool {
		return call.token == current && call.sentAt.Before(c.now) && call.latest.After(c.now)
	}
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

// countCallsInFlight returns the number of starts and stops without an answer yet.
func (w *worker) countCallsInFlight() int {
	count := 0
	for _, r := range w.runs {
		if r.callInFlight {
			count++
		}
	}
	return count
}

// isStartUnresolved reports whether a start to this boot has no answer, and the boot has not answered a
// hold since that would list its run.
func (w *worker) isStartUnresolved() bool { return !w.answeredHoldSentAt.After(w.startUnansweredAt) }

// mayBeActive reports whether a run that an in-doubt start begins may be active on a boot that nobody has
// noticed, or may still begin there.
func (c *Core) mayBeActive(start inDoubtStart) bool {
	return c.now.Before(start.runsUntil) || c.now.Before(c.activeUntil(start))
}

// activeUntil returns the latest time at which a run that an in-doubt start begins may be active on a
// boot that nobody has noticed: its own lease, extended by each call that the boot may have answered or may
// still carry out before the lease ends. Calls with a lower token are rejected once the start has been
// carried out.
func (c *Core) activeUntil(start inDoubtStart) time.Time {
	lease := c.slowClockDuration(c.opts.MaxLease)
	until := start.runsUntil
	for _, call := range start.worker.leaseCalls {
		if call.token < start.token {
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
