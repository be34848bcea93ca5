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
	// maxReservations bounds the room that is kept for work to come.
	maxReservations = 8
	// singleTaskWait is how long a single task waits for room before workers
	// are reserved for it. Most find room earlier without idle processors.
	singleTaskWait = 30 * time.Second
	// overShareWait is added for teams above their share.
	overShareWait = 10 * time.Minute
	// renewFraction of the time to the expected start passes between two
	// forecasts of one reservation.
	renewFraction = 8
	// backfillWindow bounds backfill on reserved workers to this many times
	// the delay that was expected at first, so that run times that are always
	// underestimated cannot postpone a gang for ever.
	backfillWindow = 3
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
	job     *job
	class   *class
	seats   []seat
	made    time.Time
	start   time.Time // expected
	window  time.Time // end of backfill
	renewAt time.Time // when start is computed again
	shared  bool      // only a question: workers held by others count
	missing int       // workers that do not have their room yet
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
	r := &reservation{job: c.head, class: c, shared: true}
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
	if len(s.reservations) >= maxReservations {
		return false
	}
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
// first, at most maxReservations of them.
func (s *Scheduler) reservable() []*class {
	var found []*class
	for _, sc := range s.scopeList {
		found = s.addReservable(found, &sc.urgent)
		for _, b := range sc.buckets {
			found = s.addReservable(found, b)
		}
	}
	return found
}

func (s *Scheduler) addReservable(found []*class, b *bucket) []*class {
	for _, c := range b.waiting.classes {
		if c.head.reservation != nil || s.now.Before(c.skipUntil) || s.reserveAt(c) > s.now.UnixNano() {
			continue
		}
		at, _ := slices.BinarySearchFunc(found, c, s.compareReservable)
		if at < maxReservations {
			found = slices.Insert(found, at, c)
			found = found[:min(len(found), maxReservations)]
		}
	}
	return found
}

func (sc *scope) anyBlocked() bool {
	if len(sc.urgent.waiting.classes) > 0 {
		return true
	}
	return slices.ContainsFunc(sc.buckets, func(b *bucket) bool { return len(b.waiting.classes) > 0 })
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
	if !c.gang() {
		at = at.Add(singleTaskWait)
	}
	if c.team.fairness > 1 {
		at = at.Add(overShareWait)
	}
	return at.UnixNano()
}

func (s *Scheduler) makeReservation(c *class) bool {
	r := &reservation{job: c.head, class: c, made: s.now}
	if !s.chooseSeats(r) {
		return false
	}
	r.window = s.now.Add(backfillWindow * r.start.Sub(s.now))
	r.job.reservation = r
	s.reservations = append(s.reservations, r)
	s.addHolds(r)
	return true
}

func (s *Scheduler) dropReservation(r *reservation) {
	s.releaseHolds(r)
	r.job.reservation = nil
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == r })
	s.reviewSoon = true
}

func (s *Scheduler) addHolds(r *reservation) {
	r.missing = len(r.seats)
	r.renewAt = s.now.Add(max(reviewInterval, r.start.Sub(s.now)/renewFraction))
	for _, seat := range r.seats {
		w := seat.worker
		w.hold, w.holdReady = r, false
		w.group.held++
		w.gangHold = r.class.key.size.Scale(int64(seat.count))
		s.changed(w)
	}
}

func (s *Scheduler) releaseHolds(r *reservation) {
	for _, seat := range r.seats {
		w := seat.worker
		w.hold, w.gangHold = nil, cell.Resources{}
		w.group.held--
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
		if r.job.reservation != r || r.missing > 0 {
			continue
		}
		s.dropReservation(r)
		if c := r.class; c.head == r.job {
			c.list.remove(c)
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
