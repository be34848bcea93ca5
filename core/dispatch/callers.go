package dispatch

import (
	"slices"
	"time"
)

// Limits for the processes that call the adviser.
const (
	// callerTTL is how long a process counts as available after it was last seen. It covers three
	// of the process's polling intervals.
	callerTTL = 1700 * time.Millisecond
	// lostCallPenalty is how long a process gets no calls after one of its calls was lost.
	lostCallPenalty = 2 * time.Second
	// fastOnlyCallersPercent is the share of processes that make no slow calls. The adviser handles
	// the calls of one process in sequence, so a call of 20 ms would wait behind one of a second.
	fastOnlyCallersPercent = 30
	// overheadSampleDivisor sets the weight of a new sample in the moving average of a caller's
	// overhead: 1/overheadSampleDivisor.
	overheadSampleDivisor = 4
)

// caller is a process that can call the adviser. The adviser handles the calls of one process in
// sequence.
type caller struct {
	lastSeenAt    time.Time
	busyUntil     time.Time // when all of its calls in flight are expected to be answered
	avoidUntil    time.Time
	callsInFlight int
	// overhead is the mean time by which a call takes longer than the adviser's processing time.
	overhead time.Duration
}

// CallerSeen reports that a process is able to call the adviser.
func (c *Core) CallerSeen(now time.Time, address string) {
	c.advanceClock(now)
	if address == "" {
		return
	}
	known := c.callers[address]
	if known == nil {
		known = &caller{}
		c.callers[address] = known
	}
	known.lastSeenAt = c.now
}

// pickCaller returns the caller that is expected to return the answer first.
func (c *Core) pickCaller(expected time.Duration) (string, *caller) {
	addresses := c.planCallers
	if expected >= slowAdviceThreshold {
		addresses = addresses[len(addresses)*fastOnlyCallersPercent/100:]
	}
	best, bestAddress := (*caller)(nil), ""
	for _, address := range addresses {
		known := c.callers[address]
		if best == nil || known.expectedFreeAt(c.now).Before(best.expectedFreeAt(c.now)) {
			best, bestAddress = known, address
		}
	}
	return bestAddress, best
}

// availableCallers lists the addresses of the callers that may be given a call, in sorted order.
func (c *Core) availableCallers() []string {
	addresses := make([]string, 0, len(c.callers))
	for address, known := range c.callers {
		if address == c.opts.SelfAddress || c.now.Sub(known.lastSeenAt) <= callerTTL && !c.now.Before(known.avoidUntil) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// nextCallStart returns when the adviser is expected to begin with the caller's next call.
func (cl *caller) nextCallStart(now time.Time) time.Time {
	if cl.busyUntil.After(now) {
		return cl.busyUntil
	}
	return now
}

func (cl *caller) expectedFreeAt(now time.Time) time.Time {
	return cl.nextCallStart(now).Add(cl.overhead)
}

// callEnded records the end of a call whose answer was expected at expectedAt.
func (cl *caller) callEnded(now, expectedAt time.Time, lost bool) {
	cl.callsInFlight--
	if lost {
		// The adviser may still be processing the call.
		cl.avoidUntil = now.Add(lostCallPenalty)
		return
	}
	if cl.callsInFlight == 0 {
		cl.busyUntil = now
	}
	sample := max(now.Sub(expectedAt), 0)
	cl.overhead += (sample - cl.overhead) / overheadSampleDivisor
}
