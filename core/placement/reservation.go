package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

const (
	// reviewInterval is how often the expected start of a reservation is
	// computed again: run times turn out other than expected.
	reviewInterval = time.Second
	// reviewSpacing keeps the forecasts of several reservations apart.
	reviewSpacing = 20 * time.Millisecond
	// backfillInterval is the least time between two offers of reserved workers
	// to the blocked classes of one scope.
	backfillInterval = 100 * time.Millisecond
	// gangRetryInterval is the least time between two searches for one class
	// of gangs, which look at many workers each.
	gangRetryInterval = 50 * time.Millisecond
	// maxGangReservations bounds the room that is kept for gangs.
	maxGangReservations = 8
	// One worker of singlesPart, and minSingles at least, is kept for single
	// large tasks; one class may have classSingles of them.
	workersPerSingleReservation = 64
	minSingleReservations       = 8
	maxClassReservations        = 8
	// reservationDelay is how long gangs, and single tasks of teams below their share,
	// wait for room before workers are reserved for them; longWait is that of
	// other single tasks. Most find room earlier without idle processors.
	reservationDelay       = time.Minute
	singleReservationDelay = 30 * time.Minute
	// overShareReservationDelay is added for teams above their share.
	overShareReservationDelay = 60 * time.Minute
	// minRenewalInterval is the least time between two forecasts of one reservation.
	minRenewalInterval = 5 * time.Second
	// renewalDivisor of the time to the expected start passes between two
	// forecasts of one reservation.
	renewalDivisor = 4
	// backfillWindowFactor bounds backfill on reserved workers to this many times
	// the delay that was expected at first, so that run times that are always
	// underestimated cannot postpone a gang for ever.
	backfillWindowFactor = 1
	// infeasibleRetryDelay is how long a class is left out that could not start even
	// without the other reservations. It must not keep others from reserving.
	infeasibleRetryDelay = 30 * time.Second
	// serviceRunTime stands for the end of a service.
	serviceRunTime = 1000 * time.Hour
)

// reservation keeps workers for a gang, or a single large task, that fits
// nowhere yet. Only the scheduler knows of it and no two reservations share a
// worker, so gangs never wait for each other while holding anything in the
// state. The oldest gangs reserve first; until one of them has got its
// workers, younger ones of the same groups may not reserve.
type reservation struct {
	job             *job // the gang; nil for a single task
	class           *taskClass
	assignments     []assignment
	createdAt       time.Time
	expectedStart   time.Time    // expected
	backfillUntil   time.Time    // end of backfill
	renewAt         time.Time    // when start is computed again
	includeReserved bool         // only a question: workers held by others count
	previous        []assignment // before it is renewed
	dropped         bool
	pendingWorkers  int // workers that do not have their room yet
}

// reviewReservations renews the reservations and makes new ones. One call does
// one forecast at most, because each looks at all running work of a region.
func (s *Scheduler) reviewReservations() {
	due := !s.nextReview.IsZero() && !s.now.Before(s.nextReview)
	if !due && !s.reviewPending {
		return
	}
	s.reviewPending = false
	switch {
	case s.renewOldestDue() || s.reserveForFirst():
		s.nextReview = s.now.Add(reviewSpacing)
	case len(s.reservations) > 0 || s.hasBlocked():
		s.nextReview = s.now.Add(reviewInterval)
	default:
		s.nextReview = time.Time{}
	}
}

func (s *Scheduler) hasBlocked() bool {
	return slices.ContainsFunc(s.scopeList, func(sc *scope) bool { return sc.hasBlocked() })
}

// feasible reports whether the first job of a class could start if there were
// no reservations.
func (s *Scheduler) feasible(c *taskClass) bool {
	r := &reservation{class: c, includeReserved: true}
	return s.chooseReservedWorkers(r)
}

// renewOldestDue chooses the workers of one reservation again, if any is due, and
// reports whether it did so. Workers that have their room already are chosen
// again, since they are the first to have it.
func (s *Scheduler) renewOldestDue() bool {
	for _, r := range s.reservations {
		if s.now.Before(r.renewAt) {
			continue
		}
		r.previous = r.assignments
		s.releaseWorkers(r)
		if s.chooseReservedWorkers(r) {
			s.holdWorkers(r)
		} else {
			s.dropReservation(r)
		}
		return true
	}
	return false
}

// reserveForFirst makes a reservation for the first waiting class that is not
// behind one that could get none, and reports whether it did so.
func (s *Scheduler) reserveForFirst() bool {
	var blockedGroups []*group
	for _, c := range s.reservableClasses() {
		if !slices.ContainsFunc(c.scope.groups, func(g *group) bool { return slices.Contains(blockedGroups, g) }) {
			if s.makeReservation(c) {
				return true
			}
			if !s.feasible(c) {
				c.noReservationUntil = s.now.Add(infeasibleRetryDelay)
				return true
			}
		}
		blockedGroups = append(blockedGroups, c.scope.groups...)
	}
	return false
}

// reservableClasses returns the classes that may reserve workers, the longest waiting
// first, at most maxReservable of them.
func (s *Scheduler) reservableClasses() []*taskClass {
	gangs := s.gangReservations()
	s.gangLimitReached = gangs >= maxGangReservations
	s.singleLimitReached = len(s.reservations)-gangs >= max(minSingleReservations, len(s.workers)/workersPerSingleReservation)
	var found []*taskClass
	if s.gangLimitReached && s.singleLimitReached {
		return nil
	}
	for _, sc := range s.scopeList {
		for _, sh := range sc.sizeRanges {
			for _, b := range sh.queues {
				found = s.addReservable(found, b.classes[0])
			}
		}
	}
	return found
}

func (s *Scheduler) addReservable(found []*taskClass, c *taskClass) []*taskClass {
	if !s.mayReserve(c) || s.now.Before(c.noReservationUntil) || s.reservableFrom(c) > s.now.UnixNano() {
		return found
	}
	at, _ := slices.BinarySearchFunc(found, c, s.compareReservable)
	if at == maxReservableClasses {
		return found
	}
	found = slices.Insert(found, at, c)
	return found[:min(len(found), maxReservableClasses)]
}

// maxReservableClasses is the number of classes that one review considers.
const maxReservableClasses = 8

func (s *Scheduler) gangReservations() int {
	count := 0
	for _, r := range s.reservations {
		if r.job != nil {
			count++
		}
	}
	return count
}

// mayReserve reports whether a class may have another reservation.
func (s *Scheduler) mayReserve(c *taskClass) bool {
	if c.gang() {
		return !s.gangLimitReached && len(c.reservations) == 0
	}
	return !s.singleLimitReached && len(c.reservations) < min(c.minWaitingTasks(), maxClassReservations)
}

// minWaitingTasks is a lower bound of the waiting tasks of a class.
func (c *taskClass) minWaitingTasks() int {
	if c.head == nil {
		return 0
	}
	count := len(c.head.queued)
	if c.head.next != nil {
		count += len(c.head.next.queued)
	}
	return count
}

func (s *Scheduler) compareReservable(a, b *taskClass) int {
	return cmp.Or(
		cmp.Compare(s.reservableFrom(a), s.reservableFrom(b)),
		cmp.Compare(a.head.id, b.head.id),
	)
}

// reservableFrom is the time from which a class may reserve, in Unix nanoseconds.
func (s *Scheduler) reservableFrom(c *taskClass) int64 {
	at := c.head.queuedAt
	switch {
	case c.team.belowShare || c.gang():
		at = at.Add(reservationDelay)
	default:
		at = at.Add(singleReservationDelay)
	}
	if !c.team.belowShare {
		at = at.Add(overShareReservationDelay)
	}
	return at.UnixNano()
}

func (s *Scheduler) makeReservation(c *taskClass) bool {
	r := &reservation{class: c, createdAt: s.now}
	if c.gang() {
		r.job = c.head
	}
	if !s.chooseReservedWorkers(r) {
		return false
	}
	r.backfillUntil = s.now.Add(backfillWindowFactor * r.expectedStart.Sub(s.now))
	c.reservations = append(c.reservations, r)
	s.reservations = append(s.reservations, r)
	s.holdWorkers(r)
	return true
}

func (s *Scheduler) dropReservation(r *reservation) {
	s.releaseWorkers(r)
	r.dropped = true
	same := func(o *reservation) bool { return o == r }
	r.class.reservations = slices.DeleteFunc(r.class.reservations, same)
	s.reservations = slices.DeleteFunc(s.reservations, same)
	s.reviewPending = true
}

// dropReservations drops the reservations of a class that match.
func (s *Scheduler) dropReservations(c *taskClass, match func(*reservation) bool) {
	for i := len(c.reservations) - 1; i >= 0; i-- {
		if r := c.reservations[i]; match(r) {
			s.dropReservation(r)
		}
	}
}

// trimReservations drops the newest reservation of a class that has fewer
// tasks left than reservations.
func (s *Scheduler) trimReservations(c *taskClass) {
	if n := len(c.reservations); n > 0 && !c.gang() && n > c.minWaitingTasks() {
		s.dropReservation(c.reservations[n-1])
	}
}

func (s *Scheduler) holdWorkers(r *reservation) {
	r.pendingWorkers = len(r.assignments)
	r.renewAt = s.now.Add(max(minRenewalInterval, r.expectedStart.Sub(s.now)/renewalDivisor))
	for _, assigned := range r.assignments {
		w := assigned.worker
		w.reservation, w.reservationReady = r, false
		w.reserved = r.class.key.size.Scale(int64(assigned.count))
		s.workerChanged(w)
	}
}

func (s *Scheduler) releaseWorkers(r *reservation) {
	for _, assigned := range r.assignments {
		w := assigned.worker
		w.reservation, w.reserved = nil, cell.Resources{}
		s.capacityGained(w)
	}
	r.assignments = nil
}

// updateReservationReadiness notes whether a reserved worker has its room. When all have, the
// gang is tried again.
func (s *Scheduler) updateReservationReadiness(w *worker) {
	ready := w.reserved.Fits(w.free().Sub(w.claimed))
	if ready == w.reservationReady {
		return
	}
	w.reservationReady = ready
	if !ready {
		w.reservation.pendingWorkers++
		return
	}
	w.reservation.pendingWorkers--
	if w.reservation.pendingWorkers == 0 {
		s.fulfilledReservations = append(s.fulfilledReservations, w.reservation)
	}
}

// placeFulfilled lets the gangs whose reserved workers all have their room
// take them, before any other work of this plan.
func (s *Scheduler) placeFulfilled(place func(*taskClass)) {
	for len(s.fulfilledReservations) > 0 {
		r := s.fulfilledReservations[0]
		s.fulfilledReservations = s.fulfilledReservations[1:]
		if r.dropped || r.pendingWorkers > 0 {
			continue
		}
		s.dropReservation(r)
		if c := r.class; c.head != nil && (r.job == nil || r.job == c.head) {
			c.waitList.remove(c)
			c.scope.removeBlocked(c)
			s.makeReady(c)
			place(c)
		}
	}
}

// backfillWorker returns a reserved worker on which a task of the class is expected
// to end before the reservation starts.
func (s *Scheduler) backfillWorker(c *taskClass) *worker {
	if c.expectedRunTime == 0 {
		return nil
	}
	end := s.now.Add(c.head.upperRunTime)
	for _, r := range s.reservations {
		if end.After(r.expectedStart) || s.now.After(r.backfillUntil) || r.class == c {
			continue
		}
		for _, assigned := range r.assignments {
			w := assigned.worker
			if w.usable() && slices.Contains(c.scope.groups, w.group) && c.key.size.Fits(w.free().Sub(w.claimed)) {
				return w
			}
		}
	}
	return nil
}
