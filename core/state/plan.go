package state

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
)

// commitPlan applies a plan. Preempted allocations are asked to stop, and their resources are released
// only when their workers report the end. Each placement is checked against the state that results
// from the placements before it.
func (s *State) commitPlan(c CommitPlan) Result {
	if s.config == nil {
		return refuse(RefusalNoConfig, "no cell file has been applied yet")
	}
	for _, id := range c.Preemptions {
		s.preempt(id)
	}
	plan := PlanResult{
		Placements:  make([]Refusal, len(c.Placements)),
		Allocations: make([]cell.AllocationID, len(c.Placements)),
	}
	gangs := s.gangPlacements(c.Placements)
	placedGangs := make(map[cell.JobID]bool, len(gangs))
	for i, p := range c.Placements {
		indexes, gang := gangs[p.Task.Job]
		switch {
		case !gang:
			s.applyPlacement(c, i, &plan)
		case !placedGangs[p.Task.Job]:
			placedGangs[p.Task.Job] = true
			s.applyGang(c, indexes, &plan)
		}
	}
	return Result{Plan: &plan}
}

// preempt asks an allocation to stop if its policy is preemptible. The policy may have changed since
// the plan was made.
func (s *State) preempt(id cell.AllocationID) {
	a := s.allocations[id]
	if a == nil || !s.config.policies[a.job.spec.Policy].Preemptible {
		return
	}
	s.stopAllocation(a, true)
	s.stopGang(a.job, true)
}

// gangPlacements returns the indexes of the placements of each gang.
func (s *State) gangPlacements(placements []Placement) map[cell.JobID][]int {
	gangs := map[cell.JobID][]int{}
	for i, p := range placements {
		j := s.jobs[p.Task.Job]
		if j != nil && j.kind == cell.KindGang {
			gangs[j.id] = append(gangs[j.id], i)
		}
	}
	return gangs
}

// applyPlacement applies a placement or records its refusal in the result.
func (s *State) applyPlacement(c CommitPlan, i int, plan *PlanResult) {
	p := c.Placements[i]
	if refusal := s.checkPlacement(p); refusal != RefusalNone {
		plan.Placements[i] = refusal
		return
	}
	a := s.place(p)
	plan.Allocations[i] = a.ID
	s.confirmPlacement(a)
}

// applyGang applies all placements of a gang or none of them.
func (s *State) applyGang(c CommitPlan, indexes []int, plan *PlanResult) {
	previousID := s.lastAllocation // last id before the gang
	placed := make([]*allocation, 0, len(indexes))
	versions := make([]uint64, 0, len(indexes)) // versions of the workers before each placement
	failed := false
	for _, i := range indexes {
		p := c.Placements[i]
		refusal := s.checkPlacement(p)
		plan.Placements[i] = refusal
		if refusal != RefusalNone {
			failed = true
			continue
		}
		versions = append(versions, s.workers[p.Worker].version)
		placed = append(placed, s.place(p))
	}
	job := s.jobs[c.Placements[indexes[0]].Task.Job]
	if failed || len(placed) != job.unfinishedTasks {
		s.revertGang(placed, versions, previousID)
		refuseGang(indexes, plan)
		return
	}
	for n, i := range indexes {
		plan.Allocations[i] = placed[n].ID
		s.confirmPlacement(placed[n])
	}
}

// revertGang reverts the placements of a gang, for which no event has been emitted yet.
func (s *State) revertGang(placed []*allocation, versions []uint64, previousID cell.AllocationID) {
	for i, a := range slices.Backward(placed) {
		w := s.workers[a.Worker]
		s.removeAllocation(a, w)
		w.version = versions[i]
		a.task().state = cell.TaskQueued
	}
	s.lastAllocation = previousID
}

// refuseGang marks the other placements of a gang, which were valid by themselves, as refused.
func refuseGang(indexes []int, plan *PlanResult) {
	for _, i := range indexes {
		if plan.Placements[i] == RefusalNone {
			plan.Placements[i] = RefusalGangIncomplete
		}
	}
}

// place reserves a worker for a task.
func (s *State) place(p Placement) *allocation {
	return s.reserve(s.jobs[p.Task.Job], p.Task.Index, s.workers[p.Worker])
}

// confirmPlacement updates the task and job of a new allocation and informs the scheduler.
func (s *State) confirmPlacement(a *allocation) {
	t := a.task()
	t.preempted = false
	t.notBefore = 0
	if a.job.state == cell.JobQueued {
		s.setJobState(a.job, cell.JobRunning)
	}
	s.emit(Event{TaskPlaced: &TaskPlaced{Allocation: a.Allocation}})
}

// checkPlacement returns the reason why a placement cannot be applied to the current state.
func (s *State) checkPlacement(p Placement) Refusal {
	j := s.jobs[p.Task.Job]
	if j == nil {
		return RefusalUnknownJob
	}
	if p.Task.Index < 0 || p.Task.Index >= len(j.tasks) || j.tasks[p.Task.Index].state != cell.TaskQueued {
		return RefusalTaskNotQueued
	}
	w := s.workers[p.Worker]
	if w == nil {
		return RefusalUnknownWorker
	}
	if !w.hasEpoch(p.Epoch) {
		return RefusalStaleEpoch
	}
	if refusal := s.checkAdmission(j, w); refusal != RefusalNone {
		return refusal
	}
	if !w.reserved.Add(j.spec.Size).Fits(w.info.Capacity) {
		return RefusalNoCapacity
	}
	return s.checkQuota(j)
}

// checkAdmission checks that a job may run on a worker, regardless of free capacity.
func (s *State) checkAdmission(j *job, w *worker) Refusal {
	if s.config.retired[w.info.Name] {
		return RefusalWorkerRetired
	}
	if !slices.Contains(s.config.policies[j.spec.Policy].Pools, w.info.Pool) {
		return RefusalWorkerNotAdmitted
	}
	if j.spec.Region != "" && j.spec.Region != w.info.Region {
		return RefusalWorkerNotAdmitted
	}
	return RefusalNone
}

// checkQuota checks that the quota of the team covers one more task of a job.
func (s *State) checkQuota(j *job) Refusal {
	team := s.config.teams[j.spec.Team]
	usage := s.usageOf(j.spec.Team)
	if !usage.reserved.Add(j.spec.Size).Fits(team.Quota()) {
		return RefusalQuotaExceeded
	}
	if j.spec.Priority == cell.PriorityUrgent && usage.urgentMilliCPU+j.spec.Size.MilliCPU > team.UrgentMilliCPU() {
		return RefusalQuotaExceeded
	}
	return RefusalNone
}
