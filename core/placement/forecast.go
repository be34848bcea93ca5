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
	at         time.Time
	allocation *allocation
}

// forecast follows the expected ends of the running work until all tasks of
// the reservation have room. Workers reserved for others are left out.
func (s *Scheduler) forecast(r *reservation, within func(*group) bool) ([]seat, time.Time) {
	f := forecast{size: r.class.key.size, missing: max(len(r.job.queued), 1)}
	if !r.class.gang() {
		f.missing = 1
	}
	for _, g := range r.class.scope.groups {
		if within(g) {
			s.collect(&f, g, r.shared)
		}
	}
	slices.SortFunc(f.endings, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.allocation.id, b.allocation.id))
	})
	start := s.now
	for _, e := range f.endings {
		if f.missing == 0 {
			break
		}
		f.free(e.allocation)
		start = e.at
	}
	if f.missing > 0 {
		return nil, time.Time{}
	}
	return f.seats, start
}

// forecast is the state of one sweep over expected ends.
type forecast struct {
	size    cell.Resources
	missing int
	seats   []seat
	endings []ending
}

func (s *Scheduler) collect(f *forecast, g *group, shared bool) {
	horizon := s.now.Add(neverEnds)
	for _, w := range g.index.workers {
		if !w.usable() || (w.hold != nil && !shared) || !f.size.Fits(w.Capacity) {
			continue
		}
		w.room, w.seated = w.free().Sub(w.urgentHold), 0
		f.seat(w)
		for _, a := range w.allocations {
			if end := s.expectedEnd(a); end.Before(horizon) {
				f.endings = append(f.endings, ending{end, a})
			}
		}
	}
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
