package state

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Audit checks all invariants and indexes of the whole state and returns the violations. Its cost is
// linear in the size of the state, so it is meant for randomised tests, Restore and operator tools;
// Apply checks only what a command changes.
func (s *State) Audit() []Violation {
	found := s.violations
	s.violations = nil
	defer func() { s.violations = found }()
	s.auditWorkers()
	s.auditAllocations()
	s.auditJobs()
	s.auditTeams()
	s.auditRequests()
	for _, violation := range s.workload.Audit() {
		s.check(false, CheckCapacity, "%s", violation)
	}
	return s.violations
}

func (s *State) auditWorkers() {
	pools := map[cell.Pool]int{}
	for _, name := range s.workerNames() {
		w := s.workers[name]
		s.checkCapacity(w)
		var sum cell.Resources
		for i, a := range w.allocations {
			sum = sum.Add(a.Size)
			valid := w.hasEpoch(a.Epoch) || !w.registered && a.OnDisconnect == cell.DisconnectKeep
			s.check(valid, CheckSingleHolder, "allocation %d holds worker %s without its epoch", a.ID, name)
			ordered := i == 0 || w.allocations[i-1].ID < a.ID
			s.check(ordered && s.allocations[a.ID] == a && a.Worker == name, CheckIndexes, "allocation %d of worker %s", a.ID, name)
		}
		s.check(sum == w.reserved, CheckCapacity, "worker %s has %v reserved, its allocations are %v", name, w.reserved, sum)
		s.check(w.countedInPool == w.countsTowardsPool(), CheckIndexes, "worker %s in its pool: %v", name, w.countedInPool)
		if w.countsTowardsPool() {
			pools[w.info.Pool]++
		}
	}
	for pool, count := range s.pools {
		s.check(pools[pool] == count, CheckIndexes, "pool %s counts %d workers, has %d", pool, count, pools[pool])
	}
}

func (s *State) auditAllocations() {
	holders := map[cell.TaskID]cell.AllocationID{}
	for _, id := range s.allocationIDs() {
		a := s.allocations[id]
		other, twice := holders[a.Task]
		s.check(!twice, CheckSingleHolder, "task %v has allocations %d and %d", a.Task, other, id)
		holders[a.Task] = id
		s.check(s.jobs[a.Task.Job] == a.job && a.task().allocation == id, CheckIndexes, "allocation %d and its task", id)
		w := s.workers[a.Worker]
		s.check(w != nil && slices.Contains(w.allocations, a), CheckIndexes, "allocation %d and worker %s", id, a.Worker)
		s.check(a.task().state == a.expectedState(), CheckIndexes, "allocation %d has a task in state %s", id, a.task().state)
	}
}

// expectedState returns the task state that corresponds to the allocation.
func (a *allocation) expectedState() cell.TaskState {
	switch {
	case a.stopping:
		return cell.TaskStopping
	case a.running:
		return cell.TaskRunning
	}
	return cell.TaskPlaced
}

func (s *State) auditJobs() {
	listed := map[cell.JobID]bool{}
	for _, id := range s.endedJobs {
		listed[id] = true
	}
	ended := 0
	for id, j := range s.jobs {
		s.auditJob(j)
		if j.state.Terminal() && j.allocatedTasks == 0 {
			ended++
			s.check(listed[id], CheckIndexes, "job %d has ended and is not in the list", id)
		}
		s.check(s.jobKeys[jobKey{j.spec.Team, j.key}] == id, CheckIndexes, "key of job %d", id)
	}
	s.check(ended == len(s.endedJobs) && len(s.jobKeys) == len(s.jobs), CheckIndexes, "lists of jobs")
}

func (s *State) auditJob(j *job) {
	counts := map[cell.TaskState]int{}
	active, open := 0, 0
	for i := range j.tasks {
		t := &j.tasks[i]
		counts[t.state]++
		if t.allocation != 0 {
			active++
		}
		if !t.state.Terminal() {
			open++
		}
		waits := t.allocation == 0 && !t.state.Terminal()
		s.check(waits == (t.state == cell.TaskQueued), CheckIndexes, "task %d of job %d in state %s", i, j.id, t.state)
	}
	s.check(active == j.allocatedTasks && open == j.unfinishedTasks, CheckIndexes, "counters of job %d", j.id)
	s.check(!j.state.Terminal() || counts[cell.TaskQueued] == 0, CheckIndexes, "job %d has ended with queued tasks", j.id)
	s.check(j.state.Terminal() || open > 0, CheckIndexes, "job %d has no open tasks and is %s", j.id, j.state)
	s.check(j.kind != cell.KindService || counts[cell.TaskSucceeded] == 0, CheckIndexes, "service %d has a task that succeeded", j.id)
	started := counts[cell.TaskPlaced] + counts[cell.TaskRunning]
	s.check(j.kind != cell.KindGang || started == 0 || counts[cell.TaskQueued] == 0, CheckGang,
		"gang %d has %d tasks started and %d queued", j.id, started, counts[cell.TaskQueued])
}

func (s *State) auditTeams() {
	sums := map[cell.Team]*teamUsage{}
	for name := range s.teams {
		sums[name] = &teamUsage{}
	}
	for _, j := range s.jobs {
		if j.state == cell.JobQueued {
			sums[j.spec.Team].queuedJobs++
		}
	}
	for _, a := range s.allocations {
		sum := sums[a.Team]
		sum.reserved = sum.reserved.Add(a.Size)
		if a.Priority == cell.PriorityUrgent {
			sum.urgentMilliCPU += a.Size.MilliCPU
		}
	}
	for name, usage := range s.teams {
		s.check(*usage == *sums[name], CheckIndexes, "team %s counts %+v, has %+v", name, *usage, *sums[name])
		if usage.reserved.IsZero() {
			continue
		}
		team := s.config.teams[name]
		within := usage.reserved.Fits(team.Quota()) && usage.urgentMilliCPU <= team.UrgentMilliCPU()
		s.check(within, CheckQuota, "team %s holds %+v", name, *usage)
	}
}

func (s *State) auditRequests() {
	running, bytes := 0, int64(0)
	for key, r := range s.requests {
		if r.state == RequestRunning {
			running++
			m, joined := s.members[r.entry]
			s.check(joined && m.Incarnation == r.incarnation, CheckNonIdempotentOnce, "owner of request %v is not a member", key)
			s.check(s.runningByEntry[r.entry][key] && r.dispatchAttempt == r.attempt, CheckIndexes, "running request %v", key)
		}
		if r.answer != nil {
			bytes += answerSize(r.answer)
		}
	}
	owned := 0
	for _, keys := range s.runningByEntry {
		owned += len(keys)
	}
	s.check(owned == running && bytes == s.answerBytes, CheckIndexes, "indexes of requests")
}
