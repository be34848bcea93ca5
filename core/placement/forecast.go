package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// minRemainingTime is the time that running work is expected to take at least.
const minRemainingTime = time.Second

// expectedEndOf is when an allocation is expected to end. Work that outlives its
// expectation is taken to need half as long again as it has run.
func (s *Scheduler) expectedEndOf(a *allocation) time.Time {
	if a.stopping {
		return s.now.Add(minRemainingTime)
	}
	if a.job == nil || a.job.expectedRunTime == 0 {
		return s.now.Add(serviceRunTime)
	}
	begin := a.startedAt
	if begin.IsZero() {
		begin = a.placedAt
	}
	end := begin.Add(a.job.expectedRunTime)
	if soonest := s.now.Add(minRemainingTime); end.Before(soonest) {
		return s.now.Add(max(minRemainingTime, s.now.Sub(begin)/2))
	}
	return end
}

// chooseReservedWorkers finds the workers on which a reservation can start first: in one
// region where one is large enough.
func (s *Scheduler) chooseReservedWorkers(r *reservation) bool {
	if !r.class.gang() {
		return s.chooseReservedWorker(r)
	}
	r.assignments = nil
	groups := r.class.scope.groups
	for i, g := range groups {
		if slices.ContainsFunc(groups[:i], func(o *group) bool { return o.region == g.region }) {
			continue
		}
		assignments, start := s.forecastStart(r, func(o *group) bool { return o.region == g.region })
		if assignments != nil && (r.assignments == nil || start.Before(r.expectedStart)) {
			r.assignments, r.expectedStart = assignments, start
		}
	}
	if r.assignments == nil {
		r.assignments, r.expectedStart = s.forecastStart(r, func(*group) bool { return true })
	}
	return r.assignments != nil
}

// expectedEnd is the expected end of an allocation.
type expectedEnd struct {
	endsAt     int64 // Unix nanoseconds
	allocation *allocation
}

const (
	// forecastWorkers is the number of workers that a forecast compares at
	// least, where there are as many. Looking at all of 10,000 took 17 ms.
	forecastWorkers = 256
	// forecastSurplusFactor times the tasks of the reservation must have room on the
	// compared workers in the end, so that there is a choice.
	forecastSurplusFactor = 4
)

// forecastStart follows the expected ends of the running work until all tasks of
// the reservation have room. Workers reserved for others are left out.
func (s *Scheduler) forecastStart(r *reservation, inArea func(*group) bool) ([]assignment, time.Time) {
	count := r.class.tasksPerPlacement()
	f := forecast{size: r.class.key.size, unassigned: count, targetTasks: count * forecastSurplusFactor, includeReserved: r.includeReserved}
	s.searchID++
	for _, previous := range r.previous {
		if w := previous.worker; inArea(w.group) {
			s.addForecastWorker(&f, w)
		}
	}
	for _, g := range r.class.scope.groups {
		if inArea(g) {
			s.addForecastGroup(&f, g)
		}
	}
	if f.possibleTasks < count {
		return nil, time.Time{}
	}
	slices.SortFunc(f.ends, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.endsAt, b.endsAt), cmp.Compare(a.allocation.id, b.allocation.id))
	})
	start := s.now.UnixNano()
	for i := 0; f.unassigned > 0; i++ {
		e := f.ends[i]
		f.release(e.allocation)
		start = e.endsAt
	}
	return f.assignments, time.Unix(0, start)
}

// forecast is the state of one sweep over expected ends.
type forecast struct {
	size            cell.Resources
	includeReserved bool // workers held by others count
	unassigned      int
	targetTasks     int // enough to choose from
	workers         int
	possibleTasks   int // tasks that fit once everything has ended
	assignments     []assignment
	ends            []expectedEnd
}

// hasChoice reports whether the collected workers leave a choice.
func (f *forecast) hasChoice() bool {
	return f.workers >= forecastWorkers && f.possibleTasks >= f.targetTasks
}

// addForecastGroup takes in the workers of a group, from a place that moves with the
// time so that they take turns where not all are looked at.
func (s *Scheduler) addForecastGroup(f *forecast, g *group) {
	count := len(g.index.workers)
	first := 0
	if count > 0 {
		first = int(uint64(s.now.UnixNano()) % uint64(count))
	}
	for i := 0; i < count && !f.hasChoice(); i++ {
		s.addForecastWorker(f, g.index.workers[(first+i)%count])
	}
}

func (s *Scheduler) addForecastWorker(f *forecast, w *worker) {
	if !w.usable() || (w.reservation != nil && !f.includeReserved) || !f.size.Fits(w.Capacity) || w.searchID == s.searchID {
		return
	}
	w.searchID = s.searchID
	horizon := s.now.Add(serviceRunTime)
	f.workers++
	w.forecastFree, w.forecastTasks = w.free().Sub(w.claimed), 0
	finalFree := w.forecastFree
	for _, a := range w.allocations {
		if end := s.expectedEndOf(a); end.Before(horizon) {
			f.ends = append(f.ends, expectedEnd{end.UnixNano(), a})
			finalFree = finalFree.Add(a.booked)
		}
	}
	f.possibleTasks += maxTasksIn(finalFree, f.size)
	f.assign(w)
}

func (f *forecast) release(a *allocation) {
	w := a.worker
	w.forecastFree = w.forecastFree.Add(a.booked)
	f.assign(w)
}

// assign takes what the room of a worker allows beyond the tasks that it has.
func (f *forecast) assign(w *worker) {
	n := min(maxTasksIn(w.forecastFree, f.size)-w.forecastTasks, f.unassigned)
	if n <= 0 {
		return
	}
	f.unassigned -= n
	if w.forecastTasks == 0 {
		w.forecastIndex = len(f.assignments)
		f.assignments = append(f.assignments, assignment{worker: w})
	}
	w.forecastTasks += n
	f.assignments[w.forecastIndex].count = w.forecastTasks
}

// chooseReservedWorker finds the worker that has room for a single task first.
func (s *Scheduler) chooseReservedWorker(r *reservation) bool {
	size := r.class.key.size
	r.assignments = nil
	earliest := s.now.Add(serviceRunTime).UnixNano()
	consider := func(w *worker) {
		if w.reservation != nil && !r.includeReserved {
			return
		}
		if at, ok := s.earliestFit(w, size, earliest); ok {
			earliest = at
			r.assignments = []assignment{{worker: w, count: 1}}
		}
	}
	for _, previous := range r.previous {
		consider(previous.worker)
	}
	for _, g := range r.class.scope.groups {
		count := len(g.index.workers)
		for i := range min(count, forecastWorkers) {
			consider(g.index.workers[(i+int(uint64(s.now.UnixNano())%uint64(count)))%count])
		}
	}
	r.expectedStart = time.Unix(0, earliest)
	return r.assignments != nil
}

// earliestFit returns when a worker is expected to have room for size, where
// that is before limit.
func (s *Scheduler) earliestFit(w *worker, size cell.Resources, limit int64) (int64, bool) {
	free := w.free().Sub(w.claimed)
	if !w.usable() || !size.Fits(w.Capacity) {
		return 0, false
	}
	if size.Fits(free) {
		return s.now.UnixNano(), s.now.UnixNano() < limit
	}
	s.endBuffer = s.endBuffer[:0]
	for _, a := range w.allocations {
		if at := s.expectedEndOf(a).UnixNano(); at < limit {
			s.endBuffer = append(s.endBuffer, expectedEnd{at, a})
			free = free.Add(a.booked)
		}
	}
	if !size.Fits(free) {
		return 0, false
	}
	// The latest ends that the task need not wait for are taken off again.
	slices.SortFunc(s.endBuffer, func(a, b expectedEnd) int { return cmp.Compare(b.endsAt, a.endsAt) })
	at := s.now.UnixNano()
	for _, e := range s.endBuffer {
		free = free.Sub(e.allocation.booked)
		if !size.Fits(free) {
			at = e.endsAt
			break
		}
	}
	return at, true
}
