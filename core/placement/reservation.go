package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

const (
	// reviewInterval is the interval at which reservations are reviewed, because run times differ
	// from the expected ones.
	reviewInterval = time.Second
	// reviewSpacing is the least time between the forecasts of two reservations.
	reviewSpacing = 20 * time.Millisecond
	// backfillInterval is the least time between two offers of reserved workers to the blocked
	// classes of one scope.
	backfillInterval = 100 * time.Millisecond
	// gangRetryInterval is the least time between two searches for one class of gangs, which visit
	// many workers each.
	gangRetryInterval = 50 * time.Millisecond
	// maxGangReservations bounds the number of reservations for gangs.
	maxGangReservations = 8
	// Single large tasks may reserve one of workersPerSingleReservation workers, but at least
	// minSingleReservations in total. One class may have maxClassReservations of them.
	workersPerSingleReservation = 64
	minSingleReservations       = 8
	maxClassReservations        = 8
	// reservationDelay is how long gangs, and single tasks of teams below their share, wait before
	// workers are reserved for them. singleReservationDelay applies to other single tasks. Most
	// tasks can be placed earlier without idle processors on reserved workers.
	reservationDelay       = time.Minute
	singleReservationDelay = 30 * time.Minute
	// overShareReservationDelay is added for teams that are not below their share.
	overShareReservationDelay = 60 * time.Minute
	// minRenewalInterval is the least time between two forecasts of one reservation.
	minRenewalInterval = 5 * time.Second
	// renewalDivisor sets the time between two forecasts of one reservation: the time to its
	// expected start divided by renewalDivisor.
	renewalDivisor = 4
	// backfillWindowFactor bounds the time in which reserved workers are backfilled, as a multiple
	// of the delay that was expected when the reservation was made. Without it, run times that are
	// always underestimated could postpone a gang forever.
	backfillWindowFactor = 1
	// infeasibleRetryDelay is how long no reservation is tried for a class that could not start
	// even without other reservations. Such a class must not block reservations of other classes.
	infeasibleRetryDelay = 30 * time.Second
	// serviceRunTime is the run time that is assumed for services, which have no expected end.
	serviceRunTime = 1000 * time.Hour
)

// reservation holds workers for a gang, or for a single large task, that does not fit now. It
// exists only in the scheduler, and no two reservations share a worker, so gangs never wait for
// each other while they hold resources in the state. The class that has waited longest reserves
// first; until it has a reservation, later classes with common groups may not reserve.
type reservation struct {
	job             *job // the gang, or nil for a single task
	class           *taskClass
	assignments     []assignment
	createdAt       time.Time
	expectedStart   time.Time
	backfillUntil   time.Time    // no backfill on the workers after this time
	renewAt         time.Time    // when expectedStart is computed again
	includeReserved bool         // for a feasibility check: include workers that other reservations hold
	previous        []assignment // assignments before the renewal
	dropped         bool
	pendingWorkers  int // workers without enough free resources yet
}

// reviewReservations renews reservations and makes new ones. One call makes at most one forecast,
// because a forecast visits the running work of a region.
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

// feasible reports whether the first job of a class could start if there were no reservations.
func (s *Scheduler) feasible(c *taskClass) bool {
	r := &reservation{class: c, includeReserved: true}
	return s.chooseReservedWorkers(r)
}

// renewOldestDue chooses new workers for the oldest reservation that is due for renewal, and
// reports whether there was one. Workers that already have enough free resources are chosen again,
// because they are the first to be ready.
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

// reserveForFirst makes a reservation for the first waiting class that is not behind a class
// without success in a common group. It reports whether it made one or found an infeasible class.
func (s *Scheduler) reserveForFirst() bool {
	var blockedGroups []*workerGroup
	for _, c := range s.reservableClasses() {
		if !slices.ContainsFunc(c.scope.groups, func(g *workerGroup) bool { return slices.Contains(blockedGroups, g) }) {
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

// reservableClasses returns at most maxReservableClasses classes that may reserve workers, longest
// waiting first.
func (s *Scheduler) reservableClasses() []*taskClass {
	gangs := s.gangReservations()
	s.gangLimitReached = gangs >= maxGangReservations
	s.singleLimitReached = len(s.reservations)-gangs >= max(minSingleReservations, len(s.workers)/workersPerSingleReservation)
	var found []*taskClass
	if s.gangLimitReached && s.singleLimitReached {
		return nil
	}
	for _, sc := range s.scopeList {
		for _, sizes := range sc.sizeRanges {
			for _, queue := range sizes.queues {
				found = s.addReservable(found, queue.classes[0])
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

// minWaitingTasks returns a lower bound of the number of waiting tasks of a class.
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

// reservableFrom returns the time from which a class may reserve workers, as Unix time in
// nanoseconds.
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

// trimReservations drops the newest reservation of a class if it has more reservations than waiting
// tasks.
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

// updateReservationReadiness updates whether a reserved worker has enough free resources. When all
// workers of a reservation have, it is fulfilled.
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

// placeFulfilled places the jobs of fulfilled reservations before any other work of the plan.
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

// backfillWorker returns a reserved worker on which a task of the class fits and is expected to end
// before the reservation starts, or nil.
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
