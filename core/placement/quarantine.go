package placement

import (
	"math"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

const (
	// brokenFailureRate is the failure rate that is assumed for a broken worker.
	brokenFailureRate = 0.95
	// suspicionLimit is the log-likelihood ratio from which a worker is quarantined: the outcomes
	// on it under brokenFailureRate against the failure rates of the same jobs on other workers.
	// e^6 is about 400.
	suspicionLimit = 6.0
	// minSuspectJobs is the number of different jobs that must have failed on a worker, so that a
	// single job cannot quarantine it.
	minSuspectJobs = 3
	// priorOutcomes is the number of outcomes at the failure rate of the cell that are added to
	// those of a job, as its prior.
	priorOutcomes = 2.0
	// Estimated failure rates are limited to these bounds.
	minFailureRate, maxFailureRate = 0.02, 0.95
	// quarantineInitial is the time from the quarantine to the first trial. Every failed trial
	// doubles it, up to quarantineMax.
	quarantineInitial = time.Minute
	quarantineMax     = 30 * time.Minute
	// trialsToTrust is the number of consecutive trials that must succeed to end a quarantine.
	trialsToTrust = 3
	// minTrialTime is the run time after which a trial counts as passed although its task still
	// runs.
	minTrialTime = time.Minute
	// countRuleFailures and countRulePause belong to QuarantineByCount.
	countRuleFailures = 5
	countRulePause    = 10 * time.Minute
	// cellFailureRateWeight is the weight of one outcome in the failure rate of the cell.
	cellFailureRateWeight = 0.01
)

// outcomes counts ended tasks and those of them that failed.
type outcomes struct{ total, failures float64 }

func (o outcomes) sub(p outcomes) outcomes {
	return outcomes{total: o.total - p.total, failures: o.failures - p.failures}
}

// workerHealth is the evidence from outcomes on a worker and the state of its quarantine.
type workerHealth struct {
	suspicion    float64
	byJob        map[cell.JobID]*outcomes // since the last quarantine ended
	failedJobs   int
	quarantined  bool
	pausedUntil  time.Time // no trial is started before
	pauseTime    time.Duration
	trial        *allocation // the only task on trial; nil if none
	passedTrials int
}

// acceptsTask reports whether a task may be placed on the worker.
func (h *workerHealth) acceptsTask(now time.Time) bool {
	return !h.quarantined || (h.trial == nil && !now.Before(h.pausedUntil))
}

// Quarantined returns the quarantined workers, sorted by name.
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

// recordOutcome updates the health of a worker with the end of an allocation. Only successes and
// failures count: a stop on request says nothing about the worker.
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

// countFailures implements QuarantineByCount.
func (s *Scheduler) countFailures(w *worker, failed bool) {
	h := &w.health
	if s.opts.Quarantine != QuarantineByCount || !failed || h.quarantined {
		return
	}
	h.failedJobs++
	if h.failedJobs >= countRuleFailures {
		h.quarantined, h.pauseTime = true, countRulePause
		s.startPause(w)
	}
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of one outcome: on a broken
// worker against a sound worker, on which the job fails at rate.
func logLikelihoodRatio(failed bool, rate float64) float64 {
	if failed {
		return math.Log(brokenFailureRate / rate)
	}
	return math.Log((1 - brokenFailureRate) / (1 - rate))
}

// failureRateElsewhere returns the failure rate of a job on the other workers, combined with the
// rate of the cell, which counts as priorOutcomes outcomes.
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

// forgetOutcomes removes a job that has ended from the health of its workers.
func (s *Scheduler) forgetOutcomes(j *job) {
	for _, w := range j.outcomeWorkers {
		// failedJobs still counts the job until the quarantine of the worker ends or its suspicion
		// is zero.
		delete(w.health.byJob, j.id)
		if w.health.suspicion == 0 && !w.health.quarantined {
			w.health.failedJobs = 0
		}
	}
	j.outcomeWorkers = nil
}

// quarantine excludes a worker from placement until its first trial. Its outcomes are subtracted
// from those of the jobs, because they say nothing about the jobs.
func (s *Scheduler) quarantine(w *worker) {
	h := &w.health
	for id, here := range h.byJob {
		if j := s.jobs[id]; j != nil {
			j.outcomes = j.outcomes.sub(*here)
		}
	}
	h.quarantined = true
	h.pauseTime = max(quarantineInitial, h.pauseTime)
	s.startPause(w)
}

func (s *Scheduler) startPause(w *worker) {
	h := &w.health
	h.pausedUntil, h.trial, h.passedTrials = s.now.Add(h.pauseTime), nil, 0
	s.cancelWorkerClaims(w)
	s.workerChanged(w)
	s.startTimer(timer{at: h.pausedUntil.UnixNano(), worker: w})
}

// beginTrial records that a task was booked on a quarantined worker, which gets no other task until
// this one has ended or has run for minTrialTime.
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
		h.pauseTime = min(2*h.pauseTime, quarantineMax)
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
		*h = workerHealth{}
	}
	s.capacityGained(w)
}

// cancelTrial allows another trial after a trial without a result, for example because its task was
// cancelled.
func (s *Scheduler) cancelTrial(a *allocation) {
	if h := &a.worker.health; h.trial == a {
		h.trial = nil
	}
}

// workerTimerDue handles the timer of a quarantined worker: its pause is over, or its trial has run
// for minTrialTime.
func (s *Scheduler) workerTimerDue(w *worker) {
	h := &w.health
	if !h.quarantined {
		return
	}
	if s.opts.Quarantine == QuarantineByCount {
		*h = workerHealth{}
		s.capacityGained(w)
		return
	}
	if t := h.trial; t != nil && !t.startedAt.IsZero() && s.now.Sub(t.startedAt) >= minTrialTime {
		s.trialPassed(w)
		return
	}
	s.capacityGained(w)
}
