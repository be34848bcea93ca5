package workload

import "slices"

// assign opens the runs of an Assign. It repeats the checks of the leader, because the state may
// have changed since the leader proposed the command.
func (s *State) assign(a Assign) AssignResult {
	result := AssignResult{Members: make([]TaskAssignmentResult, len(a.Members))}
	job := s.jobs[a.Step.Job]
	refusal := s.checkStep(job, a)
	gang := refusal == RefusalNone && job.Spec.Steps[a.Step.Step].Gang
	if gang {
		refusal = s.checkGang(job, a)
	}
	if refusal != RefusalNone {
		for i := range result.Members {
			result.Members[i].Refusal = refusal
		}
		return result
	}
	step := &job.Steps[a.Step.Step]
	gangRun := nextGangRun(step)
	for i, m := range a.Members {
		if refusal := s.checkMember(job, a.Step, m); refusal != RefusalNone {
			result.Members[i].Refusal = refusal
			continue
		}
		run := step.Tasks[m.Index].Run + 1
		if gang {
			run = gangRun
		}
		s.openRun(job, a.Step, m, run)
		result.Members[i].Run = run
	}
	return result
}

// nextGangRun returns the run number for the next run of a gang, one above that of any of its tasks.
func nextGangRun(step *Step) RunNumber {
	highest := RunNumber(0)
	for i := range step.Tasks {
		highest = max(highest, step.Tasks[i].Run)
	}
	return highest + 1
}

// checkStep checks the conditions that all tasks of an Assign share.
func (s *State) checkStep(job *Job, a Assign) Refusal {
	if job == nil || !job.hasStep(a.Step) {
		return RefusalUnknownJob
	}
	if job.State.Ended() {
		return RefusalJobEnded
	}
	if !job.DependenciesDone(a.Step.Step) {
		return RefusalDependency
	}
	return RefusalNone
}

// DependenciesDone reports whether all dependencies of a step are done.
func (j *Job) DependenciesDone(step int) bool {
	return !slices.ContainsFunc(j.Spec.Steps[step].DependsOn, func(dependency int) bool { return j.Steps[dependency].RemainingTasks > 0 })
}

// checkGang checks that the members list each task of a gang once and that the workers have capacity
// for all of them together.
func (s *State) checkGang(job *Job, a Assign) Refusal {
	spec := &job.Spec.Steps[a.Step.Step]
	if len(a.Members) != spec.Tasks {
		return RefusalInvalid
	}
	if !s.fitsTeamCap(job, spec.Size.Times(spec.Tasks)) {
		return RefusalTeamCap
	}
	seen := map[int]bool{}
	added := map[WorkerID]Resources{}
	count := map[WorkerID]int{}
	for _, m := range a.Members {
		if seen[m.Index] {
			return RefusalInvalid
		}
		seen[m.Index] = true
		if refusal := s.checkMember(job, a.Step, m); refusal != RefusalNone {
			return refusal
		}
		w := s.workers[m.Worker]
		added[m.Worker] = added[m.Worker].Add(spec.Size)
		count[m.Worker]++
		if !w.used.Add(added[m.Worker]).Fits(w.Capacity) {
			return RefusalNoCapacity
		}
		if spec.MaxPerWorker > 0 && count[m.Worker] > spec.MaxPerWorker {
			return RefusalPerWorkerLimit
		}
	}
	return RefusalNone
}

func (s *State) checkMember(job *Job, id StepID, m TaskAssignment) Refusal {
	step := &job.Steps[id.Step]
	spec := &job.Spec.Steps[id.Step]
	if m.Index < 0 || m.Index >= len(step.Tasks) {
		return RefusalInvalid
	}
	if task := &step.Tasks[m.Index]; task.State != TaskPending || task.Open {
		return RefusalNotPending
	}
	w := s.workers[m.Worker]
	switch {
	case w == nil || w.Gone:
		return RefusalNoWorker
	case w.Boot != m.Boot:
		return RefusalStaleBoot
	case w.Draining:
		return RefusalDraining
	case w.Service != job.Queue.Service:
		return RefusalWrongService
	case spec.RequiredLabel != "" && !slices.Contains(w.Labels, spec.RequiredLabel):
		return RefusalMissingLabel
	case !w.used.Add(spec.Size).Fits(w.Capacity):
		return RefusalNoCapacity
	case spec.MaxPerWorker > 0 && s.countOpenRuns(step, m.Worker) >= spec.MaxPerWorker:
		return RefusalPerWorkerLimit
	case !s.fitsTeamCap(job, spec.Size):
		return RefusalTeamCap
	}
	return RefusalNone
}

// countOpenRuns returns the number of open runs of a step on a worker.
func (s *State) countOpenRuns(step *Step, worker WorkerID) int {
	count := 0
	for i := range step.Tasks {
		if step.Tasks[i].Open && step.Tasks[i].Worker == worker {
			count++
		}
	}
	return count
}

func (s *State) openRun(job *Job, id StepID, m TaskAssignment, run RunNumber) {
	spec := &job.Spec.Steps[id.Step]
	task := &job.Steps[id.Step].Tasks[m.Index]
	s.addBacklog(job, spec, -1)
	task.State = TaskAssigned
	task.Open = true
	task.Run = run
	task.Worker = m.Worker
	w := s.workers[m.Worker]
	w.runs[id.Task(m.Index)] = run
	s.addUse(w, spec.Size)
	s.addTeamUse(job, spec.Size)
	s.markStarted(job)
}
