package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

const (
	// preemptCandidates is the number of workers with enough preemptible work that are compared.
	preemptCandidates = 32
	// preemptVisits bounds the allocations that are visited for one urgent task.
	preemptVisits = 4096
)

// victimList holds the preemptible allocations of a group, those that can checkpoint and those that
// cannot in separate lists, most recent first.
type victimList struct{ head *allocation }

func (l *victimList) push(a *allocation) {
	a.nextVictim, a.prevVictim = l.head, nil
	if l.head != nil {
		l.head.prevVictim = a
	}
	l.head = a
}

func (l *victimList) remove(a *allocation) {
	if a.prevVictim == nil {
		l.head = a.nextVictim
	} else {
		a.prevVictim.nextVictim = a.nextVictim
	}
	if a.nextVictim != nil {
		a.nextVictim.prevVictim = a.prevVictim
	}
	a.nextVictim, a.prevVictim = nil, nil
}

// victimsOf returns the list for an allocation that may be preempted.
func (g *workerGroup) victimsOf(a *allocation) *victimList {
	if a.job.spec.Checkpoints {
		return &g.victims[0]
	}
	return &g.victims[1]
}

// updateVictim updates whether an allocation may be preempted under the current policies.
func (s *Scheduler) updateVictim(a *allocation) {
	preemptible := a.job != nil && a.id != 0 && !a.urgent && !a.stopping && a.worker.group != nil &&
		s.config.policies[a.job.spec.Policy].Preemptible
	if preemptible == a.preemptible {
		return
	}
	a.preemptible = preemptible
	w := a.worker
	if preemptible {
		w.group.victimsOf(a).push(a)
		w.preemptible = w.preemptible.Add(a.booked)
		return
	}
	w.group.victimsOf(a).remove(a)
	w.preemptible = w.preemptible.Sub(a.booked)
}

// removeVictim excludes an allocation from preemption.
func (s *Scheduler) removeVictim(a *allocation) {
	if !a.preemptible {
		return
	}
	a.preemptible = false
	a.worker.group.victimsOf(a).remove(a)
	a.worker.preemptible = a.worker.preemptible.Sub(a.booked)
}

// releasing reports whether the resources of an allocation are expected to become free soon.
func (a *allocation) releasing() bool { return a.stopping && !a.stopOverdue }

// setStopping records that an allocation is being stopped, or that its stop was revoked.
func (s *Scheduler) setStopping(a *allocation, stopping bool) {
	before := a.releasing()
	a.stopping = stopping
	a.updateReleasing(before)
	s.updateVictim(a)
}

func (a *allocation) updateReleasing(before bool) {
	w := a.worker
	switch after := a.releasing(); {
	case after && !before:
		w.releasing = w.releasing.Add(a.booked)
	case before && !after:
		w.releasing = w.releasing.Sub(a.booked)
	}
}

// preempt stops other work for the first task of an urgent class, or for all tasks of its first
// gang. The tasks leave the queue and hold claims.
func (s *Scheduler) preempt(plan *state.CommitPlan, c *taskClass, count int) bool {
	set := &claimSet{job: c.head, size: c.key.size}
	var stopped []*allocation
	for range count {
		w, victims := s.findVictims(c.scope, c.key.size)
		if w == nil {
			s.undoPreemption(set, stopped)
			return false
		}
		for _, a := range victims {
			a.claims = set
			s.setStopping(a, true)
		}
		stopped = append(stopped, victims...)
		s.addClaim(set, 0, w)
	}
	for _, claim := range set.claims {
		_, claim.taskIndex = s.dequeueTask(c)
	}
	for _, a := range stopped {
		plan.Preemptions = append(plan.Preemptions, a.id)
	}
	set.job.claims = append(set.job.claims, set)
	s.startTimer(timer{at: s.now.Add(claimTimeout).UnixNano(), claims: set})
	for _, claim := range set.claims {
		s.updateClaimReadiness(claim.worker)
	}
	return true
}

func (s *Scheduler) undoPreemption(set *claimSet, stopped []*allocation) {
	for _, c := range set.claims {
		s.removeClaim(c)
	}
	for _, a := range stopped {
		a.claims = nil
		s.setStopping(a, false)
	}
}

// cancelPreemption undoes a planned preemption that was not committed.
func (s *Scheduler) cancelPreemption(id cell.AllocationID) {
	a := s.allocations[id]
	if a == nil || a.stopCommitted || a.claims == nil {
		return
	}
	set := a.claims
	a.claims = nil
	s.setStopping(a, false)
	s.cancelClaims(set)
}

// expectedFree returns the resources that will be free for urgent tasks once all stopping
// allocations have ended.
func (w *worker) expectedFree() cell.Resources {
	return w.free().Add(w.releasing).Sub(w.claimed)
}

// findVictims returns the worker on which preemption for an urgent task loses the least work, and
// the allocations to stop there.
func (s *Scheduler) findVictims(sc *scope, size cell.Resources) (*worker, []*allocation) {
	if w := reservedWorkerFor(s.reservations, sc, size); w != nil {
		return w, nil
	}
	search := victimSearch{now: s.now, size: size, visits: preemptVisits}
	s.searchID++
	for kind := range victimKinds {
		for _, g := range sc.groups {
			search.scan(g.victims[kind].head, s.searchID)
		}
		if search.worker != nil {
			break
		}
	}
	return search.worker, search.chosen
}

// reservedWorkerFor returns a worker that has size free except for a reservation, which does not
// bind urgent tasks.
func reservedWorkerFor(reservations []*reservation, sc *scope, size cell.Resources) *worker {
	for _, r := range reservations {
		for _, assigned := range r.assignments {
			if w := assigned.worker; w.usable() && slices.Contains(sc.groups, w.group) && size.Fits(w.free().Sub(w.claimed)) {
				return w
			}
		}
	}
	return nil
}

// victimKinds is the number of victim lists of a group: one for tasks that can checkpoint and one
// for tasks that cannot.
const victimKinds = 2

// victimSearch compares workers by the work that a preemption would lose.
type victimSearch struct {
	now    time.Time
	size   cell.Resources
	visits int
	worker *worker
	cost   preemptionCost
	chosen []*allocation
}

func (v *victimSearch) scan(a *allocation, searchID uint64) {
	found := 0
	for ; a != nil && v.visits > 0 && found < preemptCandidates; a = a.nextVictim {
		v.visits--
		w := a.worker
		if w.searchID == searchID || !w.usable() || !v.size.Fits(w.expectedFree().Add(w.preemptible)) {
			continue
		}
		w.searchID = searchID
		found++
		v.consider(w)
	}
}

func (v *victimSearch) consider(w *worker) {
	victims := v.cheapestVictims(w)
	var cost preemptionCost
	for _, a := range victims {
		cost.add(a, v.now)
	}
	if v.worker == nil || cost.compare(v.cost) < 0 {
		v.worker, v.cost, v.chosen = w, cost, victims
	}
}

// cheapestVictims returns the allocations to stop on w. It adds allocations in the order of
// compareLoss until the task fits, and then removes those that are not needed.
func (v *victimSearch) cheapestVictims(w *worker) []*allocation {
	var victims []*allocation
	for _, a := range w.allocations {
		if a.preemptible {
			victims = append(victims, a)
		}
	}
	slices.SortStableFunc(victims, func(a, b *allocation) int { return a.compareLoss(b, v.now) })
	free := w.expectedFree()
	count := 0
	for ; count < len(victims) && !v.size.Fits(free); count++ {
		free = free.Add(victims[count].booked)
	}
	victims = victims[:count]
	for i := len(victims) - 1; i >= 0; i-- {
		if without := free.Sub(victims[i].booked); v.size.Fits(without) {
			free = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// lostProcessorTime returns the processor time that stopping an allocation would waste. Stopping
// one task of a gang wastes the work of all its tasks.
func (a *allocation) lostProcessorTime(now time.Time) float64 {
	if a.job.spec.Checkpoints {
		return 0
	}
	elapsed := now.Sub(a.placedAt).Seconds()
	return elapsed * float64(max(a.size.MilliCPU, 1)) * float64(a.job.dependentTasks())
}

// compareLoss orders two victims on one worker: tasks that can checkpoint come first, then younger
// tasks, with ages rounded to powers of two of a second, then tasks of lower priority.
func (a *allocation) compareLoss(b *allocation, now time.Time) int {
	if ca, cb := a.job.spec.Checkpoints, b.job.spec.Checkpoints; ca != cb {
		if ca {
			return -1
		}
		return 1
	}
	if d := cmp.Compare(ageBucket(a, now), ageBucket(b, now)); d != 0 {
		return d
	}
	return cmp.Compare(priorityRank(b.job.spec.Priority), priorityRank(a.job.spec.Priority))
}

func ageBucket(a *allocation, now time.Time) int {
	return bits.Len64(uint64(max(now.Sub(a.placedAt)/time.Second, 0)))
}

// preemptionCost is the cost of preempting a set of allocations.
type preemptionCost struct {
	lostTime      float64 // in thousandths of a core times seconds
	normalVictims int     // victims above low priority
	victims       int
}

func (c *preemptionCost) add(a *allocation, now time.Time) {
	c.lostTime += a.lostProcessorTime(now)
	c.victims++
	if a.job.spec.Priority != cell.PriorityLow {
		c.normalVictims++
	}
}

func (c preemptionCost) compare(o preemptionCost) int {
	return cmp.Or(cmp.Compare(c.lostTime, o.lostTime), cmp.Compare(c.normalVictims, o.normalVictims), cmp.Compare(c.victims, o.victims))
}
