package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// minRemainingTime is the least time that a running task is expected to need.
const minRemainingTime = time.Second

// expectedEndOf returns when an allocation is expected to end. An allocation that has exceeded its
// expected run time is assumed to need half of its elapsed time in addition.
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

// chooseReservedWorkers chooses the workers on which a reservation is expected to start first:
// within one region if possible.
func (s *Scheduler) chooseReservedWorkers(r *reservation) bool {
	if !r.class.gang() {
		return s.chooseReservedWorker(r)
	}
	r.assignments = nil
	groups := r.class.scope.groups
	for i, g := range groups {
		if slices.ContainsFunc(groups[:i], func(o *workerGroup) bool { return o.region == g.region }) {
			continue
		}
		assignments, start := s.forecastStart(r, func(o *workerGroup) bool { return o.region == g.region })
		if assignments != nil && (r.assignments == nil || start.Before(r.expectedStart)) {
			r.assignments, r.expectedStart = assignments, start
		}
	}
	if r.assignments == nil {
		r.assignments, r.expectedStart = s.forecastStart(r, func(*workerGroup) bool { return true })
	}
	return r.assignments != nil
}

// expectedEnd is the time at which an allocation is expected to end.
type expectedEnd struct {
	endsAt     int64 // Unix time in nanoseconds
	allocation *allocation
}

const (
	// forecastWorkers is the number of workers after which a forecast adds no more if they leave a
	// choice, and the number of workers per group that are considered for a single task. A forecast
	// over all of 10,000 workers took 17 ms.
	forecastWorkers = 256
	// forecastSurplusFactor is the factor by which the tasks that fit the compared workers, once
	// all running work has ended, must exceed the tasks of the reservation, so that there is a
	// choice.
	forecastSurplusFactor = 4
)

// forecastStart processes the expected ends of running allocations in order of time until all tasks
// of the reservation fit. It returns the assignments and the time of the last end that was needed,
// or nil if the tasks cannot fit. Workers that other reservations hold are excluded unless
// includeReserved is set.
func (s *Scheduler) forecastStart(r *reservation, inArea func(*workerGroup) bool) ([]assignment, time.Time) {
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

// forecast is the state of one forecastStart call.
type forecast struct {
	size            cell.Resources
	includeReserved bool // include workers that other reservations hold
	unassigned      int
	targetTasks     int // possibleTasks that leave a choice
	workers         int
	possibleTasks   int // tasks that fit once all running work has ended
	assignments     []assignment
	ends            []expectedEnd
}

// hasChoice reports whether enough workers have been added.
func (f *forecast) hasChoice() bool {
	return f.workers >= forecastWorkers && f.possibleTasks >= f.targetTasks
}

// addForecastGroup adds workers of a group to the forecast. The first index depends on the time, so
// that all workers take turns when the group is not visited as a whole.
func (s *Scheduler) addForecastGroup(f *forecast, g *workerGroup) {
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

// assign assigns as many more tasks to a worker as its forecast free resources allow.
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

// chooseReservedWorker chooses the worker on which a single task is expected to fit first.
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

// earliestFit returns when a worker is expected to have size free. It returns false if that is not
// before limit.
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
	// Starting with the latest, skips the ends that the task does not need to wait for.
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
