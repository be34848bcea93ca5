package state

import (
	"fmt"
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
)

// submitJob adds a job, unless its key is known or the job is refused.
func (s *State) submitJob(c SubmitJob) Result {
	if c.Key == "" || len(c.Key) > maxKeyBytes {
		return refuse(RefusalInvalid, "the key has %d bytes; expected 1 to %d", len(c.Key), maxKeyBytes)
	}
	if id, known := s.jobKeys[jobKey{c.Spec.Team, c.Key}]; known {
		return s.repeatedJob(s.jobs[id], c.Spec)
	}
	if refusal, detail := s.checkSpec(c.Spec); refusal != RefusalNone {
		return Result{Refusal: refusal, Detail: detail}
	}
	return s.addJob(c)
}

func (s *State) repeatedJob(j *job, spec cell.JobSpec) Result {
	if j.spec != spec {
		return refuse(RefusalKeyReused, "the key belongs to job %d, which was submitted with other values", j.id)
	}
	return Result{
		Detail: fmt.Sprintf("the key belongs to job %d", j.id),
		Job:    &JobResult{ID: j.id, State: j.state, Repeated: true},
	}
}

func (s *State) addJob(c SubmitJob) Result {
	s.lastJob++
	j := &job{
		id:              s.lastJob,
		key:             c.Key,
		spec:            c.Spec,
		kind:            s.config.policies[c.Spec.Policy].Kind,
		state:           cell.JobQueued,
		submittedAt:     s.now,
		tasks:           make([]task, c.Spec.Tasks),
		unfinishedTasks: c.Spec.Tasks,
	}
	s.jobs[j.id] = j
	s.jobKeys[jobKey{c.Spec.Team, c.Key}] = j.id
	s.usageOf(c.Spec.Team).queuedJobs++
	s.emit(Event{JobAdded: &JobAdded{ID: j.id, Spec: j.spec}})
	for i := range j.tasks {
		s.queueTask(j, i)
	}
	return Result{Job: &JobResult{ID: j.id, State: j.state}}
}

// checkSpec refuses a job that is malformed, not allowed or can never run.
func (s *State) checkSpec(spec cell.JobSpec) (Refusal, string) {
	if s.config == nil {
		return RefusalNoConfig, "no cell file has been applied yet"
	}
	team, known := s.config.teams[spec.Team]
	if !known {
		return RefusalUnknownTeam, fmt.Sprintf("team %q is not in the cell file", spec.Team)
	}
	if !slices.Contains(team.Policies, spec.Policy) {
		return RefusalPolicyNotAllowed, fmt.Sprintf("team %s may use the policies %v", team.Name, team.Policies)
	}
	policy := s.config.policies[spec.Policy]
	if detail := specProblem(spec); detail != "" {
		return RefusalInvalid, detail
	}
	if spec.Tasks > policy.MaxTasks {
		return RefusalTooManyTasks, fmt.Sprintf("%d tasks; policy %s allows %d", spec.Tasks, policy.Name, policy.MaxTasks)
	}
	if detail := s.neverFits(spec, policy); detail != "" {
		return RefusalNeverFits, detail
	}
	if detail := overQuota(spec, policy, team); detail != "" {
		return RefusalOverQuota, detail
	}
	if queued := s.usageOf(spec.Team).queuedJobs; queued >= team.MaxQueuedJobs {
		return RefusalQueueFull, fmt.Sprintf("team %s has %d queued jobs; its limit is %d", team.Name, queued, team.MaxQueuedJobs)
	}
	return RefusalNone, ""
}

// specProblem returns what is wrong with the values of a job, or an empty string.
func specProblem(spec cell.JobSpec) string {
	switch {
	case spec.Tasks < 1:
		return fmt.Sprintf("%d tasks; expected at least 1", spec.Tasks)
	case spec.Size.IsNegative() || spec.Size.IsZero():
		return fmt.Sprintf("a task of size %v; expected a positive size", spec.Size)
	case spec.RunTime < 0:
		return fmt.Sprintf("run time %v; expected 0 or more", spec.RunTime)
	case spec.Priority != cell.PriorityUrgent && spec.Priority != cell.PriorityNormal && spec.Priority != cell.PriorityLow:
		return fmt.Sprintf("priority %q; expected urgent, normal or low", truncate(string(spec.Priority)))
	case len(spec.Name) > maxNameBytes:
		return fmt.Sprintf("a name of %d bytes; expected at most %d", len(spec.Name), maxNameBytes)
	case len(spec.Command) > maxCommandBytes:
		return fmt.Sprintf("a command of %d bytes; expected at most %d", len(spec.Command), maxCommandBytes)
	}
	return ""
}

// neverFits returns the reason why the job cannot run on any set of workers that its pools admit, or
// an empty string. A batch job must fit one task, any other job all of its tasks at once.
func (s *State) neverFits(spec cell.JobSpec, policy cellconfig.Policy) string {
	slots := int64(0)
	for _, name := range policy.Pools {
		pool := s.config.pools[name]
		if spec.Region != "" && !slices.Contains(pool.Regions, spec.Region) {
			continue
		}
		slots += int64(pool.MaxWorkers) * tasksThatFit(spec.Size, pool.MaxWorker())
	}
	switch {
	case slots == 0 && spec.Region != "":
		return fmt.Sprintf("a task of %v is larger than any worker of the pools %v in region %q", spec.Size, policy.Pools, spec.Region)
	case slots == 0:
		return fmt.Sprintf("a task of %v is larger than any worker of the pools %v", spec.Size, policy.Pools)
	case runsTogether(policy.Kind) && slots < int64(spec.Tasks):
		return fmt.Sprintf("the pools %v hold at most %d tasks of %v at once, the job has %d", policy.Pools, slots, spec.Size, spec.Tasks)
	}
	return ""
}

// runsTogether reports whether all tasks of a job must run at the same time.
func runsTogether(kind cell.PolicyKind) bool { return kind != cell.KindBatch }

// tasksThatFit returns how many tasks of the given size fit a worker of the given capacity.
func tasksThatFit(size, capacity cell.Resources) int64 {
	times := int64(maxTasksPerWorker)
	for _, part := range [][2]int64{
		{size.MilliCPU, capacity.MilliCPU},
		{size.MemoryBytes, capacity.MemoryBytes},
		{size.Accelerators, capacity.Accelerators},
	} {
		if part[0] > 0 {
			times = min(times, part[1]/part[0])
		}
	}
	return times
}

// maxTasksPerWorker limits the result of tasksThatFit, for tasks whose size is zero or very small in
// every dimension.
const maxTasksPerWorker = 1 << 20

// overQuota returns the reason why the job exceeds the whole quota of its team, or an empty string.
func overQuota(spec cell.JobSpec, policy cellconfig.Policy, team cellconfig.Team) string {
	need, what := spec.Size, "a task"
	if runsTogether(policy.Kind) {
		need, what = spec.Size.Scale(int64(spec.Tasks)), "the job"
	}
	if !need.Fits(team.Quota()) {
		return fmt.Sprintf("%s needs %v, the whole quota of team %s is %v", what, need, team.Name, team.Quota())
	}
	if spec.Priority == cell.PriorityUrgent && need.MilliCPU > team.UrgentMilliCPU() {
		return fmt.Sprintf("%s needs %dm of urgent work, team %s may hold %dm", what, need.MilliCPU, team.Name, team.UrgentMilliCPU())
	}
	return ""
}

// cancelJob ends a job. A placed task may have started before its worker learns of the cancellation;
// the detail says how many such tasks there are.
func (s *State) cancelJob(id cell.JobID) Result {
	j := s.jobs[id]
	if j == nil {
		return refuse(RefusalUnknownJob, "no job %d is known", id)
	}
	if j.state == cell.JobCancelled {
		return Result{Detail: "the job was cancelled before", Job: &JobResult{ID: id, State: j.state, Repeated: true}}
	}
	if j.state.Terminal() {
		result := refuse(RefusalJobEnded, "the job had already ended: %s", j.state)
		result.Job = &JobResult{ID: id, State: j.state}
		return result
	}
	cancelled, stopping := s.endJob(j, cell.JobCancelled)
	detail := fmt.Sprintf("%d queued tasks will not start; %d placed tasks are told to stop and may have run", cancelled, stopping)
	return Result{Detail: detail, Job: &JobResult{ID: id, State: j.state}}
}
