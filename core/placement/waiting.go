package placement

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
)

// maxWakePerChange is the number of classes that one call makes ready for one change. Each of them
// is tried, and one worker has resources for few of them; the remaining classes are considered
// after these have been tried.
const maxWakePerChange = 16

// classList is an unordered set of classes that wait for the same event.
type classList struct{ classes []*taskClass }

func (l *classList) add(c *taskClass) {
	c.waitList, c.waitIndex = l, len(l.classes)
	l.classes = append(l.classes, c)
}

// remove removes c. It does nothing on a nil list.
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

// firstInOrder appends to found the classes for which eligible returns true, in the order of
// precedes, at most limit of them.
func (l *classList) firstInOrder(found []*taskClass, limit int, eligible func(*taskClass) bool) []*taskClass {
	for _, c := range l.classes {
		if len(found) == limit && !c.precedes(found[limit-1]) || !eligible(c) {
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

// blockOnTeamLimit removes a class from the ready classes until its team uses less.
func (s *Scheduler) blockOnTeamLimit(c *taskClass, reason Reason) {
	s.removeReady(c)
	c.waitReason = reason
	c.team.limitBlocked.add(c)
}

// noteUsageFreed records that a team uses less than before.
func (s *Scheduler) noteUsageFreed(t *team) {
	if !t.usageFreed && len(t.limitBlocked.classes) > 0 {
		t.usageFreed = true
		s.usageFreedTeams = append(s.usageFreedTeams, t)
	}
}

// wakeClasses makes classes ready that may fit after the changes since the last call, and reports
// whether there are any.
func (s *Scheduler) wakeClasses() bool {
	freed := s.wakeTeamBlocked()
	return s.wakeBlocked() || freed
}

// wakeTeamBlocked makes classes ready that the limits of their teams admit again, and reports
// whether there are any.
func (s *Scheduler) wakeTeamBlocked() bool {
	woken := false
	teams := s.usageFreedTeams
	s.usageFreedTeams = s.usageFreedTeams[:0]
	for _, t := range teams {
		s.classBuffer = t.limitBlocked.firstInOrder(s.classBuffer[:0], maxWakePerChange, func(c *taskClass) bool {
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

// tasksPerPlacement returns the number of tasks of the class that start together.
func (c *taskClass) tasksPerPlacement() int {
	if c.gang() {
		return len(c.head.queued)
	}
	return 1
}

// blockOnCapacity removes a class from the ready classes until resources become free on a worker of
// its scope.
func (s *Scheduler) blockOnCapacity(c *taskClass, reason Reason) {
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

// delayRetry sets the least time between two searches for a class whose search is expensive.
func (s *Scheduler) delayRetry(c *taskClass) {
	switch {
	case c.gang():
		c.retryAt = s.now.Add(gangRetryInterval)
	case c.urgent():
		c.retryAt = s.now.Add(urgentRetryInterval)
	}
}

// scheduleRetry sets a timer that makes a blocked class ready at its retryAt.
func (s *Scheduler) scheduleRetry(c *taskClass) {
	if !c.retryTimerSet {
		c.retryTimerSet = true
		s.startTimer(timer{at: c.retryAt.UnixNano(), class: c})
	}
}

// workerChanged updates everything that is derived from the resources of a worker.
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

// updateGroupLoad updates the contribution of the worker to the load of its group.
func (w *worker) updateGroupLoad() {
	g := w.group
	g.capacity, g.used = g.capacity.Sub(w.countedCapacity), g.used.Sub(w.countedUsed)
	w.countedCapacity, w.countedUsed = cell.Resources{}, cell.Resources{}
	if w.usable() {
		w.countedCapacity, w.countedUsed = w.Capacity, w.used
	}
	g.capacity, g.used = g.capacity.Add(w.countedCapacity), g.used.Add(w.countedUsed)
}

// capacityGained is workerChanged for a worker that may have more available resources than before.
// It records them for the blocked classes.
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

// offerReservedGain adds the resources gained on reserved workers to those that are offered to
// blocked classes. It is rate limited because most classes that fit there would not end in time.
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

// wakeBlocked makes blocked classes ready that may fit the gained resources, and reports whether
// there are any.
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

// classesToTry returns the first blocked classes that may fit the gained resources, at most
// maxWakePerChange of them. The slice is valid until the next call.
func (s *Scheduler) classesToTry(sc *scope) []*taskClass {
	found := s.classBuffer[:0]
	clear(s.fitsCache)
	for _, sizes := range sc.sizeRanges {
		if sizes.triedGainSeq == sc.gainSeq || len(sizes.queues) == 0 || !sizes.mayFit(sc) {
			continue
		}
		before := len(found)
		for _, queue := range sizes.queues {
			found = s.addClassToTry(found, sc, queue)
		}
		if len(found) == before {
			sizes.triedGainSeq = sc.gainSeq
		}
	}
	s.classBuffer = found
	return found
}

// mayFit reports whether the gained resources may fit any class of the size range. It is always
// true for urgent classes: small gains can add up to what a preemption needs.
func (sizes *sizeRange) mayFit(sc *scope) bool {
	return sizes.urgent || (sizes.minSize.Fits(sc.gainedCapacity) && sc.anyWorkerFits(sizes.minSize))
}

// addClassToTry adds the first class of a queue to found if it may fit. The other classes of the
// queue have the same size and team and come after it.
func (s *Scheduler) addClassToTry(found []*taskClass, sc *scope, queue *blockedQueue) []*taskClass {
	c := queue.classes[0]
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

// mayRetry reports whether a class has not been tried since the last gain and its retryAt has
// passed. If only retryAt has not passed, it schedules a retry.
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

// anyWorkerFitsCached is anyWorkerFits with a cache that is cleared by each call of classesToTry.
func (s *Scheduler) anyWorkerFitsCached(sc *scope, size cell.Resources) bool {
	fits, known := s.fitsCache[size]
	if !known {
		fits = sc.anyWorkerFits(size)
		s.fitsCache[size] = fits
	}
	return fits
}

// anyWorkerFits reports whether any worker has size available. Reserved workers count while they
// are offered for backfill.
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

// wakeAllClasses makes every waiting class ready after a change of the cell file.
func (s *Scheduler) wakeAllClasses() {
	for _, t := range s.teamList {
		s.makeAllReady(&t.limitBlocked)
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
