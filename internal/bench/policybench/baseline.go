package policybench

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// planner is a scheduler driven by the simulation. *placement.Scheduler implements it.
type planner interface {
	Step(now time.Time, e state.Event)
	Plan(now time.Time, limit int) state.CommitPlan
	PlanApplied(now time.Time, plan state.CommitPlan, result state.PlanResult)
	NextWake(now time.Time) time.Time
}

// baseline places tasks in submission order and skips tasks that do not fit. It ignores shares,
// priorities, failures and quotas; the quotas of the simulation are never reached. A gang is placed
// when all of its tasks fit at once.
type baseline struct {
	bestFit bool // chooses the fullest worker with room instead of the first
	workers []*workerRoom
	byName  map[cell.WorkerName]*workerRoom
	jobs    map[cell.JobID]*cell.JobSpec
	queue   []*queuedJob
	changed bool
}

type workerRoom struct {
	worker cell.Worker
	epoch  cell.Epoch
	free   cell.Resources
}

type queuedJob struct {
	job       cell.JobID
	tasks     []int
	notBefore int64 // Unix milliseconds
}

func newBaseline(best bool) *baseline {
	return &baseline{bestFit: best, byName: map[cell.WorkerName]*workerRoom{}, jobs: map[cell.JobID]*cell.JobSpec{}}
}

func (b *baseline) Step(_ time.Time, e state.Event) {
	b.changed = true
	switch {
	case e.WorkerAdded != nil:
		r := &workerRoom{e.WorkerAdded.Worker, e.WorkerAdded.Epoch, e.WorkerAdded.Worker.Capacity}
		b.workers = append(b.workers, r)
		b.byName[r.worker.Name] = r
	case e.JobAdded != nil:
		b.jobs[e.JobAdded.ID] = &e.JobAdded.Spec
	case e.JobEnded != nil:
		b.queue = slices.DeleteFunc(b.queue, func(w *queuedJob) bool { return w.job == e.JobEnded.ID })
		delete(b.jobs, e.JobEnded.ID)
	case e.TaskQueued != nil:
		b.enqueue(e.TaskQueued)
	case e.AllocationEnded != nil:
		r := b.byName[e.AllocationEnded.Allocation.Worker]
		r.free = r.free.Add(e.AllocationEnded.Allocation.Size)
	}
}

func (b *baseline) enqueue(e *state.TaskQueued) {
	at, _ := slices.BinarySearchFunc(b.queue, e.Task.Job, func(w *queuedJob, id cell.JobID) int { return int(w.job) - int(id) })
	if at == len(b.queue) || b.queue[at].job != e.Task.Job {
		b.queue = slices.Insert(b.queue, at, &queuedJob{job: e.Task.Job})
	}
	w := b.queue[at]
	w.tasks = append(w.tasks, e.Task.Index)
	w.notBefore = max(w.notBefore, e.NotBefore)
}

// searchKey identifies placements with equal requirements: if one fails, all fail.
type searchKey struct {
	size   cell.Resources
	region cell.Region
	count  int
}

func (b *baseline) Plan(now time.Time, _ int) state.CommitPlan {
	var plan state.CommitPlan
	if !b.changed {
		return plan
	}
	b.changed = false
	failed := map[searchKey]bool{}
	for _, w := range b.queue {
		spec := b.jobs[w.job]
		count := 1
		if spec.Policy == "gang" {
			count = len(w.tasks)
		}
		n := searchKey{spec.Size, spec.Region, count}
		for len(w.tasks) > 0 && !failed[n] && now.UnixMilli() >= w.notBefore {
			failed[n] = !b.place(&plan, w, n)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(w *queuedJob) bool { return len(w.tasks) == 0 })
	return plan
}

func (b *baseline) place(plan *state.CommitPlan, w *queuedJob, n searchKey) bool {
	var chosen []*workerRoom
	for range n.count {
		r := b.findWorker(n)
		if r == nil {
			break
		}
		r.free = r.free.Sub(n.size)
		chosen = append(chosen, r)
	}
	if len(chosen) < n.count {
		for _, r := range chosen {
			r.free = r.free.Add(n.size)
		}
		return false
	}
	for i, r := range chosen {
		task := cell.TaskID{Job: w.job, Index: w.tasks[i]}
		plan.Placements = append(plan.Placements, state.Placement{Task: task, Worker: r.worker.Name, Epoch: r.epoch})
	}
	w.tasks = w.tasks[n.count:]
	return true
}

func (b *baseline) findWorker(n searchKey) *workerRoom {
	var best *workerRoom
	for _, r := range b.workers {
		if !n.size.Fits(r.free) || (n.region != "" && n.region != r.worker.Region) {
			continue
		}
		if !b.bestFit {
			return r
		}
		if best == nil || r.free.MilliCPU+r.free.MemoryBytes>>21 < best.free.MilliCPU+best.free.MemoryBytes>>21 {
			best = r
		}
	}
	return best
}

func (b *baseline) PlanApplied(time.Time, state.CommitPlan, state.PlanResult) {}

// NextWake requests a plan every second while the queue has a task that failed before, because no
// event tells that the backoff of a task is over.
func (b *baseline) NextWake(now time.Time) time.Time {
	for _, w := range b.queue {
		if w.notBefore > 0 {
			b.changed = true
			return now.Add(time.Second)
		}
	}
	return time.Time{}
}
