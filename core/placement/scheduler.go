package placement

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// Scheduler holds the queues, the index of workers and the plans that are not yet committed. It
// belongs to one task and is not safe for concurrent use.
type Scheduler struct {
	opts Options
	now  time.Time // the latest time passed by a caller

	config        cellSettings
	workers       map[cell.WorkerName]*worker
	groups        map[groupKey]*workerGroup
	groupList     []*workerGroup
	scopes        map[scopeKey]*scope
	scopeList     []*scope
	teams         map[cell.Team]*team
	teamList      []*team
	active        []*team // teams that have ready classes
	jobs          map[cell.JobID]*job
	classes       map[classKey]*taskClass
	allocations   map[cell.AllocationID]*allocation
	planned       map[cell.TaskID]*allocation
	timers        timerHeap
	totalCapacity cell.Resources // of all registered workers
	estimates     estimateStore
	failureRate   float64 // moving average over the whole cell

	readyClaims           []*claimSet    // all claims of the set are ready
	reservations          []*reservation // oldest first
	fulfilledReservations []*reservation // all workers have enough free resources
	nextReview            time.Time      // next review of the reservations; zero if nothing waits
	reviewPending         bool           // review in the next plan, before nextReview
	gangLimitReached      bool           // no more reservations for gangs
	singleLimitReached    bool           // no more reservations for single tasks

	usageFreedTeams []*team // teams whose usage fell while classes were blocked on their limits
	searchID        uint64  // ID of the last search over workers
	classBuffer     []*taskClass
	endBuffer       []expectedEnd
	fitsCache       map[cell.Resources]bool
	groupBuffer     []*workerGroup
}

// New returns a scheduler of an empty cell.
func New(opts Options) *Scheduler {
	return &Scheduler{
		opts:        opts,
		workers:     map[cell.WorkerName]*worker{},
		groups:      map[groupKey]*workerGroup{},
		scopes:      map[scopeKey]*scope{},
		teams:       map[cell.Team]*team{},
		jobs:        map[cell.JobID]*job{},
		classes:     map[classKey]*taskClass{},
		allocations: map[cell.AllocationID]*allocation{},
		planned:     map[cell.TaskID]*allocation{},
		estimates:   newEstimateStore(),
		fitsCache:   map[cell.Resources]bool{},
	}
}

// Step applies one event of the replicated state, in the order of the log.
func (s *Scheduler) Step(now time.Time, e state.Event) {
	s.advance(now)
	switch {
	case e.ConfigChanged != nil:
		s.configChanged(e.ConfigChanged.Record)
	case e.JobAdded != nil:
		s.jobAdded(e.JobAdded)
	case e.JobEnded != nil:
		s.jobEnded(e.JobEnded.ID)
	case e.TaskQueued != nil:
		s.taskQueued(e.TaskQueued)
	case e.TaskPlaced != nil:
		s.taskPlaced(e.TaskPlaced.Allocation)
	case e.TaskStarted != nil:
		s.taskStarted(e.TaskStarted.Allocation)
	case e.TaskStopping != nil:
		s.taskStopping(e.TaskStopping.Allocation)
	case e.AllocationEnded != nil:
		s.allocationEnded(e.AllocationEnded)
	case e.UsageReported != nil:
		s.usageReported(e.UsageReported)
	case e.WorkerAdded != nil:
		s.workerAdded(e.WorkerAdded)
	case e.WorkerRemoved != nil:
		s.workerRemoved(e.WorkerRemoved)
	}
}

// advance sets the time of the scheduler, which never goes backwards.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

// NextWake returns when Plan should be called again if no event arrives before, or the zero time if
// only an event can make work possible.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	s.advance(now)
	if len(s.active) > 0 || len(s.usageFreedTeams) > 0 || len(s.readyClaims) > 0 || len(s.fulfilledReservations) > 0 || s.reviewPending {
		return now
	}
	wake := s.nextReview
	if len(s.timers) > 0 {
		if first := time.Unix(0, s.timers[0].at); wake.IsZero() || first.Before(wake) {
			wake = first
		}
	}
	return wake
}

// PlanApplied reports the result of a plan, after the events of its commit. Placements without an
// entry in the result count as refused.
func (s *Scheduler) PlanApplied(now time.Time, plan state.CommitPlan, result state.PlanResult) {
	s.advance(now)
	for i, p := range plan.Placements {
		accepted := i < len(result.Placements) && result.Placements[i] == state.RefusalNone
		a := s.planned[p.Task]
		if accepted || a == nil {
			continue
		}
		s.unbook(a)
		if j := a.job; j != nil && !j.ended {
			s.requeue(j, p.Task.Index, refusalOf(result, i))
		}
	}
	for _, id := range plan.Preemptions {
		s.cancelPreemption(id)
	}
}

// refusalOf returns why a placement was refused. It returns RefusalNone if the plan as a whole was
// not committed.
func refusalOf(result state.PlanResult, i int) state.Refusal {
	if i >= len(result.Placements) {
		return state.RefusalNone
	}
	return result.Placements[i]
}

// refusalDelay is the delay before a refused placement is planned again. The state has applied a
// change whose event has not arrived here yet; an immediate plan would repeat the refusal.
const refusalDelay = 100 * time.Millisecond

// requeue queues a task again after its placement was refused. If the state does not hold the task
// as queued, a later event will queue it.
func (s *Scheduler) requeue(j *job, index int, refusal state.Refusal) {
	switch refusal {
	case state.RefusalTaskNotQueued, state.RefusalUnknownJob, state.RefusalJobEnded:
	case state.RefusalNone:
		s.enqueue(j, index)
	default:
		j.backingOff++
		s.startTimer(timer{at: s.now.Add(refusalDelay).UnixNano(), job: j, index: index})
	}
}
