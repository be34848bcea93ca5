package workload

import (
	"fmt"
	"slices"
	"time"
)

// Snapshot is the complete state in encodable form.
type Snapshot struct {
	Config  *Config
	Jobs    []Job // those that ended a while ago, without steps; then the others, oldest first
	Workers []WorkerSnapshot
	Clock   time.Duration `cbor:",omitempty"` // retention clock
	// SteadyClock is the steady clock, which is zero in a snapshot of a version that had none.
	SteadyClock time.Duration   `cbor:",omitempty" json:",omitempty"`
	TeamRates   []TeamRate      `cbor:",omitempty" json:",omitempty"` // sorted by team
	RunTimes    []QueueRunTimes `cbor:",omitempty" json:",omitempty"` // sorted by queue
}

// WorkerSnapshot is a worker with its open runs.
type WorkerSnapshot struct {
	Worker Worker
	Runs   []OpenRunSnapshot
}

// OpenRunSnapshot is an open run of a task.
type OpenRunSnapshot struct {
	_    struct{} `cbor:",toarray"`
	Task TaskID
	Run  RunNumber
}

// Snapshot copies the state. Job specifications, queues and the configuration are immutable and
// are shared with the state.
func (s *State) Snapshot() Snapshot {
	out := Snapshot{Config: s.config, Clock: s.retentionClock, SteadyClock: s.steadyClock, TeamRates: s.rateSnapshot(), RunTimes: s.runTimeSnapshot()}
	if s.HasJobs() {
		out.Jobs = make([]Job, 0, len(s.endedOrder)+len(s.jobOrder))
	}
	for _, id := range s.endedOrder {
		out.Jobs = append(out.Jobs, s.ended[id].job(id))
	}
	for _, id := range s.jobOrder {
		job := *s.jobs[id]
		job.Steps = slices.Clone(job.Steps)
		for i := range job.Steps {
			job.Steps[i].Tasks = slices.Clone(job.Steps[i].Tasks)
			job.Steps[i].ClosedRuns = slices.Clone(job.Steps[i].ClosedRuns)
		}
		out.Jobs = append(out.Jobs, job)
	}
	for _, w := range s.Workers() {
		snapshot := WorkerSnapshot{Worker: w}
		for _, run := range s.OpenRuns(w.ID) {
			snapshot.Runs = append(snapshot.Runs, OpenRunSnapshot{Task: run.Task, Run: run.Run})
		}
		out.Workers = append(out.Workers, snapshot)
	}
	return out
}

// Restore returns the state of a snapshot. It returns an error if an open run of a worker is not the
// open run of a known task, or a closed run has no task.
func Restore(snapshot Snapshot) (*State, error) {
	s := New()
	s.retentionClock, s.steadyClock = snapshot.Clock, snapshot.SteadyClock
	if snapshot.Config != nil {
		s.config = snapshot.Config
		s.indexConfig()
	}
	for _, rate := range snapshot.TeamRates {
		s.teamRates[rate.Team] = rate.FullAt
	}
	s.restoreRunTimes(snapshot.RunTimes)
	for i := range snapshot.Jobs {
		job := snapshot.Jobs[i]
		if job.State.Ended() && len(job.Steps) == 0 {
			s.addEnded(job.ID, endedJob{queue: job.Queue.Name, team: job.Team, state: job.State, endedAt: job.EndedAt})
			continue
		}
		if err := job.checkClosedRuns(); err != nil {
			return nil, err
		}
		s.jobMemory.addJob(&job, 1)
		s.jobs[job.ID] = &job
		s.jobOrder = append(s.jobOrder, job.ID)
		if job.isPending() {
			s.pendingJobs[job.Queue.Name]++
		}
		s.addWaitingTasks(&job, 1)
	}
	for _, w := range snapshot.Workers {
		restored := &workerState{Worker: w.Worker, runs: map[TaskID]RunNumber{}}
		for _, run := range w.Runs {
			job, _, task := s.findTask(run.Task)
			if task == nil || !task.Open || task.Run != run.Run {
				return nil, fmt.Errorf("workload snapshot: worker %s has run %d of %v, which is not open", w.Worker.ID, run.Run, run.Task)
			}
			restored.runs[run.Task] = run.Run
			restored.used = restored.used.Add(job.Spec.Steps[run.Task.Step].Size)
			s.addTeamUse(job, job.Spec.Steps[run.Task.Step].Size)
		}
		s.workers[w.Worker.ID] = restored
		s.addToService(restored, 1)
	}
	return s, nil
}

func (j *Job) checkClosedRuns() error {
	for i := range j.Steps {
		for _, r := range j.Steps[i].ClosedRuns {
			if r.Index < 0 || r.Index >= len(j.Steps[i].Tasks) {
				return fmt.Errorf("workload snapshot: closed run of task %d in step %d of job %s, which has %d tasks", r.Index, i, j.ID, len(j.Steps[i].Tasks))
			}
		}
	}
	return nil
}
