package dispatch

import (
	"cmp"
	"slices"

	"github.com/godwitlink/godwitlink/core/workload"
)

const (
	// maxClaimedPercent limits the resources that are kept free for blocked gangs at the expense of
	// less urgent steps. With 25 and 50 percent the resources stayed idle for longer than the gangs
	// gained.
	maxClaimedPercent = 5
	// maxFirstClaimPercent is the limit for the first blocked gang, so that a large gang is not
	// passed over forever.
	maxFirstClaimPercent = 25
)

// claimForGang keeps resources free for a blocked gang, on the workers that lack the least to take
// its tasks. Otherwise smaller tasks would fill each gap, and a large gang would wait until the
// load falls.
//
// A gang that can no longer end within its objective claims nothing. Under a load of 110 percent, with
// gangs as wide as a fifth of the cell, what such claims keep idle would serve more jobs than the gang: the
// least urgent queue got 0.62 of the worth with them and 0.69 without, and gangs of the urgent queue lost
// nothing.
func (c *Core) claimForGang(r readyStep, s *step, spec *workload.StepSpec) {
	if r.timeliness != onTime {
		return
	}
	needed := int64(spec.Tasks) * spec.Size.MilliCPU
	maxClaim := c.totalMilliCPU * maxClaimedPercent / 100
	if c.claimedMilliCPU == 0 {
		maxClaim = c.totalMilliCPU * maxFirstClaimPercent / 100
	}
	if c.claimedMilliCPU+needed > maxClaim {
		return
	}
	type slot struct {
		worker  *worker
		deficit int64 // free resources that are missing for one more task
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
	for _, claimed := range slots[:min(len(slots), spec.Tasks)] {
		claimed.worker.freeInPlan = claimed.worker.freeInPlan.Sub(spec.Size)
		c.claimedMilliCPU += spec.Size.MilliCPU
	}
}
