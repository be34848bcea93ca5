package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

func (s *Scheduler) jobAdded(e *state.JobAdded) {
	j := &job{id: e.ID, spec: e.Spec, team: s.teamFor(e.Spec.Team), queuedAt: s.now}
	j.gang = s.scopeFor(e.Spec.Policy, e.Spec.Region).policy.Kind == cell.KindGang
	s.updateExpectedRunTime(j)
	s.jobs[e.ID] = j
}

// jobEnded removes the waiting tasks of a job, in time that does not depend on their number. Its
// allocations end with their own events.
func (s *Scheduler) jobEnded(id cell.JobID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.ended = true
	j.queued = nil
	s.removeFromClass(j)
	for len(j.claims) > 0 {
		s.cancelClaims(j.claims[0])
	}
	s.forgetOutcomes(j)
	delete(s.jobs, id)
}

func (s *Scheduler) taskQueued(e *state.TaskQueued) {
	j := s.jobs[e.Task.Job]
	if j == nil {
		return
	}
	notBefore := time.UnixMilli(e.NotBefore)
	if e.NotBefore != 0 && notBefore.After(s.now) {
		j.backingOff++
		if j.gang {
			s.removeFromClass(j) // the tasks of a gang are queued together
		}
		s.startTimer(timer{at: notBefore.UnixNano(), job: j, index: e.Task.Index})
		return
	}
	s.enqueue(j, e.Task.Index)
}

// taskPlaced records a committed placement that this scheduler or an earlier leader has planned.
func (s *Scheduler) taskPlaced(committed cell.Allocation) {
	a := s.planned[committed.Task]
	if a != nil && a.worker.Name != committed.Worker {
		s.unbook(a)
		a = nil
	}
	if a == nil {
		a = s.addUnplanned(committed)
	}
	delete(s.planned, committed.Task)
	a.id = committed.ID
	a.placedAt = committed.PlacedAt
	s.allocations[a.id] = a
	s.updateVictim(a)
}

// addUnplanned books an allocation that this scheduler did not plan.
func (s *Scheduler) addUnplanned(committed cell.Allocation) *allocation {
	j := s.jobs[committed.Task.Job]
	if j != nil {
		s.removeQueuedTask(j, committed.Task.Index)
	}
	w := s.workers[committed.Worker]
	if w == nil {
		w = &worker{Worker: cell.Worker{Name: committed.Worker}}
		s.workers[w.Name] = w
	}
	a := &allocation{
		task: committed.Task, job: j, team: s.teamFor(committed.Team), worker: w,
		size: committed.Size, urgent: committed.Priority == cell.PriorityUrgent,
	}
	s.book(a)
	return a
}

func (s *Scheduler) taskStarted(id cell.AllocationID) {
	if a := s.allocations[id]; a != nil {
		a.startedAt = s.now
		if a.worker.health.trial == a {
			s.startTimer(timer{at: s.now.Add(minTrialTime).UnixNano(), worker: a.worker})
		}
	}
}

func (s *Scheduler) taskStopping(id cell.AllocationID) {
	if a := s.allocations[id]; a != nil {
		a.stopCommitted = true
		s.setStopping(a, true)
	}
}

func (s *Scheduler) allocationEnded(e *state.AllocationEnded) {
	a := s.allocations[e.Allocation.ID]
	if a == nil {
		return
	}
	delete(s.allocations, e.Allocation.ID)
	if a.job != nil && e.Outcome == state.ReportSucceeded {
		a.job.succeededTasks++
		s.recordRunTime(a)
	}
	s.recordOutcome(a, e.Outcome)
	s.unbook(a)
}

func (s *Scheduler) usageReported(e *state.UsageReported) {
	a := s.allocations[e.Allocation]
	if a == nil {
		return
	}
	if a.job != nil {
		s.recordUsage(a, e.Report.Used)
	}
	s.rebook(a, e.Report.Used)
}

func (s *Scheduler) workerAdded(e *state.WorkerAdded) {
	w := s.workers[e.Worker.Name]
	if w == nil {
		w = &worker{}
		s.workers[e.Worker.Name] = w
	}
	if w.registered {
		s.totalCapacity = s.totalCapacity.Sub(w.Capacity)
	}
	s.moveToGroup(w, e.Worker)
	w.epoch, w.registered = e.Epoch, true
	w.retired = s.config.retired[w.Name]
	s.totalCapacity = s.totalCapacity.Add(w.Capacity)
	s.updateShareRatios()
	s.capacityGained(w)
}

// moveToGroup applies the registration of a worker, which may have another capacity or another
// group than its previous one.
func (s *Scheduler) moveToGroup(w *worker, registered cell.Worker) {
	for _, a := range w.allocations {
		s.removeVictim(a)
	}
	if w.group != nil {
		w.registered = false
		w.updateGroupLoad()
		w.group.index.remove(w)
		w.group.index.workers = slices.DeleteFunc(w.group.index.workers, func(o *worker) bool { return o == w })
	}
	w.Worker = registered
	w.group = s.groupFor(registered)
	x := &w.group.index
	at, _ := slices.BinarySearchFunc(x.workers, w, func(a, b *worker) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	x.workers = slices.Insert(x.workers, at, w)
	x.growCapacity(w.Capacity)
	for _, a := range w.allocations {
		s.updateVictim(a)
	}
}

// workerRemoved ends the epoch of a worker. Allocations that the state keeps on it stay booked
// until they end.
func (s *Scheduler) workerRemoved(e *state.WorkerRemoved) {
	w := s.workers[e.Worker]
	if w == nil || !w.registered || w.epoch != e.Epoch {
		return
	}
	w.registered = false
	s.cancelWorkerClaims(w)
	s.totalCapacity = s.totalCapacity.Sub(w.Capacity)
	s.updateShareRatios()
	s.workerChanged(w)
	if len(w.allocations) == 0 {
		s.removeWorker(w)
	}
}
