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
	// callerPenalty is how long a process gets no call after one was lost.
	callerPenalty = 2 * time.Second
	// shortCallersPercent is the part of the callers that make no slow calls:
	// the adviser answers the calls of one process in turn, so a call of 20 ms
	// would wait behind one of a second.
	shortCallersPercent = 30
	// overheadWeight is the weight of a new sample in the mean of a caller's
	// overhead, one in this many.
	overheadWeight = 4
)

// caller is a process that can call the adviser. The adviser serves the calls
// of one process in turn.
type caller struct {
	seenAt time.Time
	busy   time.Time // when its calls on the way are expected to be answered
	avoid  time.Time
	calls  int // on the way
	// overhead is the mean time that a call takes beyond the adviser's own.
	overhead time.Duration
}

// SawCaller says that a process is able to call the adviser.
func (c *Core) SawCaller(now time.Time, address string) {
	c.advance(now)
	if address == "" {
		return
	}
	known := c.callers[address]
	if known == nil {
		known = &caller{}
		c.callers[address] = known
	}
	known.seenAt = c.now
}

// pickCaller returns the process whose answer to a call is expected first.
func (c *Core) pickCaller(expected time.Duration) (string, *caller) {
	names := c.live
	if expected >= slowAdvice {
		names = names[len(names)*shortCallersPercent/100:]
	}
	best, address := (*caller)(nil), ""
	for _, name := range names {
		known := c.callers[name]
		if best == nil || known.freeAt(c.now).Before(best.freeAt(c.now)) {
			best, address = known, name
		}
	}
	return address, best
}

// liveCallers lists the processes that may be given a call, in a fixed order.
func (c *Core) liveCallers() []string {
	names := make([]string, 0, len(c.callers))
	for name, known := range c.callers {
		if name == c.opts.Self || c.now.Sub(known.seenAt) <= callerTTL && !c.now.Before(known.avoid) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// start returns when the adviser will begin with the next call of a caller.
func (k *caller) start(now time.Time) time.Time {
	if k.busy.After(now) {
		return k.busy
	}
	return now
}

func (k *caller) freeAt(now time.Time) time.Time { return k.start(now).Add(k.overhead) }

// answered notes the end of a call that was expected to take until due.
func (k *caller) answered(now, due time.Time, lost bool) {
	k.calls--
	if lost {
		// The adviser may still be at work on the call.
		k.avoid = now.Add(callerPenalty)
		return
	}
	if k.calls == 0 {
		k.busy = now
	}
	sample := max(now.Sub(due), 0)
	k.overhead += (sample - k.overhead) / overheadWeight
}
