package placement

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// claimTimeout is how long urgent work waits for its victims to end before it
// looks elsewhere: a worker that was cut off ends nothing until its lease does.
const claimTimeout = 5 * time.Second

// claim keeps the room of preempted allocations for one urgent task.
type claim struct {
	set    *claimSet
	index  int // of the task
	worker *worker
	ready  bool // the worker has the room
}

// claimSet is the claims of an urgent task, or of all tasks of an urgent gang,
// which are placed together.
type claimSet struct {
	job    *job
	size   cell.Resources
	claims []*claim
	ready  int
	done   bool // placed or dropped
}

// addClaim keeps room on w for one more task of the set. Team usage is counted
// at once, so that the quota and the limit of urgent work hold.
func (s *Scheduler) addClaim(set *claimSet, index int, w *worker) {
	c := &claim{set: set, index: index, worker: w}
	set.claims = append(set.claims, c)
	w.claims = append(w.claims, c)
	w.urgentHold = w.urgentHold.Add(set.size)
	s.countTeam(set.job.team, set.size, true, 1)
	s.changed(w)
}

// countTeam adds size to the usage of a team, or takes it off where sign is -1.
func (s *Scheduler) countTeam(t *team, size cell.Resources, urgent bool, sign int64) {
	t.usage = t.usage.Add(size.Scale(sign))
	if urgent {
		t.urgentUsage += sign * size.MilliCPU
	}
	t.refreshFairness(s.total)
}

// removeClaim undoes addClaim.
func (s *Scheduler) removeClaim(c *claim) {
	w := c.worker
	w.claims = slices.DeleteFunc(w.claims, func(o *claim) bool { return o == c })
	w.urgentHold = w.urgentHold.Sub(c.set.size)
	s.countTeam(c.set.job.team, c.set.size, true, -1)
	s.teamFreed(c.set.job.team)
	s.gained(w)
}

// checkClaims marks the claims of a worker for which it has room now.
func (s *Scheduler) checkClaims(w *worker) {
	room := w.free()
	for _, c := range w.claims {
		ready := c.set.size.Fits(room)
		if ready {
			room = room.Sub(c.set.size)
		}
		if ready == c.ready {
			continue
		}
		c.ready = ready
		if !ready {
			c.set.ready--
			continue
		}
		c.set.ready++
		if c.set.ready == len(c.set.claims) {
			s.readyClaims = append(s.readyClaims, c.set)
		}
	}
}

// placeClaims places the urgent work whose room is there.
func (s *Scheduler) placeClaims(plan *state.CommitPlan) {
	// Placing one set may make others ready, which are appended.
	for i := 0; i < len(s.readyClaims); i++ {
		set := s.readyClaims[i]
		if set.done || set.ready < len(set.claims) {
			continue
		}
		s.closeClaims(set)
		for _, c := range set.claims {
			s.reserve(plan, set.job, c.index, c.worker)
		}
	}
	clear(s.readyClaims)
	s.readyClaims = s.readyClaims[:0]
}

func (s *Scheduler) closeClaims(set *claimSet) {
	set.done = true
	set.job.claims = slices.DeleteFunc(set.job.claims, func(o *claimSet) bool { return o == set })
	for _, c := range set.claims {
		s.removeClaim(c)
	}
}

// dropClaims gives the claims of a set up. Its tasks wait again unless their
// job has ended.
func (s *Scheduler) dropClaims(set *claimSet) {
	if set.done {
		return
	}
	s.closeClaims(set)
	if set.job.ended {
		return
	}
	for _, c := range set.claims {
		s.enqueue(set.job, c.index)
	}
}

// dropWorkerClaims gives up the claims on a worker that may not be used.
func (s *Scheduler) dropWorkerClaims(w *worker) {
	for len(w.claims) > 0 {
		s.dropClaims(w.claims[0].set)
	}
}

// claimsDue gives up claims whose victims did not end in time. What is still
// running on their workers is not counted on any more.
func (s *Scheduler) claimsDue(set *claimSet) {
	if set.done {
		return
	}
	for _, c := range set.claims {
		if c.ready {
			continue
		}
		for _, a := range c.worker.allocations {
			before := a.leaving()
			a.stuck = a.stopping
			a.countLeaving(before)
		}
	}
	s.dropClaims(set)
}
