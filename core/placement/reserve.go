package placement

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// reserve is the last phase of a decision: it books the task on the worker and adds the placement
// to the plan.
func (s *Scheduler) reserve(plan *state.CommitPlan, j *job, index int, w *worker) {
	task := cell.TaskID{Job: j.id, Index: index}
	a := &allocation{
		task: task, job: j, team: j.team, worker: w, size: j.spec.Size,
		urgent: j.spec.Priority == cell.PriorityUrgent, placedAt: s.now,
	}
	s.planned[task] = a
	s.book(a)
	plan.Placements = append(plan.Placements, state.Placement{Task: task, Worker: w.Name, Epoch: w.epoch})
}

// book adds an allocation to its worker, its team and its job.
func (s *Scheduler) book(a *allocation) {
	w, t := a.worker, a.team
	a.booked = a.size
	if a.job != nil {
		a.booked = s.expectedUsage(a.job)
	}
	w.used = w.used.Add(a.booked)
	w.allocations = append(w.allocations, a)
	s.addTeamUsage(t, a.size, a.urgent, 1)
	if j := a.job; j != nil {
		j.activeTasks++
		if j.spread != nil {
			j.spread.add(w, 1)
		}
	}
	s.beginTrial(a)
	s.workerChanged(w)
}

// unbook undoes book.
func (s *Scheduler) unbook(a *allocation) {
	w, t := a.worker, a.team
	if s.planned[a.task] == a {
		delete(s.planned, a.task)
	}
	s.removeVictim(a)
	if a.releasing() {
		w.releasing = w.releasing.Sub(a.booked)
	}
	w.used = w.used.Sub(a.booked)
	w.allocations = slices.DeleteFunc(w.allocations, func(o *allocation) bool { return o == a })
	s.addTeamUsage(t, a.size, a.urgent, -1)
	if j := a.job; j != nil {
		j.activeTasks--
		if j.spread != nil {
			j.spread.add(w, -1)
		}
	}
	s.cancelTrial(a)
	s.noteUsageFreed(t)
	s.capacityGained(w)
	if !w.registered && len(w.allocations) == 0 {
		s.removeWorker(w)
	}
}

// removeWorker removes a worker that has neither an epoch nor allocations.
func (s *Scheduler) removeWorker(w *worker) {
	delete(s.workers, w.Name)
	if w.group != nil {
		x := &w.group.index
		x.remove(w)
		x.workers = slices.DeleteFunc(x.workers, func(o *worker) bool { return o == w })
	}
}

// rebook updates the booked memory of an allocation to its measured use. Processors are not
// rebooked: the platform throttles a task that uses more than its declared size. A booking never
// falls below the declared size: reports lag, so memory that looks free may be in use when another
// task starts there.
func (s *Scheduler) rebook(a *allocation, used cell.Resources) {
	booked := a.size
	booked.MemoryBytes = max(booked.MemoryBytes, used.MemoryBytes)
	if booked == a.booked {
		return
	}
	w := a.worker
	more := booked.Sub(a.booked)
	a.booked = booked
	w.used = w.used.Add(more)
	if a.preemptible {
		w.preemptible = w.preemptible.Add(more)
	}
	if a.releasing() {
		w.releasing = w.releasing.Add(more)
	}
	s.capacityGained(w)
}
