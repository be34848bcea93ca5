package workload

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/runtimes"
)

// AdvanceInterval is the step of the steady clock. A leader proposes an Advance at the earliest one
// interval after its previous one was applied.
const AdvanceInterval = time.Second

// JobRetention is how long an ended job can be queried and its id is recognised in a repeated
// submission. Current platforms require 120 s; a delayed copy of a submission arrives within
// seconds.
const JobRetention = 10 * time.Minute

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	config         *Config
	queues         map[string]*Queue // queues of config, by name
	jobs           map[JobID]*Job    // jobs whose steps are kept
	jobOrder       []JobID           // these jobs in the order in which they were accepted
	ended          map[JobID]endedJob
	endedOrder     []JobID // of ended, by the time of the end
	jobMemory      JobMemory
	nextDetailDrop time.Duration  // retention clock when the steps of an ended job are next dropped; 0 if none has ended
	pendingJobs    map[string]int // number of pending jobs, by queue
	workers        map[WorkerID]*workerState
	teams          map[TeamName]*Team         // teams of config, by name
	teamUse        map[TeamName]Resources     // total demand of the open runs, by team; "" for jobs without one
	teamRates      map[TeamName]time.Time     // TeamRate.FullAt, by team
	backlogs       map[backlogKey]backlog     // of the jobs that have not ended
	beyondUse      map[backlogKey]Resources   // demand of the open runs of jobs beyond their team's share
	services       map[string]serviceUse      // by service
	retentionClock time.Duration              // retention clock of the latest command
	steadyClock    time.Duration              // lower bound of the time that has passed under leaders
	runTimes       map[string]*runtimes.Group // what is known about the run times, by queue
}

// New returns the initial state.
func New() *State {
	return &State{
		runTimes: map[string]*runtimes.Group{},
		queues:   map[string]*Queue{}, jobs: map[JobID]*Job{}, pendingJobs: map[string]int{}, ended: map[JobID]endedJob{}, jobMemory: newJobMemory(),
		workers: map[WorkerID]*workerState{}, teams: map[TeamName]*Team{}, teamUse: map[TeamName]Resources{},
		teamRates: map[TeamName]time.Time{}, backlogs: map[backlogKey]backlog{}, beyondUse: map[backlogKey]Resources{}, services: map[string]serviceUse{},
	}
}

// Apply applies a command. now is the largest command time so far, and retentionClock is the value of
// the retention clock at the command.
func (s *State) Apply(now time.Time, retentionClock time.Duration, c Command) Result {
	s.retentionClock = max(s.retentionClock, retentionClock)
	switch {
	case c.Configure != nil:
		return s.configure(*c.Configure)
	case c.Submit != nil:
		return s.submit(now, *c.Submit)
	case c.Cancel != nil:
		return s.cancel(retentionClock, *c.Cancel)
	case c.Register != nil:
		return s.register(c.Register.Worker, retentionClock)
	case c.Drain != nil:
		return s.drain(*c.Drain)
	case c.Decide != nil:
		return s.decide(retentionClock, *c.Decide)
	case c.EndBoot != nil:
		return s.endBoot(retentionClock, *c.EndBoot)
	}
	return Result{Refusal: RefusalInvalid}
}

// configure puts a configuration in force if its version is higher than the current one. A lower or
// equal version has no effect and is not refused, because an operator that got no answer sends the
// configuration again.
func (s *State) configure(c Config) Result {
	if s.config != nil && c.Version <= s.config.Version {
		return Result{Version: s.config.Version}
	}
	s.config = &c
	s.indexConfig()
	s.removeRatesOfUnlistedTeams()
	s.removeUnlistedRunTimes()
	return Result{Version: c.Version}
}

func (s *State) indexConfig() {
	s.queues = map[string]*Queue{}
	for i := range s.config.Queues {
		s.queues[s.config.Queues[i].Name] = &s.config.Queues[i]
	}
	s.teams = map[TeamName]*Team{}
	for i := range s.config.Teams {
		s.teams[s.config.Teams[i].Name] = &s.config.Teams[i]
	}
}

func (s *State) submit(now time.Time, c Submit) Result {
	if job := s.FindJob(c.ID); job != nil {
		if job.Team != c.Team {
			return Result{Refusal: RefusalOtherTeam}
		}
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
	if s.hasUnrunnableGang(c.Team, c.Spec) {
		return Result{Refusal: RefusalTeamCap}
	}
	job := &Job{ID: c.ID, Spec: c.Spec, Queue: *queue, Team: c.Team, State: JobQueued, AcceptedAt: now}
	job.BeyondShare = c.Team != "" && !s.takeFromRate(c.Team, now)
	for _, step := range c.Spec.Steps {
		job.Steps = append(job.Steps, Step{Tasks: make([]Task, step.Tasks), RemainingTasks: step.Tasks})
	}
	if retryAfter, refused := s.refusedBeyondShare(job); refused {
		return Result{Refusal: RefusalNoRoomBeyondShare, RetryAfter: retryAfter}
	}
	s.addWaitingTasks(job, 1)
	s.jobMemory.addJob(job, 1)
	s.jobs[c.ID] = job
	s.jobOrder = append(s.jobOrder, c.ID)
	s.pendingJobs[queue.Name]++
	return Result{State: job.State}
}

// Limits of a job. A larger job is refused as invalid.
const (
	maxStepsPerJob  = 64
	maxTasksPerStep = 10_000
)

func (spec JobSpec) valid() bool {
	if len(spec.Steps) == 0 || len(spec.Steps) > maxStepsPerJob {
		return false
	}
	for i, step := range spec.Steps {
		size := step.Size
		if step.Tasks < 1 || step.Tasks > maxTasksPerStep || size.MilliCPU < 0 || size.MemoryMB < 0 || size.GPUs < 0 {
			return false
		}
		for _, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= i {
				return false
			}
		}
	}
	return true
}

func (s *State) cancel(retentionClock time.Duration, c Cancel) Result {
	job := s.JobFor(c.ID, Caller{Team: c.Team, AnonymousQueue: c.AnonymousQueue})
	if job == nil {
		return Result{Refusal: RefusalUnknownJob}
	}
	if !job.State.Ended() {
		s.endJob(job, JobCancelled, retentionClock)
	}
	return Result{State: job.State}
}

// endJob moves a job to a final state.
func (s *State) endJob(job *Job, state JobState, retentionClock time.Duration) {
	if job.isPending() {
		s.pendingJobs[job.Queue.Name]--
	}
	s.addWaitingTasks(job, -1)
	job.State = state
	job.EndedAt = retentionClock
	for i := range job.Steps {
		job.Steps[i].ClosedRuns = nil
	}
	s.releasePayload(job)
}

func (s *State) register(w Worker, retentionClock time.Duration) Result {
	known := s.workers[w.ID]
	if known != nil && (w.Boot < known.Boot || w.Boot == known.Boot && known.Gone) {
		return Result{Refusal: RefusalStaleBoot}
	}
	if known == nil {
		added := &workerState{Worker: w, runs: map[TaskID]RunNumber{}}
		s.workers[w.ID] = added
		s.addToService(added, 1)
		return Result{}
	}
	if w.Boot > known.Boot {
		// A later boot implies that the previous one and its runs have ended.
		s.closeRuns(known, retentionClock, EndBoot{Permanent: true})
		s.forgetFailuresOn(w.ID)
		s.replaceWorker(known, w)
		return Result{}
	}
	if known.Draining {
		w.Draining, w.LeavesIn = true, known.LeavesIn
	}
	// The capacity of a boot is fixed. A report with a different one comes from another source, and a
	// capacity below the demand of the open runs would violate the capacity invariant.
	w.Capacity = known.Capacity
	s.replaceWorker(known, w)
	return Result{}
}

func (s *State) drain(c Drain) Result {
	w := s.workers[c.Worker]
	if w == nil || w.Boot != c.Boot {
		return Result{Refusal: RefusalStaleBoot}
	}
	s.addToService(w, -1)
	w.Draining = true
	return Result{}
}

func (s *State) decide(retentionClock time.Duration, c Decide) Result {
	for _, ending := range c.Ends {
		switch ending.How {
		case reportBegun:
			s.reportedBegun(ending.Task)
		case reportRunTimes:
			s.addRunTimes(ending)
		default:
			s.endRun(retentionClock, ending)
		}
	}
	result := Result{}
	for _, assign := range c.Assigns {
		result.Assigns = append(result.Assigns, s.assign(assign))
	}
	return result
}

// endRun closes a run, or records the outcome of a run that is closed already.
func (s *State) endRun(retentionClock time.Duration, e EndedRun) {
	w := s.workers[e.Worker]
	if w == nil || w.Boot != e.Boot || e.Run == 0 {
		return
	}
	if w.runs[e.Task] != e.Run {
		s.acceptLateEnd(retentionClock, e)
		return
	}
	s.closeRun(retentionClock, w, e.Task, e.How, e.Checkpoint)
	s.listClosedRun(w, e.Task, e.How)
}

// acceptLateEnd records the outcome of a run that is closed already, if it still counts.
func (s *State) acceptLateEnd(retentionClock time.Duration, e EndedRun) {
	if !s.AcceptsLateEnd(e.Task, e.Worker, e.Run, e.How) {
		return
	}
	job, step, task := s.findTask(e.Task)
	spec := &job.Spec.Steps[e.Task.Step]
	s.markBegun(job)
	s.markStarted(job)
	switch {
	case e.How == EndDone && task.Open:
		step.latestClosedRun(e.Task.Index, e.Worker).How = EndDone
		return
	case e.How == EndDone:
		s.completeTask(job, step, spec, task, retentionClock)
		return
	}
	step.closedRun(e.Task.Index, e.Worker, e.Run).How = EndFailed
	s.countFailure(job, step, spec, task, e.Run, retentionClock)
}

// AcceptsLateEnd reports whether the outcome of a closed run counts. That a run was done counts if the
// run is the latest one of a pending task, or is listed and has not failed: a late start of an earlier run
// may have been carried out. While a later run is open, it counts once that run is closed. A failure
// counts once, although a worker repeats its report to the next leader, while the closed run is listed
// with another end.
func (s *State) AcceptsLateEnd(id TaskID, worker WorkerID, run RunNumber, how RunEnd) bool {
	_, step, task := s.findTask(id)
	if task == nil {
		return false
	}
	closed := step.latestClosedRun(id.Index, worker)
	covered := closed != nil && closed.covers(run)
	switch how {
	case EndDone:
		if task.Open {
			return task.State != TaskDone && covered && !step.hasDoneRun(id.Index)
		}
		return task.State == TaskPending && (task.Run == run || covered)
	case EndFailed:
		return covered && closed.Run == run && closed.How != EndDone
	}
	return false
}

// closeRun releases the capacity of a run and updates the state of its task.
func (s *State) closeRun(retentionClock time.Duration, w *workerState, id TaskID, how RunEnd, checkpoint string) {
	delete(w.runs, id)
	job, step, task := s.findTask(id)
	if task == nil {
		return
	}
	spec := &job.Spec.Steps[id.Step]
	s.addUse(w, Resources{}.Sub(spec.Size))
	s.addTeamUse(job, Resources{}.Sub(spec.Size))
	task.Open = false
	step.ClosedAt, step.SteadyClosedAt = s.retentionClock, s.steadyClock
	switch how {
	case EndNeverStarted:
		s.requeueIfNotStarted(job)
	case EndLost:
		// The worker may not have begun the run. If it has, a BegunReport says so.
	default:
		s.markBegun(job)
	}
	s.releasePayload(job)
	if task.State == TaskDone {
		return
	}
	task.State = TaskPending
	if !job.State.Ended() {
		s.addBacklog(job, spec, 1)
	}
	s.storeCheckpoint(step, spec, task, checkpoint)
	switch {
	case how == EndDone || step.hasDoneRun(id.Index):
		s.completeTask(job, step, spec, task, retentionClock)
	case how == EndFailed:
		s.countFailure(job, step, spec, task, task.Run, retentionClock)
	}
}

// markStarted marks a job as started and running, unless it has ended.
func (s *State) markStarted(job *Job) {
	if job.State.Ended() {
		return
	}
	job.Started, job.State = true, JobRunning
}

// requeueIfNotStarted returns a job to the queue after one of its runs was closed without having
// started. It does nothing if another run is open or a worker has begun one.
func (s *State) requeueIfNotStarted(job *Job) {
	if job.Begun || job.State.Ended() || job.hasOpenRun() {
		return
	}
	job.Started, job.State = false, JobQueued
}

// storeCheckpoint stores the checkpoint of a run. The checkpoint of any task of a gang applies to the
// whole gang.
func (s *State) storeCheckpoint(step *Step, spec *StepSpec, task *Task, checkpoint string) {
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

// completeTask marks a task as done. The first task of a gang that is done completes the whole gang.
func (s *State) completeTask(job *Job, step *Step, spec *StepSpec, task *Task, retentionClock time.Duration) {
	if !job.State.Ended() {
		done := 1
		if spec.Gang {
			done = step.waitingTasks()
		}
		s.addBacklog(job, spec, -done)
	}
	task.State = TaskDone
	step.RemainingTasks--
	if spec.Gang {
		for i := range step.Tasks {
			step.Tasks[i].State = TaskDone
		}
		step.RemainingTasks = 0
	}
	step.removeClosedRuns(func(r ClosedRun) bool { return step.Tasks[r.Index].State == TaskDone })
	if job.State.Ended() {
		return
	}
	if step.RemainingTasks == 0 {
		s.addDependents(job, step)
	}
	for i := range job.Steps {
		if job.Steps[i].RemainingTasks > 0 {
			return
		}
	}
	s.endJob(job, JobCompleted, retentionClock)
}

func (s *State) countFailure(job *Job, step *Step, spec *StepSpec, task *Task, run RunNumber, retentionClock time.Duration) {
	failures := 0
	if spec.Gang {
		if run > step.LastFailedRun {
			step.LastFailedRun = run
			step.Failures++
		}
		failures = step.Failures
	} else {
		task.Failures++
		failures = task.Failures
	}
	if failures >= job.Queue.MaxAttempts && !job.State.Ended() {
		s.endJob(job, JobFailed, retentionClock)
	}
}

func (s *State) endBoot(retentionClock time.Duration, c EndBoot) Result {
	w := s.workers[c.Worker]
	if w == nil || w.Boot != c.Boot {
		return Result{Refusal: RefusalStaleBoot}
	}
	for _, saved := range c.Checkpoints {
		if w.runs[saved.Task] != saved.Run || saved.Run == 0 {
			continue
		}
		job, step, task := s.findTask(saved.Task)
		if task != nil && task.State != TaskDone {
			s.storeCheckpoint(step, &job.Spec.Steps[saved.Task.Step], task, saved.Checkpoint)
		}
	}
	s.closeRuns(w, retentionClock, c)
	if c.Permanent {
		s.addToService(w, -1)
		w.Gone = true
	}
	return Result{}
}

// closeRuns closes the runs of a boot that has ended, in task order so that replicas agree. If another
// worker has taken over the address, it rejects all start requests for this one, so the tasks no
// longer name a worker that may still start them.
func (s *State) closeRuns(w *workerState, retentionClock time.Duration, c EndBoot) {
	for _, id := range sortedTasks(w.runs) {
		how := EndLost
		if slices.Contains(c.UnconfirmedRuns, id) {
			how = EndNeverStarted
		}
		s.closeRun(retentionClock, w, id, how, "")
		if _, _, task := s.findTask(id); task != nil && c.Replaced {
			task.Worker = ""
		}
		if !c.Replaced {
			s.listClosedRun(w, id, c.end())
		}
	}
	if c.Replaced {
		s.removeClosedRunsOn(w.ID)
	}
}

// end returns how the end of a boot closes its runs. A boot whose lease has expired may return,
// unless its worker was draining.
func (c EndBoot) end() RunEnd {
	if c.Permanent {
		return EndLost
	}
	return EndLeaseExpired
}

// listClosedRun lists the latest run of a task after it was closed, unless the task is done or its
// job has ended.
func (s *State) listClosedRun(w *workerState, id TaskID, how RunEnd) {
	job, step, task := s.findTask(id)
	if task == nil || task.State == TaskDone || job.State.Ended() {
		return
	}
	s.addClosedRun(step, ClosedRun{Index: id.Index, Run: task.Run, Worker: w.ID, How: how})
}

// findTask returns the job, step and task of an id, or nil for all three if the task is unknown.
func (s *State) findTask(id TaskID) (*Job, *Step, *Task) {
	job := s.jobs[id.Job]
	if job == nil || !job.hasStep(id.StepID()) {
		return nil, nil, nil
	}
	step := &job.Steps[id.Step]
	if id.Index < 0 || id.Index >= len(step.Tasks) {
		return nil, nil, nil
	}
	return job, step, &step.Tasks[id.Index]
}

// hasStep reports whether a step id names a step of the job. Accepted jobs have a single occurrence.
func (j *Job) hasStep(id StepID) bool {
	return id.Occurrence == 0 && id.Step >= 0 && id.Step < len(j.Steps)
}

// Expire advances the clocks and removes the jobs that ended at least JobRetention ago and have no
// open run, the steps of those that ended before endedDetailRetention, and the closed runs that are too old.
func (s *State) Expire(retentionClock, steadyClock time.Duration) {
	s.retentionClock = max(s.retentionClock, retentionClock)
	s.steadyClock = steadyClock
	s.nextDetailDrop = 0
	kept := s.jobOrder[:0]
	for _, id := range s.jobOrder {
		job := s.jobs[id]
		if job.State.Ended() && !job.hasOpenRun() {
			drop := job.EndedAt + endedDetailRetention
			if retentionClock >= drop {
				s.dropDetails(job)
				continue
			}
			if s.nextDetailDrop == 0 || drop < s.nextDetailDrop {
				s.nextDetailDrop = drop
			}
		}
		s.expireClosedRuns(job)
		kept = append(kept, id)
	}
	clear(s.jobOrder[len(kept):])
	s.jobOrder = kept
	s.expireEnded(retentionClock)
}

// hasOpenRun reports whether the job has an open run.
func (j *Job) hasOpenRun() bool {
	for i := range j.Steps {
		if slices.ContainsFunc(j.Steps[i].Tasks, func(t Task) bool { return t.Open }) {
			return true
		}
	}
	return false
}
