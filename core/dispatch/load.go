package dispatch

import "slices"

// Load is what the dispatcher has to consider at a moment.
type Load struct {
	Jobs        int // jobs that have not ended
	ReadySteps  int // steps with tasks to be placed in the last plan
	AdviceCalls int // advice calls in flight
	Proposals   int // proposals that are not committed yet
	Bounds      int // bounds that limit the leader
	// BoundHits counts, since the begin of the term, how often each bound has limited something.
	BoundHits []BoundHits
}

// Load returns the present load.
func (c *Core) Load() Load {
	return Load{Jobs: len(c.liveJobs), ReadySteps: c.readyStepsInPlan, AdviceCalls: len(c.adviceCalls), Proposals: len(c.proposals), Bounds: c.activeBounds(), BoundHits: slices.Clone(c.bounds.hits)}
}
