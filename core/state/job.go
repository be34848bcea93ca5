package state

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// job is a job with its tasks.
type job struct {
	id              cell.JobID
	key             string
	spec            cell.JobSpec
	kind            cell.PolicyKind // kind of its policy; fixed until the job has ended
	state           cell.JobState
	submittedAt     time.Time
	endedAt         time.Time // retention clock when the job ended
	tasks           []task
	allocatedTasks  int       // tasks that have an allocation
	unfinishedTasks int       // tasks that are not in a terminal state
	notBefore       time.Time // end of the backoff of the failed tasks
}

// task is one task of a job.
type task struct {
	state      cell.TaskState
	attempts   int // failures that count against the policy's limit
	allocation cell.AllocationID
	preempted  bool   // the last allocation was preempted
	notBefore  int64  // end of the backoff in Unix milliseconds
	detail     string // reason of the last failure
}

// jobKey identifies a submission by the key that the caller chose.
type jobKey struct {
	team cell.Team
	key  string
}

// teamUsage counts the reservations and queued jobs of a team.
type teamUsage struct {
	reserved       cell.Resources
	urgentMilliCPU int64
	queuedJobs     int
}

// usageOf returns the counters of a team and creates them if necessary.
func (s *State) usageOf(name cell.Team) *teamUsage {
	usage := s.teams[name]
	if usage == nil {
		usage = &teamUsage{}
		s.teams[name] = usage
	}
	return usage
}

// activeJobs returns the ids of the jobs that have not ended or still have allocations, in ascending
// order.
func (s *State) activeJobs() []cell.JobID {
	var ids []cell.JobID
	for id, j := range s.jobs {
		if !j.state.Terminal() || j.allocatedTasks > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// setJobState changes the state of a job and updates the counters and the list of ended jobs.
func (s *State) setJobState(j *job, next cell.JobState) {
	if j.state == next {
		return
	}
	if j.state == cell.JobQueued {
		s.usageOf(j.spec.Team).queuedJobs--
	}
	j.state = next
	if next.Terminal() {
		s.emit(Event{JobEnded: &JobEnded{ID: j.id, State: next}})
		s.startRetention(j)
	}
}

// startRetention starts the retention of a job if it has ended and has no allocations.
func (s *State) startRetention(j *job) {
	if j.state.Terminal() && j.allocatedTasks == 0 {
		j.endedAt = s.retentionClock
		s.endedJobs = append(s.endedJobs, j.id)
	}
}

// endJob ends a job: its queued tasks are cancelled, and its tasks with an allocation are asked to
// stop. It returns the number of each.
func (s *State) endJob(j *job, next cell.JobState) (cancelled, stopping int) {
	s.setJobState(j, next)
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.state == cell.TaskQueued:
			s.endTask(j, t, cell.TaskCancelled)
			cancelled++
		case t.allocation != 0:
			s.stopAllocation(s.allocations[t.allocation], false)
			stopping++
		}
	}
	return cancelled, stopping
}

// endTask puts a task without an allocation in a terminal state.
func (s *State) endTask(j *job, t *task, next cell.TaskState) {
	t.state = next
	j.unfinishedTasks--
}

// queueTask makes a task wait for a placement. The tasks of a gang share the end of their backoff.
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

// failTask counts a failure of a task. If the policy's limit of attempts is reached, the job fails;
// otherwise the task is queued again after a backoff.
func (s *State) failTask(j *job, index int, detail string) {
	t := &j.tasks[index]
	t.detail = truncate(detail)
	countFailure(j, t)
	policy := s.config.policies[j.spec.Policy]
	if t.attempts >= policy.MaxAttempts {
		s.endTask(j, t, cell.TaskFailed)
		s.endJob(j, cell.JobFailed)
		return
	}
	s.setBackoff(j, t, policy.BackoffInitial, policy.BackoffMax)
	s.queueTask(j, index)
}

// countFailure counts a failure. The failure of one task of a gang counts for all of its tasks,
// because the whole gang starts again. Otherwise a gang of n tasks could be started n times as often
// as the policy allows.
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

// setBackoff delays the retry of a failed task. The delay starts at initial and doubles with each
// failure of the task up to maximum. It applies to the whole job: a task that fails while another one
// is backing off waits at least until the end of that backoff. Otherwise a job with many failing tasks
// would retry them one after the other.
func (s *State) setBackoff(j *job, t *task, initial, maximum time.Duration) {
	delay := initial
	for i := 1; i < t.attempts && delay < maximum; i++ {
		delay *= 2
	}
	until := s.now.Add(min(delay, maximum))
	if until.After(j.notBefore) {
		j.notBefore = until
	}
	t.notBefore = j.notBefore.UnixMilli()
}

// completeTask records that a task succeeded. The job succeeds with its last task.
func (s *State) completeTask(j *job, index int) {
	s.endTask(j, &j.tasks[index], cell.TaskSucceeded)
	if j.unfinishedTasks == 0 && !j.state.Terminal() {
		s.setJobState(j, cell.JobSucceeded)
	}
}
