package placement

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// claimTimeout is how long an urgent task waits for the preempted allocations to end before another
// worker is sought. A worker that is cut off from the cell ends nothing until its lease has
// expired.
const claimTimeout = 5 * time.Second

// claim keeps the resources of preempted allocations for one urgent task.
type claim struct {
	claimSet  *claimSet
	taskIndex int // index of the task in its job
	worker    *worker
	ready     bool // the task fits the free resources of the worker
}

// claimSet holds the claim of one urgent task, or the claims of all tasks of an urgent gang, which
// are placed together.
type claimSet struct {
	job    *job
	size   cell.Resources
	claims []*claim
	ready  int
	closed bool // placed or cancelled
}

// addClaim claims resources on w for one more task of the set. The usage of the team is counted at
// once, so that placements made before the claim is used cannot exceed its quota or its limit of
// urgent work.
func (s *Scheduler) addClaim(set *claimSet, index int, w *worker) {
	c := &claim{claimSet: set, taskIndex: index, worker: w}
	set.claims = append(set.claims, c)
	w.claims = append(w.claims, c)
	w.claimed = w.claimed.Add(set.size)
	s.addTeamUsage(set.job.team, set.size, true, 1)
	s.workerChanged(w)
}

// addTeamUsage adds size to the usage of a team, or subtracts it if sign is -1.
func (s *Scheduler) addTeamUsage(t *team, size cell.Resources, urgent bool, sign int64) {
	t.usage = t.usage.Add(size.Scale(sign))
	if urgent {
		t.urgentUsage += sign * size.MilliCPU
	}
	t.updateShareRatio(s.totalCapacity)
}

// removeClaim undoes addClaim.
func (s *Scheduler) removeClaim(c *claim) {
	w := c.worker
	w.claims = slices.DeleteFunc(w.claims, func(o *claim) bool { return o == c })
	w.claimed = w.claimed.Sub(c.claimSet.size)
	s.addTeamUsage(c.claimSet.job.team, c.claimSet.size, true, -1)
	s.noteUsageFreed(c.claimSet.job.team)
	s.capacityGained(w)
}

// updateClaimReadiness updates which claims on a worker fit its free resources.
func (s *Scheduler) updateClaimReadiness(w *worker) {
	free := w.free()
	for _, c := range w.claims {
		ready := c.claimSet.size.Fits(free)
		if ready {
			free = free.Sub(c.claimSet.size)
		}
		if ready == c.ready {
			continue
		}
		c.ready = ready
		if !ready {
			c.claimSet.ready--
			continue
		}
		c.claimSet.ready++
		if c.claimSet.ready == len(c.claimSet.claims) {
			s.readyClaims = append(s.readyClaims, c.claimSet)
		}
	}
}

// placeReadyClaims places the tasks of the claim sets whose claims are all ready.
func (s *Scheduler) placeReadyClaims(plan *state.CommitPlan) {
	// Placing one set can make other sets ready; they are appended to readyClaims.
	for i := 0; i < len(s.readyClaims); i++ {
		set := s.readyClaims[i]
		if set.closed || set.ready < len(set.claims) {
			continue
		}
		s.closeClaimSet(set)
		for _, c := range set.claims {
			s.reserve(plan, set.job, c.taskIndex, c.worker)
		}
	}
	clear(s.readyClaims)
	s.readyClaims = s.readyClaims[:0]
}

func (s *Scheduler) closeClaimSet(set *claimSet) {
	set.closed = true
	set.job.claims = slices.DeleteFunc(set.job.claims, func(o *claimSet) bool { return o == set })
	for _, c := range set.claims {
		s.removeClaim(c)
	}
}

// cancelClaims releases the claims of a set. Its tasks are queued again unless their job has ended.
func (s *Scheduler) cancelClaims(set *claimSet) {
	if set.closed {
		return
	}
	s.closeClaimSet(set)
	if set.job.ended {
		return
	}
	for _, c := range set.claims {
		s.enqueue(set.job, c.taskIndex)
	}
}

// cancelWorkerClaims cancels all claims on a worker that may no longer be used.
func (s *Scheduler) cancelWorkerClaims(w *worker) {
	for len(w.claims) > 0 {
		s.cancelClaims(w.claims[0].claimSet)
	}
}

// expireClaims cancels claims whose preempted allocations have not ended within claimTimeout. The
// allocations that are still stopping on their workers no longer count as about to end.
func (s *Scheduler) expireClaims(set *claimSet) {
	if set.closed {
		return
	}
	for _, c := range set.claims {
		if c.ready {
			continue
		}
		for _, a := range c.worker.allocations {
			before := a.releasing()
			a.stopOverdue = a.stopping
			a.updateReleasing(before)
		}
	}
	s.cancelClaims(set)
}
