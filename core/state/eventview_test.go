package state_test

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// eventView is the view of the state that a scheduler derives from events. It rejects an event that
// contradicts earlier ones.
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
	v := &eventView{
		Jobs:        map[cell.JobID]cell.JobSpec{},
		Queued:      map[cell.TaskID]state.TaskQueued{},
		Allocations: map[cell.AllocationID]viewedAllocation{},
		Workers:     map[cell.WorkerName]state.WorkerAdded{},
	}
	return v, v.applyAll(events)
}

func (v *eventView) applyAll(events []state.Event) error {
	for _, e := range events {
		if err := v.apply(e); err != nil {
			return err
		}
	}
	return v.checkCapacity()
}

func (v *eventView) apply(e state.Event) error {
	switch {
	case e.ConfigChanged != nil:
		v.Generation = e.ConfigChanged.Record.Generation
	case e.JobAdded != nil:
		v.Jobs[e.JobAdded.ID] = e.JobAdded.Spec
	case e.JobEnded != nil:
		delete(v.Jobs, e.JobEnded.ID)
		for id := range v.Queued {
			if id.Job == e.JobEnded.ID {
				delete(v.Queued, id)
			}
		}
	case e.TaskQueued != nil:
		if _, known := v.Jobs[e.TaskQueued.Task.Job]; !known {
			return fmt.Errorf("task %v is queued for an unknown job", e.TaskQueued.Task)
		}
		v.Queued[e.TaskQueued.Task] = *e.TaskQueued
	case e.TaskPlaced != nil:
		return v.place(e.TaskPlaced.Allocation)
	case e.TaskStarted != nil:
		a := v.Allocations[e.TaskStarted.Allocation]
		a.Started = true
		v.Allocations[a.ID] = a
	case e.TaskStopping != nil:
		a := v.Allocations[e.TaskStopping.Allocation]
		a.Stopping = true
		v.Allocations[a.ID] = a
	case e.AllocationEnded != nil:
		if v.Allocations[e.AllocationEnded.Allocation.ID].Allocation != e.AllocationEnded.Allocation {
			return fmt.Errorf("allocation %+v ended but is unknown", e.AllocationEnded.Allocation)
		}
		delete(v.Allocations, e.AllocationEnded.Allocation.ID)
	case e.WorkerAdded != nil:
		v.Workers[e.WorkerAdded.Worker.Name] = *e.WorkerAdded
	case e.WorkerRemoved != nil:
		delete(v.Workers, e.WorkerRemoved.Worker)
	}
	return nil
}

func (v *eventView) place(a cell.Allocation) error {
	for _, other := range v.Allocations {
		if other.Task == a.Task {
			return fmt.Errorf("task %v has two allocations: %+v, %+v", a.Task, other.Allocation, a)
		}
	}
	if w, known := v.Workers[a.Worker]; !known || w.Epoch != a.Epoch {
		return fmt.Errorf("allocation %+v is placed on a worker without that epoch", a)
	}
	delete(v.Queued, a.Task)
	v.Allocations[a.ID] = viewedAllocation{Allocation: a}
	return nil
}

func (v *eventView) checkCapacity() error {
	used := map[cell.WorkerName]cell.Resources{}
	for _, a := range v.Allocations {
		used[a.Worker] = used[a.Worker].Add(a.Size)
	}
	for name, w := range v.Workers {
		if !used[name].Fits(w.Worker.Capacity) {
			return fmt.Errorf("worker %s with capacity %v has allocations of %v", name, w.Worker.Capacity, used[name])
		}
	}
	return nil
}
