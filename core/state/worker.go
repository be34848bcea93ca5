package state

import (
	"fmt"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// worker is a worker with its current or last epoch.
type worker struct {
	info          cell.Worker
	epoch         cell.Epoch
	registered    bool      // the epoch has not ended
	endedAt       time.Time // retention clock when the epoch ended
	reserved      cell.Resources
	allocations   []*allocation // by id
	version       uint64        // log index of the last change of its epoch or allocations
	countedInPool bool          // the worker is counted in State.pools
}

// hasEpoch reports whether e is the current epoch of the worker, which has not ended.
func (w *worker) hasEpoch(e cell.Epoch) bool { return w.registered && w.epoch == e }

// countsTowardsPool reports whether the worker counts towards the limit of its pool.
func (w *worker) countsTowardsPool() bool { return w.registered || len(w.allocations) > 0 }

// updatePoolCount updates the number of workers in the pool of w.
func (s *State) updatePoolCount(w *worker) {
	switch {
	case w.countsTowardsPool() && !w.countedInPool:
		s.pools[w.info.Pool]++
	case !w.countsTowardsPool() && w.countedInPool:
		s.pools[w.info.Pool]--
	}
	w.countedInPool = w.countsTowardsPool()
}

// workerNames returns the names of all known workers, sorted.
func (s *State) workerNames() []cell.WorkerName {
	names := make([]cell.WorkerName, 0, len(s.workers))
	for name := range s.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// registerWorker starts an epoch of a worker. A repeated registration of an incarnation returns its
// current epoch. An incarnation whose epoch has ended continues its kept allocations under the new
// epoch. A newer incarnation ends all allocations of the previous one.
func (s *State) registerWorker(info cell.Worker) Result {
	if s.config == nil {
		return refuse(RefusalNoConfig, "no cell file has been applied yet")
	}
	if s.config.retired[info.Name] {
		return refuse(RefusalWorkerRetired, "worker %q is retired by the cell file", info.Name)
	}
	w := s.workers[info.Name]
	if w != nil && info.Incarnation < w.info.Incarnation {
		return refuse(RefusalStaleIncarnation, "incarnation %d of worker %s is known", w.info.Incarnation, info.Name)
	}
	if w != nil && w.registered && info.Incarnation == w.info.Incarnation {
		return repeatedRegistration(w, info)
	}
	if detail := s.admissionProblem(info, w); detail != "" {
		return Result{Refusal: RefusalWorkerNotAdmitted, Detail: detail}
	}
	if w == nil {
		w = &worker{info: info}
		s.workers[info.Name] = w
	}
	s.startEpoch(w, info)
	return Result{Worker: &WorkerResult{Epoch: w.epoch}}
}

func repeatedRegistration(w *worker, info cell.Worker) Result {
	if w.info != info {
		return refuse(RefusalStillLeased, "incarnation %d of worker %s is registered with other values", info.Incarnation, info.Name)
	}
	return Result{Worker: &WorkerResult{Epoch: w.epoch}}
}

// admissionProblem returns the reason why the cell file does not admit a worker, or an empty string.
func (s *State) admissionProblem(info cell.Worker, known *worker) string {
	pool, defined := s.config.pools[info.Pool]
	kept := known != nil && known.countsTowardsPool() && known.info.Pool == info.Pool
	switch {
	case info.Name == "" || len(info.Name) > maxNameBytes || len(info.Rack) > maxNameBytes:
		return fmt.Sprintf("the name has %d bytes and the rack %d; expected at most %d", len(info.Name), len(info.Rack), maxNameBytes)
	case !defined:
		return fmt.Sprintf("pool %q is not in the cell file", truncate(string(info.Pool)))
	case !slices.Contains(pool.Regions, info.Region):
		return fmt.Sprintf("pool %s has the regions %v, not %q", pool.Name, pool.Regions, truncate(string(info.Region)))
	case s.config.failureDomains[info.FailureDomain] != info.Region:
		return fmt.Sprintf("failure domain %q is not in region %s", truncate(string(info.FailureDomain)), info.Region)
	case info.Capacity.IsNegative() || info.Capacity.IsZero():
		return fmt.Sprintf("capacity %v; expected a positive one", info.Capacity)
	case !info.Capacity.Fits(pool.MaxWorker()):
		return fmt.Sprintf("capacity %v; pool %s admits %v", info.Capacity, pool.Name, pool.MaxWorker())
	case !kept && s.pools[info.Pool] >= pool.MaxWorkers:
		return fmt.Sprintf("pool %s has its %d workers", pool.Name, pool.MaxWorkers)
	}
	return ""
}

// startEpoch starts a new epoch of a worker.
func (s *State) startEpoch(w *worker, info cell.Worker) {
	if w.info != info {
		// The tasks of an earlier incarnation have stopped. The same incarnation with other properties
		// cannot keep allocations that were checked against the previous ones.
		s.endEpoch(w, endAll)
	}
	kept := s.emitKeptEnded(w)
	s.lastEpoch++
	w.info = info
	w.epoch = s.lastEpoch
	w.registered = true
	w.version = s.index
	s.updatePoolCount(w)
	s.emit(Event{WorkerAdded: &WorkerAdded{Worker: info, Epoch: w.epoch}})
	s.moveToEpoch(w, kept)
}

// emitKeptEnded reports to the scheduler that the allocations kept on a disconnected worker have ended
// under the previous epoch, and returns them. They are reported again under the new epoch, so that the
// scheduler counts each of them once.
func (s *State) emitKeptEnded(w *worker) []*allocation {
	kept := slices.Clone(w.allocations)
	for _, a := range kept {
		s.emit(Event{AllocationEnded: &AllocationEnded{Allocation: a.Allocation}})
	}
	return kept
}

// moveToEpoch moves kept allocations to the new epoch of their worker.
func (s *State) moveToEpoch(w *worker, kept []*allocation) {
	for _, a := range kept {
		a.Epoch = w.epoch
		s.emitPlaced(a)
	}
}

// emitPlaced reports an allocation and its progress to the scheduler.
func (s *State) emitPlaced(a *allocation) {
	s.emit(Event{TaskPlaced: &TaskPlaced{Allocation: a.Allocation}})
	if a.running {
		s.emit(Event{TaskStarted: &TaskStarted{Allocation: a.ID}})
	}
	if a.stopping {
		s.emit(Event{TaskStopping: &TaskStopping{Allocation: a.ID}})
	}
}

// expireWorker ends the epoch of a worker whose lease has expired.
func (s *State) expireWorker(c ExpireWorker) Result {
	w := s.workers[c.Worker]
	if w == nil {
		return refuse(RefusalUnknownWorker, "worker %q is not registered", c.Worker)
	}
	if !w.hasEpoch(c.Epoch) {
		return refuse(RefusalStaleEpoch, "epoch %d of worker %s is not current", c.Epoch, c.Worker)
	}
	scope := endStoppable
	if s.config.retired[c.Worker] {
		scope = endAll
	}
	s.endEpoch(w, scope)
	return Result{}
}

// releaseWorker ends the epoch of a worker that has stopped all of its tasks. An allocation without
// a report was never started on the worker.
func (s *State) releaseWorker(c ReleaseWorker) Result {
	result := s.reportTasks(ReportTasks(c))
	if result.Refusal != RefusalNone {
		return result
	}
	s.endEpoch(s.workers[c.Worker], endAll)
	return result
}

// endScope selects the allocations that end with an epoch.
type endScope int

const (
	endStoppable endScope = iota // allocations that the worker stops when its lease expires
	endAll                       // also the allocations that a disconnected worker keeps
)

// endEpoch ends the epoch of a worker, if it has one, and the selected allocations.
func (s *State) endEpoch(w *worker, scope endScope) {
	wasRegistered := w.registered
	if wasRegistered {
		w.registered = false
		w.endedAt = s.retentionClock
		w.version = s.index
	}
	s.endAllocations(w, scope)
	if wasRegistered {
		s.emit(Event{WorkerRemoved: &WorkerRemoved{Worker: w.info.Name, Epoch: w.epoch}})
	}
}

// endAllocations ends the selected allocations of a worker without an epoch. Their tasks are queued
// again.
func (s *State) endAllocations(w *worker, scope endScope) {
	for _, a := range slices.Clone(w.allocations) {
		if scope == endAll || a.OnDisconnect != cell.DisconnectKeep {
			s.endAllocation(a, "")
			s.requeueLostTask(a)
		}
	}
	s.updatePoolCount(w)
}
