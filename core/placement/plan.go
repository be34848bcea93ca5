package placement

import (
	"time"

	"github.com/godwitlink/godwitlink/core/state"
)

// Plan returns a plan with at most limit placements: urgent work first, then by fair shares. If
// nothing has changed since the last call, it does almost no work.
func (s *Scheduler) Plan(now time.Time, limit int) state.CommitPlan {
	s.advance(now)
	s.runTimers()
	s.wakeClasses()
	var plan state.CommitPlan
	s.placeReadyClaims(&plan)
	s.placeFulfilled(func(c *taskClass) { s.tryClass(&plan, c) })
	tries := minFailedTries + failedTriesPerPlacement*limit
	for len(plan.Placements) < limit && tries > 0 {
		c := s.nextClass()
		if c == nil && s.wakeClasses() {
			continue
		}
		if c == nil {
			break
		}
		if !s.tryClass(&plan, c) {
			tries--
		}
	}
	s.reviewReservations()
	return plan
}

// nextClass returns the ready class that comes first by classBefore, or nil.
func (s *Scheduler) nextClass() *taskClass {
	var best *taskClass
	for _, t := range s.active {
		if c := t.ready[0]; best == nil || classBefore(c, best) {
			best = c
		}
	}
	return best
}

// classBefore reports whether a is scheduled before b, which may belong to another team. Urgent
// classes come first, then teams below their share, then the others. Within these, classes are
// ordered by age, with a penalty for teams above their share. An order by share alone gave the
// resources that large tasks waited for to the small tasks of many teams.
func classBefore(a, b *taskClass) bool {
	if a.urgent() != b.urgent() {
		return a.urgent()
	}
	if !a.urgent() {
		if a.team.belowShare != b.team.belowShare {
			return a.team.belowShare
		}
		if ta, tb := a.orderTime+a.team.orderPenalty, b.orderTime+b.team.orderPenalty; ta != tb {
			return ta < tb
		}
	}
	if a.orderTime != b.orderTime {
		return a.orderTime < b.orderTime
	}
	return a.head.id < b.head.id
}

// tryClass places the first task of a class, or all tasks of its first gang. If they cannot be
// placed, it removes the class from the ready classes and returns false.
func (s *Scheduler) tryClass(plan *state.CommitPlan, c *taskClass) bool {
	if c.gang() {
		return s.tryGang(plan, c)
	}
	if reason := c.checkTeamLimits(1); reason != ReasonNone {
		s.blockOnTeamLimit(c, reason)
		return false
	}
	w := s.chooseWorker(c.head, c.scope, c.key.size)
	if w == nil && c.urgent() {
		return s.tryPreempt(plan, c, 1)
	}
	if w == nil {
		w = s.backfillWorker(c)
	}
	if w == nil {
		s.blockOnCapacity(c, ReasonNoRoom)
		return false
	}
	j, index := s.dequeueTask(c)
	s.reserve(plan, j, index, w)
	return true
}

// tryPreempt preempts allocations for urgent tasks. These leave the queue and wait for the
// resources with claims.
func (s *Scheduler) tryPreempt(plan *state.CommitPlan, c *taskClass, count int) bool {
	if s.preempt(plan, c, count) {
		return true
	}
	s.blockOnCapacity(c, ReasonNoRoom)
	return false
}
