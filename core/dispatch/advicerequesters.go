package dispatch

import (
	"slices"
	"time"
)

// Limits of advice requesters.
const (
	// requesterTTL is how long a requester counts as available after it was last seen. It covers
	// three of its polling intervals.
	requesterTTL = 1700 * time.Millisecond
	// lostCallPenalty is how long a requester gets no calls after one of its calls was lost.
	lostCallPenalty = 2 * time.Second
	// fastOnlyRequestersPercent is the share of requesters that make no slow calls. The adviser
	// handles the calls of one requester in sequence, so a call of 20 ms would wait behind one of a
	// second.
	fastOnlyRequestersPercent = 30
	// overheadSampleDivisor sets the weight of a new sample in the moving average of a
	// requester's overhead: 1/overheadSampleDivisor.
	overheadSampleDivisor = 4
)

// adviceRequester is a process of this system that calls the adviser on behalf of the leader. The
// adviser handles the calls of one process in sequence.
type adviceRequester struct {
	lastSeenAt    time.Time
	busyUntil     time.Time // when all of its calls in flight are expected to be answered
	avoidUntil    time.Time
	callsInFlight int
	// overhead is the mean time by which a call takes longer than the adviser's processing time.
	overhead time.Duration
}

// RequesterSeen reports that the process at an address is able to call the adviser.
func (c *Core) RequesterSeen(now time.Time, address string) {
	c.advanceClock(now)
	if address == "" {
		return
	}
	known := c.requesters[address]
	if known == nil {
		known = &adviceRequester{}
		c.requesters[address] = known
	}
	known.lastSeenAt = c.now
}

// pickRequester returns the requester that is expected to return the answer first.
func (c *Core) pickRequester(expected time.Duration) (string, *adviceRequester) {
	addresses := c.planRequesters
	if expected >= slowAdviceThreshold {
		addresses = addresses[len(addresses)*fastOnlyRequestersPercent/100:]
	}
	best, bestAddress := (*adviceRequester)(nil), ""
	for _, address := range addresses {
		known := c.requesters[address]
		if best == nil || known.expectedFreeAt(c.now).Before(best.expectedFreeAt(c.now)) {
			best, bestAddress = known, address
		}
	}
	return bestAddress, best
}

// availableRequesters lists the addresses of the requesters that may be given a call, in
// sorted order.
func (c *Core) availableRequesters() []string {
	addresses := make([]string, 0, len(c.requesters))
	useAvoided := c.tooManyAvoidedRequesters()
	for address, known := range c.requesters {
		if address == c.opts.SelfAddress || c.now.Sub(known.lastSeenAt) <= requesterTTL && (useAvoided || !c.now.Before(known.avoidUntil)) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// nextCallStart returns when the adviser is expected to begin with the requester's next call.
func (r *adviceRequester) nextCallStart(now time.Time) time.Time {
	if r.busyUntil.After(now) {
		return r.busyUntil
	}
	return now
}

func (r *adviceRequester) expectedFreeAt(now time.Time) time.Time {
	return r.nextCallStart(now).Add(r.overhead)
}

// callEnded records the end of a call whose answer was expected at expectedAt.
func (r *adviceRequester) callEnded(now, expectedAt time.Time, lost bool) {
	r.callsInFlight--
	sample := max(now.Sub(expectedAt), 0)
	r.overhead += (sample - r.overhead) / overheadSampleDivisor
	if lost {
		// The adviser may still be processing the call.
		r.avoidUntil = now.Add(lostCallPenalty)
		return
	}
	if r.callsInFlight == 0 {
		r.busyUntil = now
	}
}
