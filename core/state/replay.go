package state

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
)

// ReplayEvents returns the events that bring a new scheduler to the current state, in the order in
// which a running scheduler would have received them: the file, the workers, the jobs, the
// allocations. A worker whose epoch has ended is added and later removed, so that the allocations kept
// on it refer to a known worker.
func (s *State) ReplayEvents() []Event {
	if s.config == nil {
		return nil
	}
	r := &replayer{s: s}
	r.emit(Event{ConfigChanged: &ConfigChanged{Record: s.records[len(s.records)-1]}})
	r.workers()
	r.jobs()
	r.allocations()
	r.endedJobs()
	r.disconnected()
	return r.events
}

type replayer struct {
	s      *State
	events []Event
}

func (r *replayer) emit(e Event) { r.events = append(r.events, e) }

func (r *replayer) workers() {
	for _, name := range r.s.workerNames() {
		w := r.s.workers[name]
		if w.countsTowardsPool() {
			r.emit(Event{WorkerAdded: &WorkerAdded{Worker: w.info, Epoch: w.epoch}})
		}
	}
}

func (r *replayer) jobs() {
	for _, id := range r.s.activeJobs() {
		j := r.s.jobs[id]
		r.emit(Event{JobAdded: &JobAdded{ID: id, Spec: j.spec}})
		for i := range j.tasks {
			if j.tasks[i].state == cell.TaskQueued {
				r.emit(Event{TaskQueued: queuedEvent(j, i, &j.tasks[i])})
			}
		}
	}
}

// endedJobs ends the jobs that have ended but still have allocations. These events come after those of
// the allocations.
func (r *replayer) endedJobs() {
	for _, id := range r.s.activeJobs() {
		if j := r.s.jobs[id]; j.state.Terminal() {
			r.emit(Event{JobEnded: &JobEnded{ID: id, State: j.state}})
		}
	}
}

func (r *replayer) allocations() {
	for _, id := range r.s.allocationIDs() {
		a := r.s.allocations[id]
		r.emit(Event{TaskPlaced: &TaskPlaced{Allocation: a.Allocation}})
		if a.running {
			r.emit(Event{TaskStarted: &TaskStarted{Allocation: id}})
		}
		if a.stopping {
			r.emit(Event{TaskStopping: &TaskStopping{Allocation: id}})
		}
	}
}

func (r *replayer) disconnected() {
	for _, name := range r.s.workerNames() {
		w := r.s.workers[name]
		if w.countsTowardsPool() && !w.registered {
			r.emit(Event{WorkerRemoved: &WorkerRemoved{Worker: name, Epoch: w.epoch}})
		}
	}
}

// allocationIDs returns the ids of all allocations in ascending order.
func (s *State) allocationIDs() []cell.AllocationID {
	ids := make([]cell.AllocationID, 0, len(s.allocations))
	for id := range s.allocations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
