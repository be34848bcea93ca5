package placement

import (
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// tryGang places either all waiting tasks of the first gang of a class or none of them.
func (s *Scheduler) tryGang(plan *state.CommitPlan, c *taskClass) bool {
	j := c.head
	count := len(j.queued)
	if reason := c.checkTeamLimits(count); reason != ReasonNone {
		s.blockOnTeamLimit(c, reason)
		return false
	}
	assignments := s.assignGang(c.scope, c.key.size, count)
	if assignments == nil && c.urgent() {
		return s.tryPreempt(plan, c, count)
	}
	if assignments == nil {
		s.blockOnCapacity(c, ReasonNoRoom)
		return false
	}
	s.dropReservations(c, func(*reservation) bool { return true })
	for _, assigned := range assignments {
		for range assigned.count {
			_, index := s.dequeueTask(c)
			s.reserve(plan, j, index, assigned.worker)
		}
	}
	return true
}

// assignment is a number of tasks to be placed on one worker.
type assignment struct {
	worker *worker
	count  int
}

// assignGang assigns all tasks of a gang to workers of one failure domain. If they do not fit, it
// tries the workers of one region, and then all workers of the scope: traffic between regions is
// slow and billed.
func (s *Scheduler) assignGang(sc *scope, size cell.Resources, count int) []assignment {
	for _, g := range sc.groups {
		if assignments := assignWithin(sc, size, count, func(o *workerGroup) bool { return o.region == g.region && o.domain == g.domain }); assignments != nil {
			return assignments
		}
	}
	for _, g := range sc.groups {
		if assignments := assignWithin(sc, size, count, func(o *workerGroup) bool { return o.region == g.region }); assignments != nil {
			return assignments
		}
	}
	return assignWithin(sc, size, count, func(*workerGroup) bool { return true })
}

func assignWithin(sc *scope, size cell.Resources, count int, inArea func(*workerGroup) bool) []assignment {
	var assignments []assignment
	unassigned := count
	for _, g := range sc.groups {
		if !inArea(g) {
			continue
		}
		g.visitFitting(size, func(w *worker) bool {
			n := min(unassigned, maxTasksIn(w.available(), size))
			assignments = append(assignments, assignment{w, n})
			unassigned -= n
			return unassigned > 0
		})
		if unassigned == 0 {
			return assignments
		}
	}
	return nil
}

// maxTasksIn returns how many tasks of size fit free.
func maxTasksIn(free, size cell.Resources) int {
	n := int64(maxTasksWithoutSize)
	if size.MilliCPU > 0 {
		n = min(n, free.MilliCPU/size.MilliCPU)
	}
	if size.MemoryBytes > 0 {
		n = min(n, free.MemoryBytes/size.MemoryBytes)
	}
	if size.Accelerators > 0 {
		n = min(n, free.Accelerators/size.Accelerators)
	}
	return int(max(n, 0))
}

// maxTasksWithoutSize is the number of tasks that fit a worker if the task size is zero.
const maxTasksWithoutSize = 1 << 16
