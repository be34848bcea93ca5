package dispatch

import (
	"slices"
	"time"
)

// Bound is a limit on what the leader does at a time when it is late.
type Bound string

// The bounds.
const (
	BoundAdvice    Bound = "advice"    // advice calls in flight
	BoundPlacement Bound = "placement" // use and renewal of tickets
	BoundProposals Bound = "proposals" // commands that are not committed yet
	BoundTakeover  Bound = "takeover"  // what a new leader takes up at a time
)

// boundEndDelay is how long a bound must not have limited anything until it counts as ended. It is longer
// than the longest interval between two plans, so that each period of load is logged once.
const boundEndDelay = time.Second

// BoundHits counts how often a bound has limited something for a reason.
type BoundHits struct {
	Bound  Bound
	Reason string
	Count  uint64
}

// boundState is the state of one bound.
type boundState struct {
	activeSince time.Time // zero while the bound does not limit anything
	lastHitAt   time.Time
	hits        int // since activeSince
}

// bounds records which bounds limit the leader. It only observes: each bound decides by itself.
type bounds struct {
	states map[Bound]*boundState
	hits   []BoundHits
}

// recordBound records that a bound has limited something, and logs its begin.
func (c *Core) recordBound(bound Bound, reason string) {
	state := c.bounds.states[bound]
	if state == nil {
		if c.bounds.states == nil {
			c.bounds.states = map[Bound]*boundState{}
		}
		state = &boundState{}
		c.bounds.states[bound] = state
	}
	if state.activeSince.IsZero() {
		state.activeSince, state.hits = c.now, 0
		c.recordDecision(Decision{Kind: DecisionBoundBegins, Reason: string(bound) + "-" + reason, Count: c.readyStepsInPlan})
	}
	state.lastHitAt = c.now
	state.hits++
	at := slices.IndexFunc(c.bounds.hits, func(h BoundHits) bool { return h.Bound == bound && h.Reason == reason })
	if at < 0 {
		at = len(c.bounds.hits)
		c.bounds.hits = append(c.bounds.hits, BoundHits{Bound: bound, Reason: reason})
	}
	c.bounds.hits[at].Count++
}

// endBounds logs the end of the bounds that have not limited anything for boundEndDelay.
func (c *Core) endBounds() {
	for _, bound := range []Bound{BoundAdvice, BoundPlacement, BoundProposals, BoundTakeover} {
		state := c.bounds.states[bound]
		if state == nil || state.activeSince.IsZero() || c.now.Before(state.lastHitAt.Add(boundEndDelay)) {
			continue
		}
		c.recordDecision(Decision{Kind: DecisionBoundEnds, Reason: string(bound), Count: state.hits, Age: state.lastHitAt.Sub(state.activeSince)})
		state.activeSince = time.Time{}
	}
}

// nextBoundEnd returns when the next bound may end; zero if none is active.
func (c *Core) nextBoundEnd() time.Time {
	var earliest time.Time
	for _, state := range c.bounds.states {
		if ends := state.lastHitAt.Add(boundEndDelay); !state.activeSince.IsZero() && isEarlier(ends, earliest) {
			earliest = ends
		}
	}
	return earliest
}

// activeBounds returns the number of bounds that limit the leader at present.
func (c *Core) activeBounds() int {
	active := 0
	for _, state := range c.bounds.states {
		if !state.activeSince.IsZero() {
			active++
		}
	}
	return active
}
