package state

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// allocation is a reservation with the status of its task.
type allocation struct {
	cell.Allocation
	job       *job
	running   bool
	stopping  bool
	preempted bool      // being stopped in favour of other work
	startedAt time.Time // time of the first report that the task is running
}

func (a *allocation) task() *task { return &a.job.tasks[a.Task.Index] }

// reserve creates the allocation of a queued task on a worker.
func (s *State) reserve(j *job, index int, w *worker) *allocation {
	policy := s.config.policies[j.spec.Policy]
	s.lastAllocation++
	a := &allocation{
		job: j,
		Allocation: cell.Allocation{
			ID:           s.lastAllocation,
			Task:         cell.TaskID{Job: j.id, Index: index},
			Team:         j.spec.Team,
			Worker:       w.info.Name,
			Epoch:        w.epoch,
			Size:         j.spec.Size,
			OnDisconnect: policy.OnDisconnect,
			Priority:     j.spec.Priority,
			Checkpoints:  j.spec.Checkpoints,
			PlacedAt:     s.now,
		},
	}
	s.checkSingleHolder(a, w)
	s.addAllocation(a, w)
	s.checkCapacity(w)
	a.task().state = cell.TaskPlaced
	return a
}

// addAllocation adds an allocation to every index and counter.
func (s *State) addAllocation(a *allocation, w *worker) {
	s.allocations[a.ID] = a
	w.allocations = append(w.allocations, a)
	w.reserved = w.reserved.Add(a.Size)
	w.version = s.index
	usage := s.usageOf(a.Team)
	usage.reserved = usage.reserved.Add(a.Size)
	if a.Priority == cell.PriorityUrgent {
		usage.urgentMilliCPU += a.Size.MilliCPU
	}
	a.job.allocatedTasks++
	a.task().allocation = a.ID
}

// removeAllocation removes an allocation from every index and counter.
func (s *State) removeAllocation(a *allocation, w *worker) {
	delete(s.allocations, a.ID)
	i := slices.Index(w.allocations, a)
	w.allocations = slices.Delete(w.allocations, i, i+1)
	w.reserved = w.reserved.Sub(a.Size)
	w.version = s.index
	usage := s.usageOf(a.Team)
	usage.reserved = usage.reserved.Sub(a.Size)
	if a.Priority == cell.PriorityUrgent {
		usage.urgentMilliCPU -= a.Size.MilliCPU
	}
	a.task().allocation = 0
	a.job.allocatedTasks--
	s.startRetention(a.job)
}

// stopAllocation asks the worker of an allocation to stop it.
func (s *State) stopAllocation(a *allocation, preempted bool) {
	if a.stopping {
		return
	}
	a.stopping = true
	a.preempted = preempted
	a.task().state = cell.TaskStopping
	s.workers[a.Worker].version = s.index
	s.emit(Event{TaskStopping: &TaskStopping{Allocation: a.ID}})
}

// endAllocation releases an allocation. The caller sets the next state of the task.
func (s *State) endAllocation(a *allocation, outcome TaskOutcome) {
	w := s.workers[a.Worker]
	s.removeAllocation(a, w)
	s.checkCapacity(w)
	s.emit(Event{AllocationEnded: &AllocationEnded{Allocation: a.Allocation, Outcome: outcome}})
}

// requeueLostTask queues a task again after its allocation was stopped or its worker was lost. A task
// of an ended job is cancelled instead.
func (s *State) requeueLostTask(a *allocation) {
	j, t := a.job, a.task()
	t.preempted = a.preempted
	if j.state.Terminal() {
		s.endTask(j, t, cell.TaskCancelled)
		return
	}
	s.queueTask(j, a.Task.Index)
	s.stopGang(j, a.preempted)
}

// stopGang stops the remaining tasks of a gang that has lost a task. The tasks of a gang run together
// or not at all, so the whole gang is placed again.
func (s *State) stopGang(j *job, preempted bool) {
	if j.kind != cell.KindGang || j.state.Terminal() {
		return
	}
	for i := range j.tasks {
		if id := j.tasks[i].allocation; id != 0 {
			s.stopAllocation(s.allocations[id], preempted)
		}
	}
}
