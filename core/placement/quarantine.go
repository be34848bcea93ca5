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
	// priorOutcomes is the number of ends at the rate of the whole cell that count
	// for a job before its own.
	priorOutcomes = 2.0
	// Failure rates are taken to be within these bounds.
	minFailureRate, maxFailureRate = 0.02, 0.95
	// quarantineInitial is the time before the first trial; every failed trial
	// doubles it up to quarantineMax.
	quarantineInitial = time.Minute
	quarantineMax     = 30 * time.Minute
	// trialsToTrust is the number of tasks in a row that must succeed.
	trialsToTrust = 3
	// minTrialTime is how long a task must run to count as a success while it
	// still runs.
	minTrialTime = time.Minute
	// countRuleFailures and countPause belong to QuarantineByCount.
	countRuleFailures = 5
	countRulePause    = 10 * time.Minute
	// cellFailureRateWeight is the weight of one end in the failure rate of the cell.
	cellFailureRateWeight = 0.01
)

// outcomes counts how tasks ended.
type outcomes struct{ total, failures float64 }

func (o outcomes) sub(p outcomes) outcomes {
	return outcomes{total: o.total - p.total, failures: o.failures - p.failures}
}

// health is what the outcomes on a worker say about it.
type health struct {
	suspicion    float64
	byJob        map[cell.JobID]*outcomes // since the worker was last trusted
	failedJobs   int
	quarantined  bool
	pausedUntil  time.Time // no trial before
	pause        time.Duration
	trial        *allocation // the one task of a trial
	passedTrials int
}

// acceptsTask reports whether the worker may be given a task now.
func (h *health) acceptsTask(now time.Time) bool {
	return !h.quarantined || (h.trial == nil && !now.Before(h.pausedUntil))
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

// recordOutcome takes the end of an allocation into account. Only successes and
// failures count; a worker is not to blame for what it was told to stop.
func (s *Scheduler) recordOutcome(a *allocation, outcome state.TaskOutcome) {
	failed := outcome == state.ReportFailed
	if a.job == nil || (!failed && outcome != state.ReportSucceeded) {
		return
	}
	if s.opts.Quarantine != QuarantineByEvidence {
		s.countFailures(a.worker, failed)
		return
	}
	rate := s.failureRateElsewhere(a)
	s.countOutcome(a, failed)
	w := a.worker
	if w.health.quarantined {
		s.trialEnded(w, a, failed)
		return
	}
	w.health.suspicion = max(0, w.health.suspicion+logLikelihoodRatio(failed, rate))
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
	if h.failedJobs >= countRuleFailures {
		h.quarantined, h.pause = true, countRulePause
		s.startPause(w)
	}
}

// logLikelihoodRatio is the logarithm of the likelihood ratio of one end: broken worker
// against a good one on which the job fails at rate.
func logLikelihoodRatio(failed bool, rate float64) float64 {
	if failed {
		return math.Log(brokenFailureRate / rate)
	}
	return math.Log((1 - brokenFailureRate) / (1 - rate))
}

// failureRateElsewhere is the failure rate of a job on the other workers, mixed with
// the rate of the cell while there are few ends.
func (s *Scheduler) failureRateElsewhere(a *allocation) float64 {
	elsewhere := a.job.outcomes
	if here := a.worker.health.byJob[a.task.Job]; here != nil {
		elsewhere = elsewhere.sub(*here)
	}
	rate := (elsewhere.failures + priorOutcomes*s.failureRate) / (elsewhere.total + priorOutcomes)
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
		a.job.outcomeWorkers = append(a.job.outcomeWorkers, a.worker)
	}
	sample := 0.0
	if failed {
		sample = 1
		if here.failures == 0 {
			h.failedJobs++
		}
	}
	here.total++
	here.failures += sample
	if !h.quarantined {
		a.job.outcomes.total++
		a.job.outcomes.failures += sample
		s.failureRate += cellFailureRateWeight * (sample - s.failureRate)
	}
}

// forgetOutcomes drops what workers remember of a job that has ended.
func (s *Scheduler) forgetOutcomes(j *job) {
	for _, w := range j.outcomeWorkers {
		// Failures stay counted in failedJobs until the worker is trusted
		// again or its suspicion is gone.
		delete(w.health.byJob, j.id)
		if w.health.suspicion == 0 && !w.health.quarantined {
			w.health.failedJobs = 0
		}
	}
	j.outcomeWorkers = nil
}

// quarantine takes a worker out of use until a trial. What happened on it is
// taken back from the rates of the jobs, which it says nothing about.
func (s *Scheduler) quarantine(w *worker) {
	h := &w.health
	for id, here := range h.byJob {
		if j := s.jobs[id]; j != nil {
			j.outcomes = j.outcomes.sub(*here)
		}
	}
	h.quarantined = true
	h.pause = max(quarantineInitial, h.pause)
	s.startPause(w)
}

func (s *Scheduler) startPause(w *worker) {
	h := &w.health
	h.pausedUntil, h.trial, h.passedTrials = s.now.Add(h.pause), nil, 0
	s.cancelWorkerClaims(w)
	s.workerChanged(w)
	s.startTimer(timer{at: h.pausedUntil.UnixNano(), worker: w})
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
		s.startPause(w)
		return
	}
	s.trialPassed(w)
}

func (s *Scheduler) trialPassed(w *worker) {
	h := &w.health
	h.trial = nil
	h.passedTrials++
	if h.passedTrials >= trialsToTrust {
		*h = health{}
	}
	s.capacityGained(w)
}

// cancelTrial lets the next trial begin where the task of one said nothing, for
// example because it was cancelled.
func (s *Scheduler) cancelTrial(a *allocation) {
	if h := &a.worker.health; h.trial == a {
		h.trial = nil
	}
}

// workerTimerDue continues a quarantine: its pause is over, or a trial has run long
// enough.
func (s *Scheduler) workerTimerDue(w *worker) {
	h := &w.health
	if !h.quarantined {
		return
	}
	if s.opts.Quarantine == QuarantineByCount {
		*h = health{}
		s.capacityGained(w)
		return
	}
	if t := h.trial; t != nil && !t.startedAt.IsZero() && s.now.Sub(t.startedAt) >= minTrialTime {
		s.trialPassed(w)
		return
	}
	s.capacityGained(w)
}
