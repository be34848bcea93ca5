package state_test

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// eventView builds its view from the events like a scheduler and rejects an event that contradicts
// earlier ones.
type eventView struct {
	Generation  cell.Generation
	Jobs        map[cell.JobID]cell.JobSpec
	Queued      map[cell.TaskID]state.TaskQueued
	Allocations map[cell.AllocationID]viewedAllocation
	Workers     map[cell.WorkerName]state.WorkerAdded
}

type viewedAllocation struct {
	cell.Allocation
	Started, Stopping bool
}

func newEventView(events []state.Event) (*eventView, error) {
	m := &eventView{
		Jobs:        map[cell.JobID]cell.JobSpec{},
		Queued:      map[cell.TaskID]state.TaskQueued{},
		Allocations: map[cell.AllocationID]viewedAllocation{},
		Workers:     map[cell.WorkerName]state.WorkerAdded{},
	}
	return m, m.applyAll(events)
}

func (m *eventView) applyAll(events []state.Event) error {
	for _, e := range events {
		if err := m.apply(e); err != nil {
			return err
		}
	}
	return m.checkCapacity()
}

func (m *eventView) apply(e state.Event) error {
	switch {
	case e.ConfigChanged != nil:
		m.Generation = e.ConfigChanged.Record.Generation
	case e.JobAdded != nil:
		m.Jobs[e.JobAdded.ID] = e.JobAdded.Spec
	case e.JobEnded != nil:
		delete(m.Jobs, e.JobEnded.ID)
		for id := range m.Queued {
			if id.Job == e.JobEnded.ID {
				delete(m.Queued, id)
			}
		}
	case e.TaskQueued != nil:
		if _, known := m.Jobs[e.TaskQueued.Task.Job]; !known {
			return fmt.Errorf("task %v is queued for an unknown job", e.TaskQueued.Task)
		}
		m.Queued[e.TaskQueued.Task] = *e.TaskQueued
	case e.TaskPlaced != nil:
		return m.place(e.TaskPlaced.Allocation)
	case e.TaskStarted != nil:
		a := m.Allocations[e.TaskStarted.Allocation]
		a.Started = true
		m.Allocations[a.ID] = a
	case e.TaskStopping != nil:
		a := m.Allocations[e.TaskStopping.Allocation]
		a.Stopping = true
		m.Allocations[a.ID] = a
	case e.AllocationEnded != nil:
		if m.Allocations[e.AllocationEnded.Allocation.ID].Allocation != e.AllocationEnded.Allocation {
			return fmt.Errorf("allocation %+v ended but is unknown", e.AllocationEnded.Allocation)
		}
		delete(m.Allocations, e.AllocationEnded.Allocation.ID)
	case e.WorkerAdded != nil:
		m.Workers[e.WorkerAdded.Worker.Name] = *e.WorkerAdded
	case e.WorkerRemoved != nil:
		delete(m.Workers, e.WorkerRemoved.Worker)
	}
	return nil
}

func (m *eventView) place(a cell.Allocation) error {
	for _, other := range m.Allocations {
		if other.Task == a.Task {
			return fmt.Errorf("task %v has two allocations: %+v, %+v", a.Task, other.Allocation, a)
		}
	}
	if w, known := m.Workers[a.Worker]; !known || w.Epoch != a.Epoch {
		return fmt.Errorf("allocation %+v is placed on a worker without that epoch", a)
	}
	delete(m.Queued, a.Task)
	m.Allocations[a.ID] = viewedAllocation{Allocation: a}
	return nil
}

func (m *eventView) checkCapacity() error {
	used := map[cell.WorkerName]cell.Resources{}
	for _, a := range m.Allocations {
		used[a.Worker] = used[a.Worker].Add(a.Size)
	}
	for name, w := range m.Workers {
		if !used[name].Fits(w.Worker.Capacity) {
			return fmt.Errorf("worker %s with capacity %v has allocations of %v", name, w.Worker.Capacity, used[name])
		}
	}
	return nil
}
