package workload

import (
	"cmp"
	"slices"
	"time"
)

// ClosedRunRetention is how long a closed run is listed in its step. It exceeds the 12 s within
// which a worker may carry out a late start plus the longest lease of the run.
const ClosedRunRetention = 30 * time.Second

// ClosedRun is a closed run whose start a worker may still carry out.
type ClosedRun struct {
	Index    int // task of the step
	Run      RunNumber
	Worker   WorkerID
	ClosedAt time.Duration // steady clock when the run was closed
	// How is EndLeaseExpired or EndLost if the run was closed with its boot, EndFailed once its failure is
	// counted, and EndDone if it, or a run that it has replaced in the list, was done while a later run of
	// the task was open.
	How RunEnd
	// FailedRun is the latest failed run among those that this run has replaced in the list.
	FailedRun RunNumber `cbor:",omitempty" json:",omitempty"`
}

func compareClosedRuns(a, b ClosedRun) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Worker, b.Worker))
}

// addClosedRun lists a closed run. A later run of the task on the same worker replaces an earlier
// one, so a step lists at most one run for each task and worker.
func (s *State) addClosedRun(step *Step, r ClosedRun) {
	r.ClosedAt = s.steadyClock
	at, listed := slices.BinarySearchFunc(step.ClosedRuns, r, compareClosedRuns)
	if listed {
		replaced := step.ClosedRuns[at]
		r.FailedRun = replaced.FailedRun
		if replaced.How == EndFailed {
			r.FailedRun = replaced.Run
		}
		step.ClosedRuns[at] = r
	} else {
		step.ClosedRuns = slices.Insert(step.ClosedRuns, at, r)
	}
}

func (step *Step) removeClosedRuns(remove func(ClosedRun) bool) {
	if len(step.ClosedRuns) > 0 {
		step.ClosedRuns = slices.DeleteFunc(step.ClosedRuns, remove)
	}
}

// removeClosedRunsOn removes the closed runs of a worker from all steps.
func (s *State) removeClosedRunsOn(worker WorkerID) {
	for _, job := range s.jobs {
		for i := range job.Steps {
			job.Steps[i].removeClosedRuns(func(r ClosedRun) bool { return r.Worker == worker && r.How != EndDone })
		}
	}
}

// forgetFailuresOn lets the closed runs of a worker count again: a later boot may carry out the late
// start of a run that has failed on the former one.
func (s *State) forgetFailuresOn(worker WorkerID) {
	for _, job := range s.jobs {
		for i := range job.Steps {
			closed := job.Steps[i].ClosedRuns
			for k := range closed {
				if closed[k].Worker != worker {
					continue
				}
				closed[k].FailedRun = 0
				if closed[k].How == EndFailed {
					closed[k].How = EndLost
				}
			}
		}
	}
}

// expireClosedRuns removes the closed runs of a job that are older than ClosedRunRetention.
func (s *State) expireClosedRuns(job *Job) {
	for i := range job.Steps {
		job.Steps[i].removeClosedRuns(func(r ClosedRun) bool {
			return r.How != EndDone && s.closedRunAge(r) >= ClosedRunRetention
		})
	}
}

func (s *State) closedRunAge(r ClosedRun) time.Duration { return s.minTimeSince(r.ClosedAt) }

// minTimeSince returns the minimum time since a value of the steady clock. The clock may have
// advanced by one step right after it had that value.
func (s *State) minTimeSince(at time.Duration) time.Duration {
	return max(s.steadyClock-at-AdvanceInterval, 0)
}

// ForEachClosedRun calls visit for each listed closed run of a step, by task and worker, with the
// minimum time since it was closed.
func (s *State) ForEachClosedRun(step *Step, visit func(r ClosedRun, age time.Duration)) {
	for _, r := range step.ClosedRuns {
		visit(r, s.closedRunAge(r))
	}
}

// ClosedRun returns a closed run and the minimum time since it was closed, if it is listed.
func (s *State) ClosedRun(id TaskID, worker WorkerID, run RunNumber) (r ClosedRun, age time.Duration, listed bool) {
	_, step, _ := s.findTask(id)
	if step == nil {
		return ClosedRun{}, 0, false
	}
	closed := step.closedRun(id.Index, worker, run)
	if closed == nil {
		return ClosedRun{}, 0, false
	}
	return *closed, s.closedRunAge(*closed), true
}

// closedRun returns a closed run, or nil if it is not listed.
func (step *Step) closedRun(index int, worker WorkerID, run RunNumber) *ClosedRun {
	if closed := step.latestClosedRun(index, worker); closed != nil && closed.Run == run {
		return closed
	}
	return nil
}

// latestClosedRun returns the listed run of a task on a worker, or nil.
func (step *Step) latestClosedRun(index int, worker WorkerID) *ClosedRun {
	at, found := slices.BinarySearchFunc(step.ClosedRuns, ClosedRun{Index: index, Worker: worker}, compareClosedRuns)
	if !found {
		return nil
	}
	return &step.ClosedRuns[at]
}

// hasDoneRun reports whether a closed run of a task was done while a later run was open.
func (step *Step) hasDoneRun(index int) bool {
	return slices.ContainsFunc(step.ClosedRuns, func(r ClosedRun) bool { return r.Index == index && r.How == EndDone })
}

// IsDoneByClosedRun reports whether a closed run of a task was done while a later run was open. The task
// is done once the open run is closed.
func (s *State) IsDoneByClosedRun(id TaskID) bool {
	_, step, _ := s.findTask(id)
	return step != nil && step.hasDoneRun(id.Index)
}

// covers reports whether a run of the task on the worker is the listed one, or one that it has replaced,
// and has not failed.
func (r *ClosedRun) covers(run RunNumber) bool {
	return run <= r.Run && run != r.FailedRun && !(run == r.Run && r.How == EndFailed)
}
