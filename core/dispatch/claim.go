package dispatch

import (
	"cmp"
	"slices"

	"github.com/godwitlink/godwitlink/core/workload"
)

const (
	// maxClaimedPercent bounds the room that blocked gangs may keep from less
	// urgent steps. With 25 and 50 the room that waits idled longer than the
	// gangs gained.
	maxClaimedPercent = 5
	// maxFirstClaimPercent is the bound for the first blocked gang alone, so that
	// a large one is not passed over for ever.
	maxFirstClaimPercent = 25
)

// missingShareDivisor is the part of a gang's room, one in this many, that may be
// missing when its tickets are renewed ahead: the room opens while the call
// lasts.
const missingShareDivisor = 4

// claimForGang keeps room for a gang that is blocked: on the workers that need the
// least more room to take its tasks. Without it smaller tasks would fill each
// gap as it opens, and a large gang would wait until the load falls. It reports
// whether the room is there but for a small part.
func (c *Core) claimForGang(r readyStep, s *step, spec *workload.StepSpec) bool {
	needed := int64(spec.Tasks) * spec.Size.MilliCPU
	maxClaim := c.totalMilliCPU * maxClaimedPercent / 100
	if c.claimedMilliCPU == 0 {
		maxClaim = c.totalMilliCPU * maxFirstClaimPercent / 100
	}
	if c.claimedMilliCPU+needed > maxClaim {
		return false
	}
	c.claimedMilliCPU += needed
	type slot struct {
		worker  *worker
		deficit int64 // room that is missing for one more task
	}
	var slots []slot
	for _, candidate := range c.candidates(r, s, spec, false, true) {
		w := candidate.worker
		free := candidate.free.MilliCPU
		limit := int(w.Capacity.MilliCPU / max(spec.Size.MilliCPU, 1))
		if spec.MaxPerWorker > 0 {
			limit = min(limit, spec.MaxPerWorker)
		}
		for n := 1; n <= min(limit, spec.Tasks); n++ {
			slots = append(slots, slot{w, int64(n)*spec.Size.MilliCPU - free})
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.deficit, b.deficit) })
	missing := int64(0)
	for _, claimed := range slots[:min(len(slots), spec.Tasks)] {
		claimed.worker.freeInPlan = claimed.worker.freeInPlan.Sub(spec.Size)
		missing += min(max(claimed.deficit, 0), spec.Size.MilliCPU)
	}
	return len(slots) >= spec.Tasks && missing*missingShareDivisor <= needed
}
