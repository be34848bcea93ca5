package placement

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
)

// maxWakePerChange is the number of classes that one call wakes for one change. Each
// is tried, and the room of one worker serves few of them; the others are
// looked at again when these have been tried.
const maxWakePerChange = 16

// classList is an unordered set of classes that wait for the same change.
type classList struct{ classes []*taskClass }

func (l *classList) add(c *taskClass) {
	c.waitList, c.waitIndex = l, len(l.classes)
	l.classes = append(l.classes, c)
}

// remove takes c out. A nil list holds nothing.
func (l *classList) remove(c *taskClass) {
	if l == nil {
		return
	}
	last := l.classes[len(l.classes)-1]
	l.classes[c.waitIndex], last.waitIndex = last, c.waitIndex
	l.classes[len(l.classes)-1] = nil
	l.classes = l.classes[:len(l.classes)-1]
	c.waitList = nil
}

// firstInOrder adds to found the classes that pass ok, up to limit of them, those
// whose turn comes first.
func (l *classList) firstInOrder(found []*taskClass, limit int, ok func(*taskClass) bool) []*taskClass {
	for _, c := range l.classes {
		if len(found) == limit && !c.precedes(found[limit-1]) || !ok(c) {
			continue
		}
		at := len(found)
		for at > 0 && c.precedes(found[at-1]) {
			at--
		}
		found = slices.Insert(found, at, c)
		found = found[:min(len(found), limit)]
	}
	return found
}

// blockOnTeamLimit takes a class out until its team uses less.
func (s *Scheduler) blockOnTeamLimit(c *taskClass, reason Reason) {
	s.removeReady(c)
	c.waitReason = reason
	c.team.quotaBlocked.add(c)
}

// noteUsageFreed notes that a team uses less than before.
func (s *Scheduler) noteUsageFreed(t *team) {
	if !t.usageFreed && len(t.quotaBlocked.classes) > 0 {
		t.usageFreed = true
		s.usageFreedTeams = append(s.usageFreedTeams, t)
	}
}

// wake makes ready what the changes since the last call may have made possible,
// and reports whether there is any.
func (s *Scheduler) wake() bool {
	freed := s.wakeTeamBlocked()
	return s.wakeBlocked() || freed
}

// wakeTeamBlocked makes ready some of what the quotas of the freed teams admit now.
func (s *Scheduler) wakeTeamBlocked() bool {
	woken := false
	teams := s.usageFreedTeams
	s.usageFreedTeams = s.usageFreedTeams[:0]
	for _, t := range teams {
		s.classBuffer = t.quotaBlocked.firstInOrder(s.classBuffer[:0], maxWakePerChange, func(c *taskClass) bool {
			return c.checkTeamLimits(c.tasksPerPlacement()) == ReasonNone
		})
		for _, c := range s.classBuffer {
			c.waitList.remove(c)
			s.makeReady(c)
		}
		t.usageFreed = len(s.classBuffer) == maxWakePerChange
		if t.usageFreed {
			s.usageFreedTeams = append(s.usageFreedTeams, t)
		}
		woken = woken || len(s.classBuffer) > 0
	}
	return woken
}

// tasksPerPlacement is the number of tasks of the class that start together.
func (c *taskClass) tasksPerPlacement() int {
	if c.gang() {
		return len(c.head.queued)
	}
	return 1
}

// block takes a class out until a worker of its scope gains room.
func (s *Scheduler) block(c *taskClass, reason Reason) {
	s.removeReady(c)
	c.waitReason = reason
	c.triedGainSeq = c.scope.gainSeq
	c.scope.addBlocked(c)
	s.delayRetry(c)
	if s.nextReview.IsZero() {
		s.nextReview = s.now.Add(reviewInterval)
	}
	if c.gang() && !c.reservationConsidered {
		c.reservationConsidered = true
		s.reviewPending = true
	}
}

// delayRetry keeps expensive searches for one class apart.
func (s *Scheduler) delayRetry(c *taskClass) {
	switch {
	case c.gang():
		c.retryAt = s.now.Add(gangRetryInterval)
	case c.urgent():
		c.retryAt = s.now.Add(urgentRetryInterval)
	}
}

// scheduleRetry makes a blocked class ready at its retryAt.
func (s *Scheduler) scheduleRetry(c *taskClass) {
	if !c.retryTimerSet {
		c.retryTimerSet = true
		s.startTimer(timer{at: c.retryAt.UnixNano(), class: c})
	}
}

// workerChanged refreshes the index after a change of a worker.
func (s *Scheduler) workerChanged(w *worker) {
	if w.group == nil {
		return
	}
	w.unhealthy = !w.health.acceptsTask(s.now)
	w.group.index.update(w)
	w.updateGroupLoad()
	if w.reservation != nil {
		s.updateReservationReadiness(w)
	}
	if len(w.claims) > 0 {
		s.updateClaimReadiness(w)
	}
}

// updateGroupLoad refreshes what the worker contributes to the load of its group.
func (w *worker) updateGroupLoad() {
	g := w.group
	g.capacity, g.used = g.capacity.Sub(w.countedCapacity), g.used.Sub(w.countedUsed)
	w.countedCapacity, w.countedUsed = cell.Resources{}, cell.Resources{}
	if w.usable() {
		w.countedCapacity, w.countedUsed = w.Capacity, w.used
	}
	g.capacity, g.used = g.capacity.Add(w.countedCapacity), g.used.Add(w.countedUsed)
}

// capacityGained is changed for a worker that may have more room than before, which
// is noted for the classes that wait for some.
func (s *Scheduler) capacityGained(w *worker) {
	s.workerChanged(w)
	if w.group == nil || !w.usable() {
		return
	}
	available := w.available()
	reservedBackfill := w.reservation != nil && s.now.Before(w.reservation.backfillUntil)
	for _, sc := range w.group.scopes {
		sc.gainedCapacity = maxResources(sc.gainedCapacity, available)
		sc.gainSeq++
		sc.gainPending = true
		if reservedBackfill {
			sc.reservedGain = maxResources(sc.reservedGain, available.Add(w.reserved))
			sc.reservedGainPending = true
		}
	}
}

// offerReservedGain adds the room gained on reserved workers to what is offered. It is
// paced because most classes that fit there do not end in time.
func (s *Scheduler) offerReservedGain(sc *scope) {
	if !sc.reservedGainPending || s.now.Before(sc.nextBackfillAt) {
		return
	}
	sc.gainedCapacity = maxResources(sc.gainedCapacity, sc.reservedGain)
	sc.gainSeq++
	sc.gainPending = true
	sc.reservedGain, sc.reservedGainPending, sc.reservedGainOffered = cell.Resources{}, false, true
	sc.nextBackfillAt = s.now.Add(backfillInterval)
}

// wakeBlocked makes ready some of the blocked classes that may fit the room
// gained, and reports whether there are any.
func (s *Scheduler) wakeBlocked() bool {
	woken := false
	for _, sc := range s.scopeList {
		s.offerReservedGain(sc)
		if !sc.gainPending {
			continue
		}
		found := s.classesToTry(sc)
		for _, c := range found {
			sc.removeBlocked(c)
			s.makeReady(c)
		}
		if len(found) < maxWakePerChange {
			sc.gainedCapacity, sc.gainPending, sc.reservedGainOffered = cell.Resources{}, false, false
		}
		woken = woken || len(found) > 0
	}
	return woken
}

// classesToTry returns the classes to try for the room gained, at most
// wakeLimit, those whose turn comes first. The slice is valid until the next
// call.
func (s *Scheduler) classesToTry(sc *scope) []*taskClass {
	found := s.classBuffer[:0]
	clear(s.fitsCache)
	for _, sh := range sc.sizeRanges {
		if sh.triedGainSeq == sc.gainSeq || len(sh.queues) == 0 || !sh.mayFit(sc) {
			continue
		}
		before := len(found)
		for _, b := range sh.queues {
			found = s.addClassToTry(found, sc, b)
		}
		if len(found) == before {
			sh.triedGainSeq = sc.gainSeq
		}
	}
	s.classBuffer = found
	return found
}

// mayFit reports whether the room gained may suit any class of the shape.
// Urgent classes are offered any gain: it may complete what preemption frees.
func (sh *sizeRange) mayFit(sc *scope) bool {
	return sh.urgent || (sh.minSize.Fits(sc.gainedCapacity) && sc.anyWorkerFits(sh.minSize))
}

// addClassToTry adds the first class of a bucket where it may fit. The others of
// the bucket have the same size and team and are behind it.
func (s *Scheduler) addClassToTry(found []*taskClass, sc *scope, b *blockedQueue) []*taskClass {
	c := b.classes[0]
	if !c.urgent() && !c.key.size.Fits(sc.gainedCapacity) {
		return found
	}
	if len(found) == maxWakePerChange && !classBefore(c, found[maxWakePerChange-1]) || !s.mayRetry(c) {
		return found
	}
	if !c.urgent() && !s.anyWorkerFitsCached(sc, c.key.size) {
		c.triedGainSeq = sc.gainSeq
		return found
	}
	at := len(found)
	for at > 0 && classBefore(c, found[at-1]) {
		at--
	}
	found = slices.Insert(found, at, c)
	return found[:min(len(found), maxWakePerChange)]
}

// mayRetry reports whether a class has not been tried since the last gain and
// its pace allows another search.
func (s *Scheduler) mayRetry(c *taskClass) bool {
	if c.triedGainSeq == c.scope.gainSeq {
		return false
	}
	if s.now.Before(c.retryAt) {
		s.scheduleRetry(c)
		return false
	}
	return true
}

// anyWorkerFitsCached is hasRoom with a memory that lasts for one call of
// fittingClasses.
func (s *Scheduler) anyWorkerFitsCached(sc *scope, size cell.Resources) bool {
	fits, known := s.fitsCache[size]
	if !known {
		fits = sc.anyWorkerFits(size)
		s.fitsCache[size] = fits
	}
	return fits
}

// anyWorkerFits reports whether any worker has size available. While reserved
// workers are offered for backfill, they count.
func (sc *scope) anyWorkerFits(size cell.Resources) bool {
	if sc.reservedGainOffered && size.Fits(sc.gainedCapacity) {
		return true
	}
	found := false
	for _, g := range sc.groups {
		g.visitFitting(size, func(*worker) bool {
			found = true
			return false
		})
		if found {
			return true
		}
	}
	return false
}

// wakeAll makes every waiting class ready, after a change of the rules.
func (s *Scheduler) wakeAll() {
	for _, t := range s.teamList {
		s.makeAllReady(&t.quotaBlocked)
	}
	for _, sc := range s.scopeList {
		for _, c := range sc.blockedClasses() {
			sc.removeBlocked(c)
			s.makeReady(c)
		}
	}
}

func (s *Scheduler) makeAllReady(l *classList) {
	for len(l.classes) > 0 {
		c := l.classes[len(l.classes)-1]
		l.remove(c)
		s.makeReady(c)
	}
}

func minResources(a, b cell.Resources) cell.Resources {
	return cell.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func maxResources(a, b cell.Resources) cell.Resources {
	return cell.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
