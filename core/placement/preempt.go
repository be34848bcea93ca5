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
	// preemptCandidates is the number of workers with enough to preempt that
	// are compared.
	preemptCandidates = 32
	// preemptVisits bounds the allocations looked at for one urgent task.
	preemptVisits = 4096
)

// victimList holds the allocations of a group that urgent work may preempt and
// that were placed with the same ability to checkpoint, the youngest first.
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

// victimsOf returns the list in which an allocation is while it is a victim.
func (g *group) victimsOf(a *allocation) *victimList {
	if a.job.spec.Checkpoints {
		return &g.victims[0]
	}
	return &g.victims[1]
}

// updateVictim counts what an allocation offers to urgent work, by the policy in
// force.
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

// removeVictim takes an allocation out of what urgent work may take.
func (s *Scheduler) removeVictim(a *allocation) {
	if !a.preemptible {
		return
	}
	a.preemptible = false
	a.worker.group.victimsOf(a).remove(a)
	a.worker.preemptible = a.worker.preemptible.Sub(a.booked)
}

// releasing reports whether the room of an allocation is expected back soon.
func (a *allocation) releasing() bool { return a.stopping && !a.stopOverdue }

// setStopping notes that an allocation is to end, or not after all.
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

// preempt finds room for the first task of an urgent class, or for its first
// gang, by stopping other work. The tasks leave the queue and hold claims.
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

// expectedFree returns the room of a worker for urgent work once everything that
// was told to stop has ended.
func (w *worker) expectedFree() cell.Resources {
	return w.free().Add(w.releasing).Sub(w.claimed)
}

// findVictims returns the worker on which room for an urgent task costs the least
// work, and the allocations to stop there.
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

// reservedWorkerFor returns a worker on which only the reservation of a gang keeps the
// room.
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

// victimKinds is the number of victim lists of a group: tasks that can
// checkpoint, then those that cannot.
const victimKinds = 2

// victimSearch compares workers by the work that preemption there would lose.
type victimSearch struct {
	now    time.Time
	size   cell.Resources
	visits int
	worker *worker
	cost   preemptionCost
	chosen []*allocation
}

func (v *victimSearch) scan(a *allocation, stamp uint64) {
	found := 0
	for ; a != nil && v.visits > 0 && found < preemptCandidates; a = a.nextVictim {
		v.visits--
		w := a.worker
		if w.searchID == stamp || !w.usable() || !v.size.Fits(w.expectedFree().Add(w.preemptible)) {
			continue
		}
		w.searchID = stamp
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

// cheapestVictims returns the allocations to stop on w: taken in order of their loss
// until the task fits, less those that turn out not to be needed.
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

// lostProcessorTime returns the processor time that stopping an allocation would waste. A
// task of a gang takes the work of the others with it.
func (a *allocation) lostProcessorTime(now time.Time) float64 {
	if a.job.spec.Checkpoints {
		return 0
	}
	elapsed := now.Sub(a.placedAt).Seconds()
	return elapsed * float64(max(a.size.MilliCPU, 1)) * float64(a.job.dependentTasks())
}

// compareLoss compares two victims on one worker: checkpoints first, then the
// younger by powers of two of the age, then the lower priority.
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

// preemptionCost is the cost of a set of victims.
type preemptionCost struct {
	lostTime      float64 // processor time in thousandths of a core times seconds
	normalVictims int     // victims that are not of low priority
	victims       int
}

func (l *preemptionCost) add(a *allocation, now time.Time) {
	l.lostTime += a.lostProcessorTime(now)
	l.victims++
	if a.job.spec.Priority != cell.PriorityLow {
		l.normalVictims++
	}
}

func (l preemptionCost) compare(o preemptionCost) int {
	return cmp.Or(cmp.Compare(l.lostTime, o.lostTime), cmp.Compare(l.normalVictims, o.normalVictims), cmp.Compare(l.victims, o.victims))
}
