package placement

import (
	"math"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

const (
	// brokenFailureRate is the failure rate that is expected of a broken
	// worker.
	brokenFailureRate = 0.95
	// suspicionLimit is the logarithm of how much likelier the outcomes on a
	// worker must be under brokenFailureRate than under the failure rates of
	// the same jobs elsewhere. e^6 is about 400.
	suspicionLimit = 6.0
	// minSuspectJobs is the number of different jobs that must have failed on
	// a worker, so that no single job can quarantine one.
	minSuspectJobs = 3
	// priorEnds is the number of ends at the rate of the whole cell that count
	// for a job before its own.
	priorEnds = 2.0
	// Failure rates are taken to be within these bounds.
	minFailureRate, maxFailureRate = 0.02, 0.95
	// quarantineInitial is the time before the first trial; every failed trial
	// doubles it up to quarantineMax.
	quarantineInitial = time.Minute
	quarantineMax     = 30 * time.Minute
	// trialsToClear is the number of tasks in a row that must succeed.
	trialsToClear = 3
	// trialLength is how long a task must run to count as a success while it
	// still runs.
	trialLength = time.Minute
	// countLimit and countPause belong to QuarantineByCount.
	countLimit = 5
	countPause = 10 * time.Minute
	// cellRate is the weight of one end in the failure rate of the cell.
	cellRate = 0.01
)

// outcomes counts how tasks ended.
type outcomes struct{ ends, failures float64 }

func (o outcomes) less(p outcomes) outcomes {
	return outcomes{ends: o.ends - p.ends, failures: o.failures - p.failures}
}

// health is what the outcomes on a worker say about it.
type health struct {
	suspicion   float64
	byJob       map[cell.JobID]*outcomes // since the worker was last trusted
	failedJobs  int
	quarantined bool
	until       time.Time // no trial before
	pause       time.Duration
	trial       *allocation // the one task of a trial
	trialsWell  int
}

// open reports whether the worker may be given a task now.
func (h *health) open(now time.Time) bool {
	return !h.quarantined || (h.trial == nil && !now.Before(h.until))
}

// Quarantined returns the workers that are in quarantine, by name.
func (s *Scheduler) Quarantined() []cell.WorkerName {
	var names []cell.WorkerName
	for name, w := range s.workers {
		if w.health.quarantined {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// observe takes the end of an allocation into account. Only successes and
// failures count; a worker is not to blame for what it was told to stop.
func (s *Scheduler) observe(a *allocation, outcome state.TaskOutcome) {
	failed := outcome == state.ReportFailed
	if a.job == nil || (!failed && outcome != state.ReportSucceeded) {
		return
	}
	if s.opts.Quarantine != QuarantineByEvidence {
		s.countFailures(a.worker, failed)
		return
	}
	rate := s.rateElsewhere(a)
	s.countOutcome(a, failed)
	w := a.worker
	if w.health.quarantined {
		s.trialEnded(w, a, failed)
		return
	}
	w.health.suspicion = max(0, w.health.suspicion+evidence(failed, rate))
	if w.health.suspicion >= suspicionLimit && w.health.failedJobs >= minSuspectJobs {
		s.quarantine(w)
	}
}

// countFailures is the rule QuarantineByCount.
func (s *Scheduler) countFailures(w *worker, failed bool) {
	h := &w.health
	if s.opts.Quarantine != QuarantineByCount || !failed || h.quarantined {
		return
	}
	h.failedJobs++
	if h.failedJobs >= countLimit {
		h.quarantined, h.pause = true, countPause
		s.pauseWorker(w)
	}
}

// evidence is the logarithm of the likelihood ratio of one end: broken worker
// against a good one on which the job fails at rate.
func evidence(failed bool, rate float64) float64 {
	if failed {
		return math.Log(brokenFailureRate / rate)
	}
	return math.Log((1 - brokenFailureRate) / (1 - rate))
}

// rateElsewhere is the failure rate of a job on the other workers, mixed with
// the rate of the cell while there are few ends.
func (s *Scheduler) rateElsewhere(a *allocation) float64 {
	elsewhere := a.job.outcomes
	if here := a.worker.health.byJob[a.task.Job]; here != nil {
		elsewhere = elsewhere.less(*here)
	}
	rate := (elsewhere.failures + priorEnds*s.failureRate) / (elsewhere.ends + priorEnds)
	return min(max(rate, minFailureRate), maxFailureRate)
}

func (s *Scheduler) countOutcome(a *allocation, failed bool) {
	h := &a.worker.health
	if h.byJob == nil {
		h.byJob = map[cell.JobID]*outcomes{}
	}
	here := h.byJob[a.task.Job]
	if here == nil {
		here = &outcomes{}
		h.byJob[a.task.Job] = here
		a.job.seenOn = append(a.job.seenOn, a.worker)
	}
	sample := 0.0
	if failed {
		sample = 1
		if here.failures == 0 {
			h.failedJobs++
		}
	}
	here.ends++
	here.failures += sample
	if !h.quarantined {
		a.job.outcomes.ends++
		a.job.outcomes.failures += sample
		s.failureRate += cellRate * (sample - s.failureRate)
	}
}

// forgetOutcomes drops what workers remember of a job that has ended.
func (s *Scheduler) forgetOutcomes(j *job) {
	for _, w := range j.seenOn {
		// Failures stay counted in failedJobs until the worker is trusted
		// again or its suspicion is gone.
		delete(w.health.byJob, j.id)
		if w.health.suspicion == 0 && !w.health.quarantined {
			w.health.failedJobs = 0
		}
	}
	j.seenOn = nil
}

// quarantine takes a worker out of use until a trial. What happened on it is
// taken back from the rates of the jobs, which it says nothing about.
func (s *Scheduler) quarantine(w *worker) {
	h := &w.health
	for id, here := range h.byJob {
		if j := s.jobs[id]; j != nil {
			j.outcomes = j.outcomes.less(*here)
		}
	}
	h.quarantined = true
	h.pause = max(quarantineInitial, h.pause)
	s.pauseWorker(w)
}

func (s *Scheduler) pauseWorker(w *worker) {
	h := &w.health
	h.until, h.trial, h.trialsWell = s.now.Add(h.pause), nil, 0
	s.dropWorkerClaims(w)
	s.changed(w)
	s.startTimer(timer{at: h.until.UnixNano(), worker: w})
}

// beginTrial notes that a task was booked on a quarantined worker, which gets
// no other until this one has shown how it fares.
func (s *Scheduler) beginTrial(a *allocation) {
	h := &a.worker.health
	if !h.quarantined || h.trial != nil {
		return
	}
	h.trial = a
}

func (s *Scheduler) trialEnded(w *worker, a *allocation, failed bool) {
	h := &w.health
	if h.trial != a {
		return
	}
	if failed {
		h.pause = min(2*h.pause, quarantineMax)
		s.pauseWorker(w)
		return
	}
	s.trialPassed(w)
}

func (s *Scheduler) trialPassed(w *worker) {
	h := &w.health
	h.trial = nil
	h.trialsWell++
	if h.trialsWell >= trialsToClear {
		*h = health{}
	}
	s.gained(w)
}

// trialVoid lets the next trial begin where the task of one said nothing, for
// example because it was cancelled.
func (s *Scheduler) trialVoid(a *allocation) {
	if h := &a.worker.health; h.trial == a {
		h.trial = nil
	}
}

// workerDue continues a quarantine: its pause is over, or a trial has run long
// enough.
func (s *Scheduler) workerDue(w *worker) {
	h := &w.health
	if !h.quarantined {
		return
	}
	if s.opts.Quarantine == QuarantineByCount {
		*h = health{}
		s.gained(w)
		return
	}
	if t := h.trial; t != nil && !t.startedAt.IsZero() && s.now.Sub(t.startedAt) >= trialLength {
		s.trialPassed(w)
		return
	}
	s.gained(w)
}
