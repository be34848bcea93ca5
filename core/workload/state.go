package workload

import (
	"slices"
	"time"
)

// JobRetention is how long an ended job can be read and its id is known. The
// platforms known today ask for 120 s; a late copy of a submission arrives
// within seconds.
const JobRetention = 10 * time.Minute

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	config  *Config
	queues  map[string]*Queue // by name, of config
	jobs    map[JobID]*Job
	order   []JobID        // accepted jobs, oldest first
	pending map[string]int // accepted jobs of a queue that have not started
	workers map[WorkerID]*workerState
	clock   time.Duration // of retention, in the latest command
}

// New returns the state before the first command.
func New() *State {
	return &State{
		queues: map[string]*Queue{}, jobs: map[JobID]*Job{}, pending: map[string]int{},
		workers: map[WorkerID]*workerState{},
	}
}

// Apply carries out a command. now is the largest time of a command so far,
// retained the clock of retention.
func (s *State) Apply(now time.Time, retained time.Duration, c Command) Result {
	s.clock = max(s.clock, retained)
	switch {
	case c.Configure != nil:
		return s.configure(*c.Configure)
	case c.Submit != nil:
		return s.submit(now, *c.Submit)
	case c.Cancel != nil:
		return s.cancel(retained, c.Cancel.ID)
	case c.Register != nil:
		return s.register(c.Register.Worker, retained)
	case c.Drain != nil:
		return s.drain(*c.Drain)
	case c.Decide != nil:
		return s.decide(retained, *c.Decide)
	case c.EndBoot != nil:
		return s.endBoot(retained, *c.EndBoot)
	}
	return Result{Refusal: RefusalInvalid}
}

// configure puts a configuration in force where its version is the highest. An
// older or repeated one changes nothing and is not refused: the operator sends
// again what it got no answer to.
func (s *State) configure(c Config) Result {
	if s.config != nil && c.Version <= s.config.Version {
		return Result{Version: s.config.Version}
	}
	s.config = &c
	s.indexQueues()
	return Result{Version: c.Version}
}

func (s *State) indexQueues() {
	s.queues = map[string]*Queue{}
	for i := range s.config.Queues {
		s.queues[s.config.Queues[i].Name] = &s.config.Queues[i]
	}
}

func (s *State) submit(now time.Time, c Submit) Result {
	if job := s.jobs[c.ID]; job != nil {
		return Result{State: job.State}
	}
	if s.config == nil {
		return Result{Refusal: RefusalNoConfig}
	}
	queue := s.queues[c.Spec.Queue]
	if queue == nil {
		return Result{Refusal: RefusalNoQueue}
	}
	if !c.Spec.valid() {
		return Result{Refusal: RefusalInvalid}
	}
	job := &Job{ID: c.ID, Spec: c.Spec, Queue: *queue, State: JobQueued, AcceptedAt: now}
	for _, step := range c.Spec.Steps {
		job.Steps = append(job.Steps, Step{Tasks: make([]Task, step.Tasks), RemainingTasks: step.Tasks})
	}
	s.jobs[c.ID] = job
	s.order = append(s.order, c.ID)
	s.pending[queue.Name]++
	return Result{State: job.State}
}

// Bounds of a job. A larger one is refused as invalid.
const (
	maxSteps = 64
	maxTasks = 10_000
)

func (spec JobSpec) valid() bool {
	if len(spec.Steps) == 0 || len(spec.Steps) > maxSteps {
		return false
	}
	for i, step := range spec.Steps {
		size := step.Size
		if step.Tasks < 1 || step.Tasks > maxTasks || size.MilliCPU < 0 || size.MemoryMB < 0 || size.GPUs < 0 {
			return false
		}
		for _, before := range step.DependsOn {
			if before < 0 || before >= i {
				return false
			}
		}
	}
	return true
}

func (s *State) cancel(retained time.Duration, id JobID) Result {
	job := s.jobs[id]
	if job == nil {
		return Result{Refusal: RefusalUnknownJob}
	}
	if !job.State.Ended() {
		s.end(job, JobCancelled, retained)
	}
	return Result{State: job.State}
}

// end moves a job to a final state.
func (s *State) end(job *Job, state JobState, retained time.Duration) {
	if !job.Started {
		s.pending[job.Queue.Name]--
	}
	job.State = state
	job.EndedAt = retained
}

func (s *State) register(w Worker, retained time.Duration) Result {
	known := s.workers[w.ID]
	if known != nil && (w.Boot < known.Boot || w.Boot == known.Boot && known.Gone) {
		return Result{Refusal: RefusalStaleBoot}
	}
	if known == nil {
		s.workers[w.ID] = &workerState{Worker: w, runs: map[TaskID]RunNumber{}}
		return Result{}
	}
	if w.Boot > known.Boot {
		// The former boot has ended, and its runs with it.
		s.closeAll(known, retained, EndBoot{})
		known.Worker = w
		return Result{}
	}
	if known.Draining {
		w.Draining, w.LeavesIn = true, known.LeavesIn
	}
	// A boot keeps its room. A report that says otherwise comes from another
	// writer, and less room than its open runs have could not be honoured.
	w.Capacity = known.Capacity
	known.Worker = w
	return Result{}
}

func (s *State) drain(c Drain) Result {
	w := s.workers[c.Worker]
	if w == nil || w.Boot != c.Boot {
		return Result{Refusal: RefusalStaleBoot}
	}
	w.Draining = true
	return Result{}
}

func (s *State) decide(retained time.Duration, c Decide) Result {
	for _, ending := range c.Ends {
		s.endRun(retained, ending)
	}
	result := Result{}
	for _, assign := range c.Assigns {
		result.Assigns = append(result.Assigns, s.assign(assign))
	}
	return result
}

// endRun closes a run, or takes the end of one that was closed before.
func (s *State) endRun(retained time.Duration, e EndedRun) {
	w := s.workers[e.Worker]
	if w == nil || w.Boot != e.Boot || e.Run == 0 {
		return
	}
	if w.runs[e.Task] != e.Run {
		s.endClosed(retained, e)
		return
	}
	s.closeRun(retained, w, e.Task, e.How, e.Checkpoint)
}

// endClosed takes the end of a run that was closed before. It counts where the
// run was done, was the last one of its task, and no other is open.
func (s *State) endClosed(retained time.Duration, e EndedRun) {
	job, step, task := s.find(e.Task)
	if task == nil || !task.AcceptsLateEnd(e.Run, e.How) {
		return
	}
	job.HasExecuted = true
	s.begin(job)
	s.done(job, step, &job.Spec.Steps[e.Task.Step], task, retained)
}

// AcceptsLateEnd reports whether the end of a closed run of the task counts. A failed
// run may have been counted when it was closed: its end is listed again until it
// is taken note of, also to the next leader.
func (t *Task) AcceptsLateEnd(number RunNumber, how RunEnd) bool {
	return how == EndDone && t.State == TaskPending && t.Run == number
}

// closeRun frees the capacity of a run and moves its task on.
func (s *State) closeRun(retained time.Duration, w *workerState, id TaskID, how RunEnd, checkpoint string) {
	delete(w.runs, id)
	job, step, task := s.find(id)
	if task == nil {
		return
	}
	spec := &job.Spec.Steps[id.Step]
	w.used = w.used.Sub(spec.Size)
	task.Open = false
	step.ClosedAt = s.clock
	if how == EndNeverStarted {
		s.neverBegan(job)
	} else {
		job.HasExecuted = true
	}
	if task.State == TaskDone {
		return
	}
	task.State = TaskPending
	s.keepCheckpoint(step, spec, task, checkpoint)
	switch how {
	case EndDone:
		s.done(job, step, spec, task, retained)
	case EndFailed:
		s.failed(job, step, spec, task, task.Run, retained)
	}
}

// begin counts a job as begun.
func (s *State) begin(job *Job) {
	if job.State.Ended() {
		return
	}
	if !job.Started {
		job.Started = true
		s.pending[job.Queue.Name]--
	}
	job.State = JobRunning
}

// neverBegan follows the close of a run that never began: a job of which nothing
// else has begun waits again.
func (s *State) neverBegan(job *Job) {
	if job.HasExecuted || job.State.Ended() || job.open() {
		return
	}
	job.Started, job.State = false, JobQueued
	s.pending[job.Queue.Name]++
}

// keepCheckpoint stores the progress of a run. The progress of any member is
// that of its gang.
func (s *State) keepCheckpoint(step *Step, spec *StepSpec, task *Task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	task.Checkpoint = checkpoint
	if !spec.Gang {
		return
	}
	for i := range step.Tasks {
		step.Tasks[i].Checkpoint = checkpoint
	}
}

// done ends a task. One end of a gang stands for all of its members.
func (s *State) done(job *Job, step *Step, spec *StepSpec, task *Task, retained time.Duration) {
	task.State = TaskDone
	step.RemainingTasks--
	if spec.Gang {
		for i := range step.Tasks {
			step.Tasks[i].State = TaskDone
		}
		step.RemainingTasks = 0
	}
	if job.State.Ended() {
		return
	}
	for i := range job.Steps {
		if job.Steps[i].RemainingTasks > 0 {
			return
		}
	}
	s.end(job, JobCompleted, retained)
}

func (s *State) failed(job *Job, step *Step, spec *StepSpec, task *Task, number RunNumber, retained time.Duration) {
	failures := 0
	if spec.Gang {
		if step.LastFailedRun != number {
			step.LastFailedRun = number
			step.Failures++
		}
		failures = step.Failures
	} else {
		task.Failures++
		failures = task.Failures
	}
	if failures >= job.Queue.MaxAttempts && !job.State.Ended() {
		s.end(job, JobFailed, retained)
	}
}

func (s *State) endBoot(retained time.Duration, c EndBoot) Result {
	w := s.workers[c.Worker]
	if w == nil || w.Boot != c.Boot {
		return Result{Refusal: RefusalStaleBoot}
	}
	for _, saved := range c.Checkpoints {
		if w.runs[saved.Task] != saved.Run || saved.Run == 0 {
			continue
		}
		job, step, task := s.find(saved.Task)
		if task != nil && task.State != TaskDone {
			s.keepCheckpoint(step, &job.Spec.Steps[saved.Task.Step], task, saved.Checkpoint)
		}
	}
	s.closeAll(w, retained, c)
	if c.Permanent {
		w.Gone = true
	}
	return Result{}
}

// closeAll closes the runs of a boot that has ended, in a fixed order. Where
// another worker has replaced it, nothing can begin them any more.
func (s *State) closeAll(w *workerState, retained time.Duration, c EndBoot) {
	for _, id := range sortedTasks(w.runs) {
		how := EndLost
		if slices.Contains(c.UnconfirmedRuns, id) {
			how = EndNeverStarted
		}
		s.closeRun(retained, w, id, how, "")
		if _, _, task := s.find(id); task != nil && c.Replaced {
			task.Worker = ""
		}
	}
}

// find returns the job, step and task of an id, or nil ones.
func (s *State) find(id TaskID) (*Job, *Step, *Task) {
	job := s.jobs[id.Job]
	if job == nil || id.Step >= len(job.Steps) || id.Index >= len(job.Steps[id.Step].Tasks) {
		return nil, nil, nil
	}
	step := &job.Steps[id.Step]
	return job, step, &step.Tasks[id.Index]
}

// Expire drops the jobs that ended longer ago than JobRetention.
func (s *State) Expire(retained time.Duration) {
	s.clock = max(s.clock, retained)
	keep := s.order[:0]
	for _, id := range s.order {
		job := s.jobs[id]
		if job.State.Ended() && retained-job.EndedAt >= JobRetention && !job.open() {
			delete(s.jobs, id)
			continue
		}
		keep = append(keep, id)
	}
	clear(s.order[len(keep):])
	s.order = keep
}

// open reports whether a run of the job is open.
func (j *Job) open() bool {
	for i := range j.Steps {
		if slices.ContainsFunc(j.Steps[i].Tasks, func(t Task) bool { return t.Open }) {
			return true
		}
	}
	return false
}
