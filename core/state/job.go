package state

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// job is a job with its tasks.
type job struct {
	id          cell.JobID
	key         string
	spec        cell.JobSpec
	kind        cell.PolicyKind // of its policy; it cannot change while the job lives
	state       cell.JobState
	submittedAt time.Time
	endedAt     time.Time // by the clock of retention
	tasks       []task
	active      int       // tasks that have an allocation
	open        int       // tasks that are not in a terminal state
	notBefore   time.Time // failed tasks of the job wait until then
}

// task is one task of a job.
type task struct {
	state      cell.TaskState
	attempts   int // failures that count against the policy's limit
	allocation cell.AllocationID
	preempted  bool  // lost its last allocation to other work
	notBefore  int64 // Unix milliseconds
	detail     string
}

// jobKey identifies a submission by the caller's own key.
type jobKey struct {
	team cell.Team
	key  string
}

// teamUse is what a team holds.
type teamUse struct {
	reserved       cell.Resources
	urgentMilliCPU int64
	queuedJobs     int
}

// team returns the counters of a team.
func (s *State) team(name cell.Team) *teamUse {
	use := s.teams[name]
	if use == nil {
		use = &teamUse{}
		s.teams[name] = use
	}
	return use
}

// liveJobs returns the jobs that are not ended or still hold reservations, by
// id.
func (s *State) liveJobs() []cell.JobID {
	var ids []cell.JobID
	for id, j := range s.jobs {
		if !j.state.Terminal() || j.active > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// setJobState changes the state of a job and keeps the counters and the list
// of ended jobs.
func (s *State) setJobState(j *job, next cell.JobState) {
	if j.state == next {
		return
	}
	if j.state == cell.JobQueued {
		s.team(j.spec.Team).queuedJobs--
	}
	j.state = next
	if next.Terminal() {
		s.emit(Event{JobEnded: &JobEnded{ID: j.id, State: next}})
		s.retain(j)
	}
}

// retain starts the retention of a job that has ended and holds nothing.
func (s *State) retain(j *job) {
	if j.state.Terminal() && j.active == 0 {
		j.endedAt = s.retained
		s.ended = append(s.ended, j.id)
	}
}

// endJob ends a job: its queued tasks are cancelled, the others are told to
// stop. It returns how many of each there were.
func (s *State) endJob(j *job, next cell.JobState) (dropped, stopping int) {
	s.setJobState(j, next)
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.state == cell.TaskQueued:
			s.endTask(j, t, cell.TaskCancelled)
			dropped++
		case t.allocation != 0:
			s.stopAllocation(s.allocations[t.allocation], false)
			stopping++
		}
	}
	return dropped, stopping
}

// endTask puts a task without an allocation in a terminal state.
func (s *State) endTask(j *job, t *task, next cell.TaskState) {
	t.state = next
	j.open--
}

// queueTask makes a task wait for a placement. A gang waits as a whole.
func (s *State) queueTask(j *job, index int) {
	t := &j.tasks[index]
	t.state = cell.TaskQueued
	if j.kind == cell.KindGang && !j.notBefore.IsZero() {
		t.notBefore = j.notBefore.UnixMilli()
	}
	s.emit(Event{TaskQueued: queuedEvent(j, index, t)})
}

func queuedEvent(j *job, index int, t *task) *TaskQueued {
	return &TaskQueued{
		Task:      cell.TaskID{Job: j.id, Index: index},
		Attempts:  t.attempts,
		Preempted: t.preempted,
		NotBefore: t.notBefore,
	}
}

// failTask counts a failure of a task. Where the policy's limit is reached the
// job fails; otherwise the task waits.
func (s *State) failTask(j *job, index int, detail string) {
	t := &j.tasks[index]
	t.detail = shorten(detail)
	countFailure(j, t)
	policy := s.config.policies[j.spec.Policy]
	if t.attempts >= policy.MaxAttempts {
		s.endTask(j, t, cell.TaskFailed)
		s.endJob(j, cell.JobFailed)
		return
	}
	s.backOff(j, t, policy.BackoffInitial, policy.BackoffMax)
	s.queueTask(j, index)
}

// countFailure counts a failure. That of a gang's task counts for the whole
// gang, because the gang starts again: counted one by one, a gang of n tasks
// could be started n times as often as the policy allows.
func countFailure(j *job, failed *task) {
	if j.kind != cell.KindGang {
		failed.attempts++
		return
	}
	for i := range j.tasks {
		if !j.tasks[i].state.Terminal() {
			j.tasks[i].attempts++
		}
	}
}

// backOff delays a task that failed, twice as long for each failure up to most.
// The delay holds for the job: a task that fails while another one waits waits
// at least as long, so that many failing tasks do not retry one by one.
func (s *State) backOff(j *job, t *task, first, most time.Duration) {
	delay := first
	for i := 1; i < t.attempts && delay < most; i++ {
		delay *= 2
	}
	until := s.now.Add(min(delay, most))
	if until.After(j.notBefore) {
		j.notBefore = until
	}
	t.notBefore = j.notBefore.UnixMilli()
}

// finishTask records that a task ended well. The job succeeds with its last
// task.
func (s *State) finishTask(j *job, index int) {
	s.endTask(j, &j.tasks[index], cell.TaskSucceeded)
	if j.open == 0 && !j.state.Terminal() {
		s.setJobState(j, cell.JobSucceeded)
	}
}
