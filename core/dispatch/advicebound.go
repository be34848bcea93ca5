package dispatch

import "time"

// Bound of advice calls. It is made for a leader that has thousands of steps to ask about at once, for
// example after all control machines were unavailable, and for requesters, relays or a leader that are
// slow to pass on answers. Callers need the tickets that a call brings while they are valid, and the most
// urgent step must not wait for calls made before it was submitted. Therefore a call is made only while
// its requester is expected to begin with it within adviceWaitLimit, judged by how long earlier calls of
// the requester have taken. Steps that get no call are considered again, in order of urgency, in a later
// plan. The bound has no state of its own that could keep it closed: a requester without calls in flight
// is always used.
const (
	// maxFastAdviceWait is how long a fast call may wait for earlier calls of the same requester. A
	// step that becomes urgent waits for that long at most, a tenth of the life of a ticket.
	maxFastAdviceWait = 200 * time.Millisecond
	// usualAdviceOverhead is the time by which a call takes longer than the adviser's processing time on a
	// cell that is not overloaded. It covers a round trip between two regions and the relay.
	usualAdviceOverhead = 100 * time.Millisecond
	// maxAdviceTimeoutMargin limits what is added to the expected duration of a call before it counts as
	// lost. A ticket that takes longer has expired.
	maxAdviceTimeoutMargin = 1500 * time.Millisecond
	// maxAvoidedRequestersPercent limits the share of requesters that get no calls after a lost one. If
	// more seem to lose calls, the leader itself reads the answers too late.
	maxAvoidedRequestersPercent = 30
	// adviceBoundRetry is the shortest time until a step that got no call is considered again without an
	// event. The answers to other calls lead to a plan earlier.
	adviceBoundRetry = 20 * time.Millisecond
)

// adviceWaitLimit returns how long a call may wait until its requester begins with it.
func adviceWaitLimit(expected time.Duration) time.Duration {
	if expected >= slowAdviceThreshold {
		return maxSlowAdviceWait
	}
	return maxFastAdviceWait
}

// expectedWait returns how long a new call is expected to wait until the requester begins with it. If the
// calls in flight are late, or earlier ones were, the requester needs longer than the adviser alone.
func (r *adviceRequester) expectedWait(now time.Time) time.Duration {
	wait := r.nextCallStart(now).Sub(now)
	if r.callsInFlight > 0 {
		wait += max(max(r.overhead, now.Sub(r.busyUntil))-usualAdviceOverhead, 0)
	}
	return wait
}

// boundAdvice reports whether the call of a step must wait because its requester is busy, and until when.
// Calls of the same kind are not considered before that in this plan.
func (c *Core) boundAdvice(requester *adviceRequester, expected time.Duration) (until time.Time, bounded bool) {
	excess := requester.expectedWait(c.now) - adviceWaitLimit(expected)
	if excess <= 0 {
		return time.Time{}, false
	}
	if expected >= slowAdviceThreshold {
		c.nextSlowAdviceAt = c.now.Add(excess)
		return c.nextSlowAdviceAt, true
	}
	c.nextFastAdviceAt = c.now.Add(max(excess, adviceBoundRetry))
	c.recordBound(BoundAdvice, "requesters-busy")
	return c.nextFastAdviceAt, true
}

// timeoutMargin returns how much longer than expected a call of a requester may take before it
// counts as lost.
func (r *adviceRequester) timeoutMargin() time.Duration {
	return max(adviceTimeoutMargin, min(2*r.overhead, maxAdviceTimeoutMargin))
}

// dropAdviceCall gives up a call whose answer is of no use any more. The requester may still be busy with
// it.
func (c *Core) dropAdviceCall(id uint64) {
	call := c.adviceCalls[id]
	if call == nil {
		return
	}
	delete(c.adviceCalls, id)
	c.releaseExpectedUse(call)
	if requester := c.requesters[call.requester]; requester != nil {
		requester.callsInFlight--
	}
	c.planNeeded = true
	c.pendingEffects.DroppedAdvice = append(c.pendingEffects.DroppedAdvice, id)
}

// releaseExpectedUse removes the expected use of a call that has ended.
func (c *Core) releaseExpectedUse(call *adviceCall) {
	c.releaseTicketDemand(call)
	for _, expected := range call.expectedUse {
		if w := c.workers[expected.worker]; w != nil {
			w.expectedUse = w.expectedUse.Sub(expected.size)
		}
	}
}

// tooManyAvoidedRequesters reports whether so many requesters seem to lose calls that they are not the
// cause.
func (c *Core) tooManyAvoidedRequesters() bool {
	avoided, seen := 0, 0
	for _, known := range c.requesters {
		if c.now.Sub(known.lastSeenAt) > requesterTTL {
			continue
		}
		seen++
		if c.now.Before(known.avoidUntil) {
			avoided++
		}
	}
	return avoided > 1 && avoided*100 > seen*maxAvoidedRequestersPercent
}
