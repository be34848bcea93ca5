package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Limits of the judgement of workers by their runs.
const (
	// failedWeight and doneWeight are the evidence that one run gives for a
	// worker that fails every second run against one on which only the runs fail
	// that would fail anywhere, one in twenty: ln(0.5/0.05) and ln(0.95/0.5).
	failedWeight = 2.3
	doneWeight   = 0.64
	// failingWeight is the evidence from which a worker gets nothing new for a
	// while: three failed runs in a row, which one in 8,000 is by chance.
	failingWeight = 3 * failedWeight
	// avoidFirst is how long a failing worker gets nothing new the first time. It
	// doubles with each time up to avoidMax.
	avoidFirst = 3 * time.Second
	avoidMax   = 24 * time.Second
	// failedElsewhere is on how many workers a step must have failed to count as
	// the cause itself.
	failedElsewhere = 2
	// waitForSound is how long a blocked step waits for workers that are not
	// suspect.
	waitForSound = time.Second
	// maxTimesAvoided bounds the count behind the doubling.
	maxTimesAvoided = 3
	// maxAvoidedPercent bounds the workers that are avoided: where more look
	// sick, the cause is not theirs.
	maxAvoidedPercent = 30
)

// runEnded judges a worker by an end that it reported.
func (c *Core) runEnded(w *worker, id workload.TaskID, r *run, how workload.RunEnd) {
	switch how {
	case workload.EndDone:
		c.learnSpeed(w, id, r)
		w.evidence = max(w.evidence-doneWeight, 0)
		if w.evidence == 0 {
			w.timesAvoided = 0
		}
	case workload.EndFailed:
		if id.Job == w.failedJob || c.failedOn(id, w.ID) {
			return
		}
		w.failedJob = id.Job
		w.evidence = min(w.evidence+failedWeight, failingWeight)
		if w.evidence >= failingWeight {
			c.avoidFailing(w, "failing")
		}
	}
}

// avoidFailing avoids a worker for longer each time. It reports whether it does.
func (c *Core) avoidFailing(w *worker, reason string) bool {
	if !c.avoidWorker(w, reason, min(avoidFirst<<w.timesAvoided, avoidMax)) {
		w.evidence = 0
		return false
	}
	w.timesAvoided = min(w.timesAvoided+1, maxTimesAvoided)
	return true
}

// failedOn notes that a run of a step failed on a worker. It reports whether the
// step had failed on so many others that the worker is not the cause.
func (c *Core) failedOn(id workload.TaskID, on workload.WorkerID) bool {
	j := c.byID[id.Job]
	if j == nil {
		return false
	}
	s := &j.steps[id.Step]
	s.keepFrom(on)
	return len(s.failedOn) > failedElsewhere
}

// keepFrom keeps a step off a worker as long as there are others.
func (s *step) keepFrom(worker workload.WorkerID) {
	if s.failedOn == nil {
		s.failedOn = map[workload.WorkerID]bool{}
	}
	s.failedOn[worker] = true
}

// selective reports whether a step still waits for workers that are not suspect.
func (c *Core) selective(s *step) bool {
	return s.blockedSince.IsZero() || c.now.Before(s.blockedSince.Add(waitForSound))
}

// suspect reports whether a worker is likely to fail a step: the step has failed
// there, or would fail with that one run, as a gang or with its last attempt, and
// the worker fails the runs of other jobs too.
func (s *step) suspect(w *worker, spec *workload.StepSpec, last bool) bool {
	return s.failedOn[w.ID] || spec.Gang && w.onProbation() || last && w.evidence > 0
}

// lastAttempt reports whether the job fails with the next failed run of a task
// that waits.
func (r ready) lastAttempt(s *step) bool {
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
func (w *worker) onProbation() bool { return w.evidence >= failingWeight }

// busy reports whether anything runs on a worker or is about to.
func (w *worker) busy() bool { return len(w.runs) > 0 || w.reserved != workload.Resources{} }

// avoidWorker keeps new runs from a worker for a while. It reports whether it
// does: not where so many are avoided that the cause is elsewhere.
func (c *Core) avoidWorker(w *worker, reason string, d time.Duration) bool {
	if !c.avoided(w) && c.manyAvoided() {
		return false
	}
	w.avoid = c.now.Add(d)
	c.wakeAt(w, w.avoid)
	c.decide(Decision{Kind: DecisionAvoided, Worker: w.ID, Reason: reason, Count: len(w.runs), Age: c.age(w)})
	return true
}

// avoided reports whether a worker is to get nothing new. A step that has waited
// gets runs there all the same while there is room: the others may not be allowed
// to run it.
func (c *Core) avoided(w *worker) bool { return c.now.Before(w.avoid) }

func (c *Core) manyAvoided() bool {
	avoided, all := 0, 0
	for _, other := range c.list {
		if other.Gone || other.silent {
			continue
		}
		all++
		if c.avoided(other) {
			avoided++
		}
	}
	return avoided*100 >= all*maxAvoidedPercent
}

// checkAvoided plans again when a worker may get runs again.
func (c *Core) checkAvoided(w *worker) {
	switch {
	case w.avoid.IsZero():
	case c.avoided(w):
		c.wakeAt(w, w.avoid)
	default:
		w.avoid = time.Time{}
		c.changed = true
	}
}
