package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Limits of the judgement of workers by their runs.
const (
	// failureWeight and doneWeight are the evidence that one run gives for a
	// worker that fails every second run against one on which only the runs fail
	// that would fail anywhere, one in twenty: ln(0.5/0.05) and ln(0.95/0.5).
	failureWeight = 2.3
	successWeight = 0.64
	// failingEvidence is the evidence from which a worker gets nothing new for a
	// while: three failed runs in a row, which one in 8,000 is by chance.
	failingEvidence = 3 * failureWeight
	// minAvoidance is how long a failing worker gets nothing new the first time. It
	// doubles with each time up to avoidMax.
	minAvoidance = 3 * time.Second
	maxAvoidance = 24 * time.Second
	// maxWorkersAtFault is on how many workers a step must have failed to count as
	// the cause itself.
	maxWorkersAtFault = 2
	// suspectExclusionTime is how long a blocked step waits for workers that are not
	// suspect.
	suspectExclusionTime = time.Second
	// maxAvoidanceDoublings bounds the count behind the doubling.
	maxAvoidanceDoublings = 3
	// maxAvoidedPercent bounds the workers that are avoided: where more look
	// sick, the cause is not theirs.
	maxAvoidedPercent = 30
)

// updateHealth judges a worker by an end that it reported.
func (c *Core) updateHealth(w *worker, id workload.TaskID, r *run, result workload.RunEnd) {
	switch result {
	case workload.EndDone:
		c.updateSpeed(w, id, r)
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

// avoidFailingWorker avoids a worker for longer each time. It reports whether it does.
func (c *Core) avoidFailingWorker(w *worker, reason string) bool {
	if !c.avoidWorker(w, reason, min(minAvoidance<<w.timesAvoided, maxAvoidance)) {
		w.failureEvidence = 0
		return false
	}
	w.timesAvoided = min(w.timesAvoided+1, maxAvoidanceDoublings)
	return true
}

// recordFailure notes that a run of a step failed on a worker. It reports whether the
// step had failed on so many others that the worker is not the cause.
func (c *Core) recordFailure(id workload.TaskID, worker workload.WorkerID) bool {
	j := c.jobsByID[id.Job]
	if j == nil {
		return false
	}
	s := &j.steps[id.Step]
	s.excludeWorker(worker)
	return len(s.failedWorkers) > maxWorkersAtFault
}

// excludeWorker keeps a step off a worker as long as there are others.
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

// isSuspect reports whether a worker is likely to fail a step: the step has failed
// there, or would fail with that one run, as a gang or with its last attempt, and
// the worker fails the runs of other jobs too.
func (s *step) isSuspect(w *worker, spec *workload.StepSpec, last bool) bool {
	return s.failedWorkers[w.ID] || spec.Gang && w.onProbation() || last && w.failureEvidence > 0
}

// lastAttempt reports whether the job fails with the next failed run of a task
// that waits.
func (r readyStep) lastAttempt(s *step) bool {
	last := r.job.Queue.MaxAttempts - 1
	if r.job.Spec.Steps[r.index].Gang {
		return r.job.Steps[r.index].Failures >= last
	}
	for i, task := range r.job.Steps[r.index].Tasks {
		if task.Failures >= last && task.State == workload.TaskPending && !task.Open && !s.proposed[i] {
			return true
		}
	}
	return false
}

// onProbation reports whether a worker that was avoided as failing has not yet
// done a run since. It gets one run at a time, so that few tasks pay for the
// trial; but a gang that has waited gets all that it needs, because nothing else
// may come to prove the worker sound.
func (w *worker) onProbation() bool { return w.failureEvidence >= failingEvidence }

// hasWork reports whether anything runs on a worker or is about to.
func (w *worker) hasWork() bool { return len(w.runs) > 0 || w.reserved != workload.Resources{} }

// avoidWorker keeps new runs from a worker for a while. It reports whether it
// does: not where so many are avoided that the cause is elsewhere.
func (c *Core) avoidWorker(w *worker, reason string, d time.Duration) bool {
	if !c.isAvoided(w) && c.tooManyAvoided() {
		return false
	}
	w.avoidUntil = c.now.Add(d)
	c.scheduleWake(w, w.avoidUntil)
	c.recordDecision(Decision{Kind: DecisionAvoided, Worker: w.ID, Reason: reason, Count: len(w.runs), Age: c.timeSinceAnswer(w)})
	return true
}

// isAvoided reports whether a worker is to get nothing new. A step that has waited
// gets runs there all the same while there is room: the others may not be allowed
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

// endAvoidance plans again when a worker may get runs again.
func (c *Core) endAvoidance(w *worker) {
	switch {
	case w.avoidUntil.IsZero():
	case c.isAvoided(w):
		c.scheduleWake(w, w.avoidUntil)
	default:
		w.avoidUntil = time.Time{}
		c.planNeeded = true
	}
}
