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
	// reviewPause keeps the forecasts of several reservations apart.
	reviewPause = 20 * time.Millisecond
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
	singlesPart  = 64
	minSingles   = 8
	classSingles = 8
	// shortWait is how long gangs, and single tasks of teams below their share,
	// wait for room before workers are reserved for them; longWait is that of
	// other single tasks. Most find room earlier without idle processors.
	shortWait = time.Minute
	longWait  = 30 * time.Minute
	// overShareWait is added for teams above their share.
	overShareWait = 60 * time.Minute
	// minRenewal is the least time between two forecasts of one reservation.
	minRenewal = 5 * time.Second
	// renewFraction of the time to the expected start passes between two
	// forecasts of one reservation.
	renewFraction = 4
	// backfillWindow bounds backfill on reserved workers to this many times
	// the delay that was expected at first, so that run times that are always
	// underestimated cannot postpone a gang for ever.
	backfillWindow = 1
	// infeasibleWait is how long a class is left out that could not start even
	// without the other reservations. It must not keep others from reserving.
	infeasibleWait = 30 * time.Second
	// neverEnds stands for the end of a service.
	neverEnds = 1000 * time.Hour
)

// reservation keeps workers for a gang, or a single large task, that fits
// nowhere yet. Only the scheduler knows of it and no two reservations share a
// worker, so gangs never wait for each other while holding anything in the
// state. The oldest gangs reserve first; until one of them has got its
// workers, younger ones of the same groups may not reserve.
type reservation struct {
	job     *job // the gang; nil for a single task
	class   *class
	seats   []seat
	made    time.Time
	start   time.Time // expected
	window  time.Time // end of backfill
	renewAt time.Time // when start is computed again
	shared  bool      // only a question: workers held by others count
	former  []seat    // before it is renewed
	dropped bool
	missing int // workers that do not have their room yet
}

// reviewReservations renews the reservations and makes new ones. One call does
// one forecast at most, because each looks at all running work of a region.
func (s *Scheduler) reviewReservations() {
	due := !s.nextReview.IsZero() && !s.now.Before(s.nextReview)
	if !due && !s.reviewSoon {
		return
	}
	s.reviewSoon = false
	switch {
	case s.renewOldest() || s.reserveFirst():
		s.nextReview = s.now.Add(reviewPause)
	case len(s.reservations) > 0 || s.anyBlocked():
		s.nextReview = s.now.Add(reviewInterval)
	default:
		s.nextReview = time.Time{}
	}
}

func (s *Scheduler) anyBlocked() bool {
	return slices.ContainsFunc(s.scopeList, func(sc *scope) bool { return sc.anyBlocked() })
}

// feasible reports whether the first job of a class could start if there were
// no reservations.
func (s *Scheduler) feasible(c *class) bool {
	r := &reservation{class: c, shared: true}
	return s.chooseSeats(r)
}

// renewOldest chooses the workers of one reservation again, if any is due, and
// reports whether it did so. Workers that have their room already are chosen
// again, since they are the first to have it.
func (s *Scheduler) renewOldest() bool {
	for _, r := range s.reservations {
		if s.now.Before(r.renewAt) {
			continue
		}
		r.former = r.seats
		s.releaseHolds(r)
		if s.chooseSeats(r) {
			s.addHolds(r)
		} else {
			s.dropReservation(r)
		}
		return true
	}
	return false
}

// reserveFirst makes a reservation for the first waiting class that is not
// behind one that could get none, and reports whether it did so.
func (s *Scheduler) reserveFirst() bool {
	var locked []*group
	for _, c := range s.reservable() {
		if !slices.ContainsFunc(c.scope.groups, func(g *group) bool { return slices.Contains(locked, g) }) {
			if s.makeReservation(c) {
				return true
			}
			if !s.feasible(c) {
				c.skipUntil = s.now.Add(infeasibleWait)
				return true
			}
		}
		locked = append(locked, c.scope.groups...)
	}
	return false
}

// reservable returns the classes that may reserve workers, the longest waiting
// first, at most maxReservable of them.
func (s *Scheduler) reservable() []*class {
	gangs := s.gangReservations()
	s.gangsFull = gangs >= maxGangReservations
	s.singlesFull = len(s.reservations)-gangs >= max(minSingles, len(s.workers)/singlesPart)
	var found []*class
	if s.gangsFull && s.singlesFull {
		return nil
	}
	for _, sc := range s.scopeList {
		for _, sh := range sc.shapes {
			for _, b := range sh.buckets {
				found = s.addReservable(found, b.waiting[0])
			}
		}
	}
	return found
}

func (s *Scheduler) addReservable(found []*class, c *class) []*class {
	if !s.mayReserve(c) || s.now.Before(c.skipUntil) || s.reserveAt(c) > s.now.UnixNano() {
		return found
	}
	at, _ := slices.BinarySearchFunc(found, c, s.compareReservable)
	if at == maxReservable {
		return found
	}
	found = slices.Insert(found, at, c)
	return found[:min(len(found), maxReservable)]
}

// maxReservable is the number of classes that one review considers.
const maxReservable = 8

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
func (s *Scheduler) mayReserve(c *class) bool {
	if c.gang() {
		return !s.gangsFull && len(c.reservations) == 0
	}
	return !s.singlesFull && len(c.reservations) < min(c.waitingAtLeast(), classSingles)
}

// waitingAtLeast is a lower bound of the waiting tasks of a class.
func (c *class) waitingAtLeast() int {
	if c.head == nil {
		return 0
	}
	count := len(c.head.queued)
	if c.head.next != nil {
		count += len(c.head.next.queued)
	}
	return count
}

func (s *Scheduler) compareReservable(a, b *class) int {
	return cmp.Or(
		cmp.Compare(s.reserveAt(a), s.reserveAt(b)),
		cmp.Compare(a.head.id, b.head.id),
	)
}

// reserveAt is the time from which a class may reserve, in Unix nanoseconds.
func (s *Scheduler) reserveAt(c *class) int64 {
	at := c.head.queuedAt
	switch {
	case c.team.below || c.gang():
		at = at.Add(shortWait)
	default:
		at = at.Add(longWait)
	}
	if !c.team.below {
		at = at.Add(overShareWait)
	}
	return at.UnixNano()
}

func (s *Scheduler) makeReservation(c *class) bool {
	r := &reservation{class: c, made: s.now}
	if c.gang() {
		r.job = c.head
	}
	if !s.chooseSeats(r) {
		return false
	}
	r.window = s.now.Add(backfillWindow * r.start.Sub(s.now))
	c.reservations = append(c.reservations, r)
	s.reservations = append(s.reservations, r)
	s.addHolds(r)
	return true
}

func (s *Scheduler) dropReservation(r *reservation) {
	s.releaseHolds(r)
	r.dropped = true
	same := func(o *reservation) bool { return o == r }
	r.class.reservations = slices.DeleteFunc(r.class.reservations, same)
	s.reservations = slices.DeleteFunc(s.reservations, same)
	s.reviewSoon = true
}

// dropReservations drops the reservations of a class that match.
func (s *Scheduler) dropReservations(c *class, match func(*reservation) bool) {
	for i := len(c.reservations) - 1; i >= 0; i-- {
		if r := c.reservations[i]; match(r) {
			s.dropReservation(r)
		}
	}
}

// trimReservations drops the newest reservation of a class that has fewer
// tasks left than reservations.
func (s *Scheduler) trimReservations(c *class) {
	if n := len(c.reservations); n > 0 && !c.gang() && n > c.waitingAtLeast() {
		s.dropReservation(c.reservations[n-1])
	}
}

func (s *Scheduler) addHolds(r *reservation) {
	r.missing = len(r.seats)
	r.renewAt = s.now.Add(max(minRenewal, r.start.Sub(s.now)/renewFraction))
	for _, seat := range r.seats {
		w := seat.worker
		w.hold, w.holdReady = r, false
		w.gangHold = r.class.key.size.Scale(int64(seat.count))
		s.changed(w)
	}
}

func (s *Scheduler) releaseHolds(r *reservation) {
	for _, seat := range r.seats {
		w := seat.worker
		w.hold, w.gangHold = nil, cell.Resources{}
		s.gained(w)
	}
	r.seats = nil
}

// checkHold notes whether a reserved worker has its room. When all have, the
// gang is tried again.
func (s *Scheduler) checkHold(w *worker) {
	ready := w.gangHold.Fits(w.free().Sub(w.urgentHold))
	if ready == w.holdReady {
		return
	}
	w.holdReady = ready
	if !ready {
		w.hold.missing++
		return
	}
	w.hold.missing--
	if w.hold.missing == 0 {
		s.fulfilled = append(s.fulfilled, w.hold)
	}
}

// releaseFulfilled lets the gangs whose reserved workers all have their room
// take them, before any other work of this plan.
func (s *Scheduler) releaseFulfilled(place func(*class)) {
	for len(s.fulfilled) > 0 {
		r := s.fulfilled[0]
		s.fulfilled = s.fulfilled[1:]
		if r.dropped || r.missing > 0 {
			continue
		}
		s.dropReservation(r)
		if c := r.class; c.head != nil && (r.job == nil || r.job == c.head) {
			c.list.remove(c)
			c.scope.remove(c)
			s.makeReady(c)
			place(c)
		}
	}
}

// backfill returns a reserved worker on which a task of the class is expected
// to end before the reservation starts.
func (s *Scheduler) backfill(c *class) *worker {
	if c.expected == 0 {
		return nil
	}
	end := s.now.Add(c.head.upper)
	for _, r := range s.reservations {
		if end.After(r.start) || s.now.After(r.window) || r.class == c {
			continue
		}
		for _, seat := range r.seats {
			w := seat.worker
			if w.usable() && slices.Contains(c.scope.groups, w.group) && c.key.size.Fits(w.free().Sub(w.urgentHold)) {
				return w
			}
		}
	}
	return nil
}
