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

// nearlyThere is the part of a gang's room, one in this many, that may be
// missing when its tickets are renewed ahead: the room opens while the call
// lasts.
const nearlyThere = 4

// claim keeps room for a gang that is blocked: on the workers that need the
// least more room to take its tasks. Without it smaller tasks would fill each
// gap as it opens, and a large gang would wait until the load falls. It reports
// whether the room is there but for a small part.
func (c *Core) claim(r ready, s *step, spec *workload.StepSpec) bool {
	need := int64(spec.Tasks) * spec.Size.MilliCPU
	most := c.total * maxClaimedPercent / 100
	if c.claimed == 0 {
		most = c.total * maxFirstClaimPercent / 100
	}
	if c.claimed+need > most {
		return false
	}
	c.claimed += need
	type slot struct {
		worker  *worker
		deficit int64 // room that is missing for one more task
	}
	var slots []slot
	for _, candidate := range c.candidates(r, s, spec, false, true) {
		w := candidate.worker
		room := candidate.room.MilliCPU
		limit := int(w.Capacity.MilliCPU / max(spec.Size.MilliCPU, 1))
		if spec.MaxPerWorker > 0 {
			limit = min(limit, spec.MaxPerWorker)
		}
		for n := 1; n <= min(limit, spec.Tasks); n++ {
			slots = append(slots, slot{w, int64(n)*spec.Size.MilliCPU - room})
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.deficit, b.deficit) })
	missing := int64(0)
	for _, taken := range slots[:min(len(slots), spec.Tasks)] {
		taken.worker.room = taken.worker.room.Sub(spec.Size)
		missing += min(max(taken.deficit, 0), spec.Size.MilliCPU)
	}
	return len(slots) >= spec.Tasks && missing*nearlyThere <= need
}
