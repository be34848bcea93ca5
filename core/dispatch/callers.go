package dispatch

import (
	"slices"
	"time"
)

// Limits of the processes that call the adviser.
const (
	// callerTTL is how long a process counts as able to make calls after it was
	// last heard: three of its polls.
	callerTTL = 1700 * time.Millisecond
	// lostCallPenalty is how long a process gets no call after one was lost.
	lostCallPenalty = 2 * time.Second
	// fastOnlyCallersPercent is the part of the callers that make no slow calls:
	// the adviser answers the calls of one process in turn, so a call of 20 ms
	// would wait behind one of a second.
	fastOnlyCallersPercent = 30
	// overheadSampleDivisor is the weight of a new sample in the mean of a caller's
	// overhead, one in this many.
	overheadSampleDivisor = 4
)

// caller is a process that can call the adviser. The adviser serves the calls
// of one process in turn.
type caller struct {
	lastSeenAt    time.Time
	busyUntil     time.Time // when its calls on the way are expected to be answered
	avoidUntil    time.Time
	callsInFlight int // on the way
	// overhead is the mean time that a call takes beyond the adviser's own.
	overhead time.Duration
}

// SawCaller says that a process is able to call the adviser.
func (c *Core) SawCaller(now time.Time, address string) {
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

// pickCaller returns the process whose answer to a call is expected first.
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

// availableCallers lists the processes that may be given a call, in a fixed order.
func (c *Core) availableCallers() []string {
	addresses := make([]string, 0, len(c.callers))
	for address, known := range c.callers {
		if address == c.opts.Self || c.now.Sub(known.lastSeenAt) <= callerTTL && !c.now.Before(known.avoidUntil) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// nextCallStart returns when the adviser will begin with the next call of a caller.
func (cl *caller) nextCallStart(now time.Time) time.Time {
	if cl.busyUntil.After(now) {
		return cl.busyUntil
	}
	return now
}

func (cl *caller) expectedFreeAt(now time.Time) time.Time {
	return cl.nextCallStart(now).Add(cl.overhead)
}

// callEnded notes the end of a call that was expected to take until due.
func (cl *caller) callEnded(now, due time.Time, lost bool) {
	cl.callsInFlight--
	if lost {
		// The adviser may still be at work on the call.
		cl.avoidUntil = now.Add(lostCallPenalty)
		return
	}
	if cl.callsInFlight == 0 {
		cl.busyUntil = now
	}
	sample := max(now.Sub(due), 0)
	cl.overhead += (sample - cl.overhead) / overheadSampleDivisor
}
