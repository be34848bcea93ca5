package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Parameters for the detection of workers that fail their runs.
const (
	// failureWeight and successWeight are the log-likelihood ratios of one failed and one successful
	// run. They compare a worker that fails half of its runs with one that fails only the runs that
	// would fail on any worker, one in twenty: ln(0.5/0.05) and ln(0.95/0.5).
	failureWeight = 2.3
	successWeight = 0.64
	// failingEvidence is the amount of evidence at which a worker is avoided: three failed runs in a
	// row, which happen by chance once in 8,000.
	failingEvidence = 3 * failureWeight
	// minAvoidance is how long a failing worker is avoided the first time. The time doubles on each
	// repetition, up to maxAvoidance.
	minAvoidance = 3 * time.Second
	maxAvoidance = 24 * time.Second
	// maxWorkersAtFault is the number of workers on which a step may fail before the step itself
	// counts as the cause.
	maxWorkersAtFault = 2
	// suspectExclusionTime is how long a blocked step waits for workers that are not suspect.
	suspectExclusionTime = time.Second
	// maxAvoidanceDoublings limits the exponent of the doubling.
	maxAvoidanceDoublings = 3
	// maxAvoidedPercent limits the share of avoided workers. If more workers seem to fail, the
	// workers are not the cause.
	maxAvoidedPercent = 30
)

// updateHealth adjusts the failure evidence of a worker by the result of a run.
func (c *Core) updateHealth(w *worker, id workload.TaskID, r *run, result workload.RunEnd) {
	switch result {
	case workload.EndDone:
		c.learnFromRun(w, id, r)
		w.failureEvidence = max(w.failureEvidence-successWeight, 0)
		if w.failureEvidence == 0 {
			w.timesAvoided = 0
		}
	case workload.EndFailed:
		if id.Job == w.lastFailedJob || c.recordFailure(id, w.ID) {
			return
		}
		w.lastFailedJob = id.Job
		w.failureEvidence = min(w.failureEvidence+failureWeight, failingEvidence)
		if w.failureEvidence >= failingEvidence {
			c.avoidFailingWorker(w, "failing")
		}
	}
}

// avoidFailingWorker avoids a worker, for longer each time, and reports whether it did so.
func (c *Core) avoidFailingWorker(w *worker, reason string) bool {
	if !c.avoidWorker(w, reason, min(minAvoidance<<w.timesAvoided, maxAvoidance)) {
		w.failureEvidence = 0
		return false
	}
	w.timesAvoided = min(w.timesAvoided+1, maxAvoidanceDoublings)
	return true
}

// recordFailure records that a run of a step failed on a worker. It reports whether the step has
// failed on so many other workers that this worker is not the cause.
func (c *Core) recordFailure(id workload.TaskID, worker workload.WorkerID) bool {
	j := c.jobsByID[id.Job]
	if j == nil {
		return false
	}
	s := &j.steps[id.Step]
	s.excludeWorker(worker)
	return len(s.failedWorkers) > maxWorkersAtFault
}

// excludeWorker excludes a worker from a step while the step can use other workers.
func (s *step) excludeWorker(worker workload.WorkerID) {
	if s.failedWorkers == nil {
		s.failedWorkers = map[workload.WorkerID]bool{}
	}
	s.failedWorkers[worker] = true
}

// excludesSuspects reports whether a step still waits for workers that are not suspect.
func (c *Core) excludesSuspects(s *step) bool {
	return s.blockedSince.IsZero() || c.now.Before(s.blockedSince.Add(suspectExclusionTime))
}

// isSuspect reports whether a run of the step is likely to fail on a worker. A worker is suspect if
// the step has failed there before, or if the worker has failed runs of other jobs and one more
// failed run would fail the whole gang or use up the last attempt.
func (s *step) isSuspect(w *worker, spec *workload.StepSpec, lastAttempt bool) bool {
	return s.failedWorkers[w.ID] || spec.Gang && w.onProbation() || lastAttempt && w.failureEvidence > 0
}

// lastAttempt reports whether the job fails if the next run of one of the waiting tasks fails.
func (r readyStep) lastAttempt(s *step) bool {
	lastFailure := r.job.Queue.MaxAttempts - 1
	if r.job.Spec.Steps[r.index].Gang {
		return r.job.Steps[r.index].Failures >= lastFailure
	}
	for i, task := range r.job.Steps[r.index].Tasks {
		if task.Failures >= lastFailure && task.State == workload.TaskPending && !task.Open && !s.proposed[i] {
			return true
		}
	}
	return false
}

// onProbation reports whether a worker that was avoided as failing has not yet completed a run
// since. It gets one run at a time, so that few tasks are at risk. A gang that has waited may use
// the worker for several tasks, because there may be no other work that could end the probation.
func (w *worker) onProbation() bool { return w.failureEvidence >= failingEvidence }

// hasWork reports whether a worker has runs or reservations.
func (w *worker) hasWork() bool { return len(w.runs) > 0 || w.reserved != workload.Resources{} }

// avoidWorker keeps new runs off a worker for a time and reports whether it did so. It does not if
// so many workers are avoided already that the cause must be elsewhere.
func (c *Core) avoidWorker(w *worker, reason string, d time.Duration) bool {
	if !c.isAvoided(w) && c.tooManyAvoided() {
		return false
	}
	w.avoidUntil = c.now.Add(d)
	c.scheduleWake(w, w.avoidUntil)
	c.recordDecision(Decision{Kind: DecisionAvoided, Worker: w.ID, Reason: reason, Count: len(w.runs), Age: c.timeSinceAnswer(w)})
	return true
}

// isAvoided reports whether a worker should get no new runs. While enough resources are free, a
// step that has waited uses the worker all the same, because the other workers may not be permitted
// to run it.
func (c *Core) isAvoided(w *worker) bool { return c.now.Before(w.avoidUntil) }

func (c *Core) tooManyAvoided() bool {
	avoided, all := 0, 0
	for _, other := range c.sortedWorkers {
		if other.Gone || other.unresponsive {
			continue
		}
		all++
		if c.isAvoided(other) {
			avoided++
		}
	}
	return avoided*100 >= all*maxAvoidedPercent
}

// endAvoidanceIfDue requests a new plan when the avoidance of a worker ends.
func (c *Core) endAvoidanceIfDue(w *worker) {
	switch {
	case w.avoidUntil.IsZero():
	case c.isAvoided(w):
		c.scheduleWake(w, w.avoidUntil)
	default:
		w.avoidUntil = time.Time{}
		c.planNeeded = true
	}
}
