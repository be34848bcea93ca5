package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// minRemaining is the time that running work is expected to take at least.
const minRemaining = time.Second

// expectedEnd is when an allocation is expected to end. Work that outlives its
// expectation is taken to need half as long again as it has run.
func (s *Scheduler) expectedEnd(a *allocation) time.Time {
	if a.stopping {
		return s.now.Add(minRemaining)
	}
	if a.job == nil || a.job.expected == 0 {
		return s.now.Add(neverEnds)
	}
	begin := a.startedAt
	if begin.IsZero() {
		begin = a.placedAt
	}
	end := begin.Add(a.job.expected)
	if soonest := s.now.Add(minRemaining); end.Before(soonest) {
		return s.now.Add(max(minRemaining, s.now.Sub(begin)/2))
	}
	return end
}

// chooseSeats finds the workers on which a reservation can start first: in one
// region where one is large enough.
func (s *Scheduler) chooseSeats(r *reservation) bool {
	if !r.class.gang() {
		return s.chooseSeat(r)
	}
	r.seats = nil
	groups := r.class.scope.groups
	for i, g := range groups {
		if slices.ContainsFunc(groups[:i], func(o *group) bool { return o.region == g.region }) {
			continue
		}
		seats, start := s.forecast(r, func(o *group) bool { return o.region == g.region })
		if seats != nil && (r.seats == nil || start.Before(r.start)) {
			r.seats, r.start = seats, start
		}
	}
	if r.seats == nil {
		r.seats, r.start = s.forecast(r, func(*group) bool { return true })
	}
	return r.seats != nil
}

// ending is the expected end of an allocation.
type ending struct {
	at         int64 // Unix nanoseconds
	allocation *allocation
}

const (
	// forecastWorkers is the number of workers that a forecast compares at
	// least, where there are as many. Looking at all of 10,000 took 17 ms.
	forecastWorkers = 256
	// forecastSurplus times the tasks of the reservation must have room on the
	// compared workers in the end, so that there is a choice.
	forecastSurplus = 4
)

// forecast follows the expected ends of the running work until all tasks of
// the reservation have room. Workers reserved for others are left out.
func (s *Scheduler) forecast(r *reservation, within func(*group) bool) ([]seat, time.Time) {
	count := r.class.together()
	f := forecast{size: r.class.key.size, missing: count, wanted: count * forecastSurplus, shared: r.shared}
	s.stamp++
	for _, seat := range r.former {
		if w := seat.worker; within(w.group) {
			s.collectWorker(&f, w)
		}
	}
	for _, g := range r.class.scope.groups {
		if within(g) {
			s.collect(&f, g)
		}
	}
	if f.possible < count {
		return nil, time.Time{}
	}
	slices.SortFunc(f.endings, func(a, b ending) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.allocation.id, b.allocation.id))
	})
	start := s.now.UnixNano()
	for i := 0; f.missing > 0; i++ {
		e := f.endings[i]
		f.free(e.allocation)
		start = e.at
	}
	return f.seats, time.Unix(0, start)
}

// forecast is the state of one sweep over expected ends.
type forecast struct {
	size     cell.Resources
	shared   bool // workers held by others count
	missing  int
	wanted   int // enough to choose from
	workers  int
	possible int // tasks that fit once everything has ended
	seats    []seat
	endings  []ending
}

// enough reports whether the collected workers leave a choice.
func (f *forecast) enough() bool {
	return f.workers >= forecastWorkers && f.possible >= f.wanted
}

// collect takes in the workers of a group, from a place that moves with the
// time so that they take turns where not all are looked at.
func (s *Scheduler) collect(f *forecast, g *group) {
	count := len(g.index.workers)
	first := 0
	if count > 0 {
		first = int(uint64(s.now.UnixNano()) % uint64(count))
	}
	for i := 0; i < count && !f.enough(); i++ {
		s.collectWorker(f, g.index.workers[(first+i)%count])
	}
}

func (s *Scheduler) collectWorker(f *forecast, w *worker) {
	if !w.usable() || (w.hold != nil && !f.shared) || !f.size.Fits(w.Capacity) || w.stamp == s.stamp {
		return
	}
	w.stamp = s.stamp
	horizon := s.now.Add(neverEnds)
	f.workers++
	w.room, w.seated = w.free().Sub(w.urgentHold), 0
	final := w.room
	for _, a := range w.allocations {
		if end := s.expectedEnd(a); end.Before(horizon) {
			f.endings = append(f.endings, ending{end.UnixNano(), a})
			final = final.Add(a.booked)
		}
	}
	f.possible += slots(final, f.size)
	f.seat(w)
}

func (f *forecast) free(a *allocation) {
	w := a.worker
	w.room = w.room.Add(a.booked)
	f.seat(w)
}

// seat takes what the room of a worker allows beyond the tasks that it has.
func (f *forecast) seat(w *worker) {
	n := min(slots(w.room, f.size)-w.seated, f.missing)
	if n <= 0 {
		return
	}
	f.missing -= n
	if w.seated == 0 {
		w.seatAt = len(f.seats)
		f.seats = append(f.seats, seat{worker: w})
	}
	w.seated += n
	f.seats[w.seatAt].count = w.seated
}

// chooseSeat finds the worker that has room for a single task first.
func (s *Scheduler) chooseSeat(r *reservation) bool {
	size := r.class.key.size
	r.seats = nil
	best := s.now.Add(neverEnds).UnixNano()
	consider := func(w *worker) {
		if w.hold != nil && !r.shared {
			return
		}
		if at, ok := s.firstRoom(w, size, best); ok {
			best = at
			r.seats = []seat{{worker: w, count: 1}}
		}
	}
	for _, seat := range r.former {
		consider(seat.worker)
	}
	for _, g := range r.class.scope.groups {
		count := len(g.index.workers)
		for i := range min(count, forecastWorkers) {
			consider(g.index.workers[(i+int(uint64(s.now.UnixNano())%uint64(count)))%count])
		}
	}
	r.start = time.Unix(0, best)
	return r.seats != nil
}

// firstRoom returns when a worker is expected to have room for size, where
// that is before limit.
func (s *Scheduler) firstRoom(w *worker, size cell.Resources, limit int64) (int64, bool) {
	room := w.free().Sub(w.urgentHold)
	if !w.usable() || !size.Fits(w.Capacity) {
		return 0, false
	}
	if size.Fits(room) {
		return s.now.UnixNano(), s.now.UnixNano() < limit
	}
	s.endings = s.endings[:0]
	for _, a := range w.allocations {
		if at := s.expectedEnd(a).UnixNano(); at < limit {
			s.endings = append(s.endings, ending{at, a})
			room = room.Add(a.booked)
		}
	}
	if !size.Fits(room) {
		return 0, false
	}
	// The latest ends that the task need not wait for are taken off again.
	slices.SortFunc(s.endings, func(a, b ending) int { return cmp.Compare(b.at, a.at) })
	at := s.now.UnixNano()
	for _, e := range s.endings {
		room = room.Sub(e.allocation.booked)
		if !size.Fits(room) {
			at = e.at
			break
		}
	}
	return at, true
}
