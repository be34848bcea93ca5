package workload

import (
	"cmp"
	"slices"
	"time"
)

// Config returns the configuration in force, or nil. The caller must not modify it.
func (s *State) Config() *Config { return s.config }

// Job returns a job whose steps are kept, or nil. The caller must not modify it.
func (s *State) Job(id JobID) *Job { return s.jobs[id] }

// Task returns a task, or nil. The caller must not modify it.
func (s *State) Task(id TaskID) *Task {
	_, _, task := s.findTask(id)
	return task
}

// SinceLastClosed returns the minimum time since a run of the step was last closed. The retention clock
// alone may overstate it, because it follows the time of day and moves by up to 10 s at once. More time
// may have passed, because neither clock moves while there is no leader.
func (s *State) SinceLastClosed(step *Step) time.Duration {
	return min(s.retentionClock-step.ClosedAt, s.minTimeSince(step.SteadyClosedAt))
}

// HasJobs reports whether the state has jobs, ended ones included.
func (s *State) HasJobs() bool { return len(s.jobs)+len(s.ended) > 0 }

// SteadyClock returns the steady clock.
func (s *State) SteadyClock() time.Duration { return s.steadyClock }

// ForEachJob calls visit for each job whose steps are kept, oldest first.
func (s *State) ForEachJob(visit func(*Job)) {
	for _, id := range s.jobOrder {
		visit(s.jobs[id])
	}
}

// PendingJobs returns the number of accepted jobs of a queue of which no worker is known to have begun a
// task, and which have not ended.
func (s *State) PendingJobs(queue string) int { return s.pendingJobs[queue] }

// Worker returns a worker and whether it has ever registered.
func (s *State) Worker(id WorkerID) (Worker, bool) {
	w := s.workers[id]
	if w == nil {
		return Worker{}, false
	}
	return w.Worker, true
}

// Workers returns all workers, sorted by id.
func (s *State) Workers() []Worker {
	all := make([]Worker, 0, len(s.workers))
	for _, w := range s.workers {
		all = append(all, w.Worker)
	}
	slices.SortFunc(all, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// FreeCapacity returns the capacity of a worker that its open runs leave.
func (s *State) FreeCapacity(id WorkerID) Resources {
	w := s.workers[id]
	if w == nil {
		return Resources{}
	}
	return w.Capacity.Sub(w.used)
}

// OpenRuns returns the open runs of a worker, sorted by task.
func (s *State) OpenRuns(id WorkerID) []OpenRun {
	w := s.workers[id]
	if w == nil {
		return nil
	}
	runs := make([]OpenRun, 0, len(w.runs))
	for _, task := range sortedTasks(w.runs) {
		runs = append(runs, OpenRun{Task: task, Run: w.runs[task]})
	}
	return runs
}

// OpenRun is an open run of a task.
type OpenRun struct {
	Task TaskID
	Run  RunNumber
}

func sortedTasks(runs map[TaskID]RunNumber) []TaskID {
	ids := make([]TaskID, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, CompareTaskIDs)
	return ids
}

// CompareTaskIDs compares task ids by job, occurrence, step and index.
func CompareTaskIDs(t, o TaskID) int {
	return cmp.Or(
		cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence),
		cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index),
	)
}
