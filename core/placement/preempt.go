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

// markVictim counts what an allocation offers to urgent work, by the policy in
// force.
func (s *Scheduler) markVictim(a *allocation) {
	offered := a.job != nil && a.id != 0 && !a.urgent && !a.stopping && a.worker.group != nil &&
		s.config.policies[a.job.spec.Policy].Preemptible
	if offered == a.victim {
		return
	}
	a.victim = offered
	w := a.worker
	if offered {
		w.group.victimsOf(a).push(a)
		w.preemptible = w.preemptible.Add(a.booked)
		return
	}
	w.group.victimsOf(a).remove(a)
	w.preemptible = w.preemptible.Sub(a.booked)
}

// unmarkVictim takes an allocation out of what urgent work may take.
func (s *Scheduler) unmarkVictim(a *allocation) {
	if !a.victim {
		return
	}
	a.victim = false
	a.worker.group.victimsOf(a).remove(a)
	a.worker.preemptible = a.worker.preemptible.Sub(a.booked)
}

// leaving reports whether the room of an allocation is expected back soon.
func (a *allocation) leaving() bool { return a.stopping && !a.stuck }

// setStopping notes that an allocation is to end, or not after all.
func (s *Scheduler) setStopping(a *allocation, stopping bool) {
	before := a.leaving()
	a.stopping = stopping
	a.countLeaving(before)
	s.markVictim(a)
}

func (a *allocation) countLeaving(before bool) {
	w := a.worker
	switch after := a.leaving(); {
	case after && !before:
		w.leaving = w.leaving.Add(a.booked)
	case before && !after:
		w.leaving = w.leaving.Sub(a.booked)
	}
}

// preempt finds room for the first task of an urgent class, or for its first
// gang, by stopping other work. The tasks leave the queue and hold claims.
func (s *Scheduler) preempt(plan *state.CommitPlan, c *class, count int) bool {
	set := &claimSet{job: c.head, size: c.key.size}
	var stopped []*allocation
	for range count {
		w, victims := s.victims(c.scope, c.key.size)
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
		_, claim.index = s.takeTask(c)
	}
	for _, a := range stopped {
		plan.Preemptions = append(plan.Preemptions, a.id)
	}
	set.job.claims = append(set.job.claims, set)
	s.startTimer(timer{at: s.now.Add(claimTimeout).UnixNano(), claims: set})
	for _, claim := range set.claims {
		s.checkClaims(claim.worker)
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

// withdraw undoes a planned preemption that was not committed.
func (s *Scheduler) withdraw(id cell.AllocationID) {
	a := s.allocations[id]
	if a == nil || a.told || a.claims == nil {
		return
	}
	set := a.claims
	a.claims = nil
	s.setStopping(a, false)
	s.dropClaims(set)
}

// expected returns the room of a worker for urgent work once everything that
// was told to stop has ended.
func (w *worker) expected() cell.Resources {
	return w.free().Add(w.leaving).Sub(w.urgentHold)
}

// victims returns the worker on which room for an urgent task costs the least
// work, and the allocations to stop there.
func (s *Scheduler) victims(sc *scope, size cell.Resources) (*worker, []*allocation) {
	if w := heldRoom(s.reservations, sc, size); w != nil {
		return w, nil
	}
	search := victimSearch{now: s.now, size: size, visits: preemptVisits}
	s.stamp++
	for kind := range victimKinds {
		for _, g := range sc.groups {
			search.scan(g.victims[kind].head, s.stamp)
		}
		if search.worker != nil {
			break
		}
	}
	return search.worker, search.chosen
}

// heldRoom returns a worker on which only the reservation of a gang keeps the
// room.
func heldRoom(reservations []*reservation, sc *scope, size cell.Resources) *worker {
	for _, r := range reservations {
		for _, seat := range r.seats {
			if w := seat.worker; w.usable() && slices.Contains(sc.groups, w.group) && size.Fits(w.free().Sub(w.urgentHold)) {
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
	cost   lostWork
	chosen []*allocation
}

func (v *victimSearch) scan(a *allocation, stamp uint64) {
	found := 0
	for ; a != nil && v.visits > 0 && found < preemptCandidates; a = a.nextVictim {
		v.visits--
		w := a.worker
		if w.stamp == stamp || !w.usable() || !v.size.Fits(w.expected().Add(w.preemptible)) {
			continue
		}
		w.stamp = stamp
		found++
		v.consider(w)
	}
}

func (v *victimSearch) consider(w *worker) {
	victims := v.cheapest(w)
	var cost lostWork
	for _, a := range victims {
		cost.add(a, v.now)
	}
	if v.worker == nil || cost.compare(v.cost) < 0 {
		v.worker, v.cost, v.chosen = w, cost, victims
	}
}

// cheapest returns the allocations to stop on w: taken in order of their loss
// until the task fits, less those that turn out not to be needed.
func (v *victimSearch) cheapest(w *worker) []*allocation {
	var victims []*allocation
	for _, a := range w.allocations {
		if a.victim {
			victims = append(victims, a)
		}
	}
	slices.SortStableFunc(victims, func(a, b *allocation) int { return a.lossOrder(b, v.now) })
	room := w.expected()
	count := 0
	for ; count < len(victims) && !v.size.Fits(room); count++ {
		room = room.Add(victims[count].booked)
	}
	victims = victims[:count]
	for i := len(victims) - 1; i >= 0; i-- {
		if without := room.Sub(victims[i].booked); v.size.Fits(without) {
			room = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// lost returns the processor time that stopping an allocation would waste. A
// task of a gang takes the work of the others with it.
func (a *allocation) lost(now time.Time) float64 {
	if a.job.spec.Checkpoints {
		return 0
	}
	elapsed := now.Sub(a.placedAt).Seconds()
	return elapsed * float64(max(a.size.MilliCPU, 1)) * float64(a.job.gangTasks())
}

// lossOrder compares two victims on one worker: checkpoints first, then the
// younger by powers of two of the age, then the lower priority.
func (a *allocation) lossOrder(b *allocation, now time.Time) int {
	if ca, cb := a.job.spec.Checkpoints, b.job.spec.Checkpoints; ca != cb {
		if ca {
			return -1
		}
		return 1
	}
	if d := cmp.Compare(ageStep(a, now), ageStep(b, now)); d != 0 {
		return d
	}
	return cmp.Compare(rank(b.job.spec.Priority), rank(a.job.spec.Priority))
}

func ageStep(a *allocation, now time.Time) int {
	return bits.Len64(uint64(max(now.Sub(a.placedAt)/time.Second, 0)))
}

// lostWork is the cost of a set of victims.
type lostWork struct {
	work   float64 // processor time in thousandths of a core times seconds
	normal int     // victims that are not of low priority
	count  int
}

func (l *lostWork) add(a *allocation, now time.Time) {
	l.work += a.lost(now)
	l.count++
	if a.job.spec.Priority != cell.PriorityLow {
		l.normal++
	}
}

func (l lostWork) compare(o lostWork) int {
	return cmp.Or(cmp.Compare(l.work, o.work), cmp.Compare(l.normal, o.normal), cmp.Compare(l.count, o.count))
}
