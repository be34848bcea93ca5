package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/runtimes"
)

// ExplainQuery asks where a job would go now: a known one, or one that is not sent.
type ExplainQuery struct {
	Job  JobID    `cbor:",omitempty"` // a known job; otherwise Spec and Team describe one
	Spec JobSpec  `cbor:",omitempty"`
	Team TeamName `cbor:",omitempty"`
}

// Explanation says where a job would go now and why. It contains what the replicated state knows. The
// leader alone knows which workers the adviser grants, which ones it avoids and how fast they are.
type Explanation struct {
	// Refusal is why the job would be refused, or RefusalUnknownJob.
	Refusal     Refusal       `json:",omitempty"`
	RetryAfter  time.Duration `json:",omitempty"`
	Job         JobID         `json:",omitempty"`
	State       JobState      `json:",omitempty"`
	Queue       string        `json:",omitempty"`
	Priority    int
	Team        TeamName  `json:",omitempty"`
	TeamUse     Resources // total demand of the team's open runs
	TeamCap     Resources // 0 in a dimension is no limit
	TeamWeight  float64   `json:",omitempty"`
	BeyondShare bool      // the job is beyond the rate that its team is guaranteed
	Advised     bool      // the adviser decides which workers may run the job
	// PendingJobs is the number of jobs of the queue of which no worker is known to have begun a task.
	PendingJobs int
	// RunTimeRatio is the expected multiple of the declared run times.
	RunTimeRatio float64
	// ExpectedWait is how long the work that comes first keeps the workers busy.
	ExpectedWait time.Duration
	Steps        []StepExplanation // steps that are not done
}

// StepExplanation says where the waiting tasks of a step would go.
type StepExplanation struct {
	Step        int
	Waiting     int // tasks without an open run that are not done
	Running     int
	Gang        bool
	Blocked     Refusal    `json:",omitempty"` // why no task would start now whatever the workers have free
	Fitting     []WorkerID // the workers that fit a task now, those with the least free processors first
	FittingAll  int        // number of all of them
	Slots       int        // tasks that they could take together
	Unfitting   []UnfittingWorkers
	RunTime     time.Duration // expected run time of a task
	EndExpected time.Duration // expected time from now to the end of the step
}

// UnfittingWorkers counts the workers that do not fit a task for one reason, the first that applies.
type UnfittingWorkers struct {
	Reason  Refusal
	Workers int
}

const (
	// maxFittingWorkers bounds the workers that an explanation lists by name, and maxExplainedSteps its
	// steps.
	maxFittingWorkers = 5
	maxExplainedSteps = 16
)

// Explain says where a job would go. It does not change the state.
func (s *State) Explain(now time.Time, q ExplainQuery) Explanation {
	job := s.FindJob(q.Job)
	e := Explanation{Job: q.Job}
	switch {
	case q.Job != "" && job == nil:
		e.Refusal = RefusalUnknownJob
		return e
	case job == nil:
		if job, e.Refusal = s.unsentJob(now, q); job == nil {
			return e
		}
		if e.Refusal == RefusalNone {
			if wait, refused := s.refusedBeyondShare(job); refused {
				e.Refusal, e.RetryAfter = RefusalNoRoomBeyondShare, wait
			}
		}
	}
	group := s.runTimes[job.Queue.Name]
	if group == nil {
		group = &runtimes.Group{}
	}
	e.State, e.Queue, e.Priority = job.State, job.Queue.Name, job.Queue.Priority
	e.Team, e.TeamUse, e.TeamCap, e.TeamWeight = job.Team, s.TeamUse(job.Team), s.TeamCap(job.Team), s.TeamWeight(job.Team)
	e.BeyondShare, e.Advised = job.BeyondShare, job.Queue.Advice != nil
	e.PendingJobs, e.RunTimeRatio = s.PendingJobs(job.Queue.Name), group.Ratio(&runtimes.Siblings{})
	if job.State.Ended() {
		return e
	}
	e.ExpectedWait = s.waitForRoom(job)
	ends := make([]time.Duration, len(job.Steps))
	for i := range job.Steps {
		if job.Steps[i].RemainingTasks == 0 || len(e.Steps) == maxExplainedSteps {
			continue
		}
		step := s.explainStep(job, i)
		step.RunTime = runtimes.Scale(job.Spec.Steps[i].Estimate, e.RunTimeRatio)
		start := time.Duration(0)
		if step.Waiting > 0 && step.Slots == 0 || step.Blocked != RefusalNone && step.Blocked != RefusalDependency {
			start = e.ExpectedWait
		}
		for _, dependency := range job.Spec.Steps[i].DependsOn {
			start = max(start, ends[dependency])
		}
		ends[i] = start + step.RunTime
		step.EndExpected = ends[i]
		e.Steps = append(e.Steps, step)
	}
	return e
}

// unsentJob returns a job as it would be accepted, and why it would not be accepted. The job is nil if its
// queue is unknown or its description is not valid.
func (s *State) unsentJob(now time.Time, q ExplainQuery) (*Job, Refusal) {
	queue := s.queues[q.Spec.Queue]
	switch {
	case s.config == nil:
		return nil, RefusalNoConfig
	case queue == nil:
		return nil, RefusalNoQueue
	case !q.Spec.valid():
		return nil, RefusalInvalid
	}
	job := &Job{Spec: q.Spec, Queue: *queue, Team: q.Team, State: JobQueued, AcceptedAt: now}
	job.BeyondShare = q.Team != "" && !s.isWithinRate(q.Team, now)
	for _, step := range q.Spec.Steps {
		job.Steps = append(job.Steps, Step{Tasks: make([]Task, step.Tasks), RemainingTasks: step.Tasks})
	}
	if s.hasUnrunnableGang(q.Team, q.Spec) {
		return job, RefusalTeamCap
	}
	return job, RefusalNone
}

// isWithinRate reports whether one more job of a team is within its guaranteed rate.
func (s *State) isWithinRate(name TeamName, now time.Time) bool {
	_, within := s.rateAfterJob(name, now)
	return within
}

func (s *State) explainStep(job *Job, index int) StepExplanation {
	spec, step := &job.Spec.Steps[index], &job.Steps[index]
	e := StepExplanation{Step: index, Gang: spec.Gang}
	next := -1 // a task that waits
	for i, task := range step.Tasks {
		switch {
		case task.Open:
			e.Running++
		case task.State == TaskPending:
			e.Waiting++
			next = i
		}
	}
	if next < 0 {
		return e
	}
	demand := spec.Size
	if spec.Gang {
		demand = demand.Times(spec.Tasks)
	}
	switch {
	case !job.DependenciesDone(index):
		e.Blocked = RefusalDependency
	case !s.fitsTeamCap(job, demand):
		e.Blocked = RefusalTeamCap
	}
	type fit struct {
		worker WorkerID
		free   int64
	}
	var fits []fit
	unfit := map[Refusal]int{}
	for _, w := range s.workers {
		if reason := s.unfitReason(job, index, next, w); reason != RefusalNone {
			unfit[reason]++
			continue
		}
		free := w.Capacity.Sub(w.used)
		fits = append(fits, fit{w.ID, free.MilliCPU})
		slots := SlotsWithinCap(w.Capacity, w.used, spec.Size, e.Waiting)
		if spec.MaxPerWorker > 0 {
			slots = min(slots, spec.MaxPerWorker-s.countOpenRuns(step, w.ID))
		}
		e.Slots = min(e.Slots+slots, e.Waiting)
	}
	if spec.Gang && e.Slots < spec.Tasks {
		e.Slots = 0
	}
	slices.SortFunc(fits, func(a, b fit) int { return cmp.Or(cmp.Compare(a.free, b.free), cmp.Compare(a.worker, b.worker)) })
	e.FittingAll = len(fits)
	for _, f := range fits[:min(len(fits), maxFittingWorkers)] {
		e.Fitting = append(e.Fitting, f.worker)
	}
	for reason, workers := range unfit {
		e.Unfitting = append(e.Unfitting, UnfittingWorkers{reason, workers})
	}
	slices.SortFunc(e.Unfitting, func(a, b UnfittingWorkers) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Reason, b.Reason))
	})
	return e
}

// RefusalTooSmall is the reason of a worker that could not take a task even if nothing ran there. It occurs
// in explanations only.
const RefusalTooSmall Refusal = "too-small"

// unfitReason returns why a worker could not take a task now, whatever its team has running.
func (s *State) unfitReason(job *Job, index, task int, w *workerState) Refusal {
	reason := s.checkMember(job, StepID{Job: job.ID, Step: index}, TaskAssignment{Index: task, Worker: w.ID, Boot: w.Boot})
	switch {
	case reason == RefusalTeamCap:
		return RefusalNone
	case reason == RefusalNoCapacity && !job.Spec.Steps[index].Size.Fits(w.Capacity):
		return RefusalTooSmall
	}
	return reason
}
