package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/runtimes"
	"github.com/godwitlink/godwitlink/core/workload"
)

const (
	// maxLearnedQueues bounds the number of queues whose run times are kept. A queue takes 300 bytes.
	maxLearnedQueues = 1024
	// refreshInterval is the time after which the expected run times of waiting jobs follow what was
	// learned about their queue, and minRatioChange the change that they follow.
	refreshInterval = time.Second
	minRatioChange  = 0.02
	// promptEndWait is how long a hold must have waited for its answer to have been answered because a
	// run ended, and promptEndDelay how much later than the end the answer is then read.
	promptEndWait  = 100 * time.Millisecond
	promptEndDelay = 30 * time.Millisecond
	// maxMissedShare is the share of a measured run time that may have passed after the end of the run.
	maxMissedShare = 0.2
	// gangNoise is the variance of the logarithm of the speed that a member of a gang shows in relation
	// to the fastest one. The members have equal work, and progress is reported in whole percent.
	gangNoise = 0.01
	// minTailFactor is the lowest multiple of its estimate at which a run may count as stalled. It
	// covers a slow type of worker, which is 1.3 times slower, and a worker that is short of processor
	// time for a moment.
	minTailFactor = 2
)

// learnedRunTimes is what this leader has learned about run times, by queue.
type learnedRunTimes struct {
	groups      runtimes.Recent[string, runtimes.Group]
	nextRefresh time.Time
	reports     runTimeReports
}

func newLearnedRunTimes() learnedRunTimes {
	return learnedRunTimes{
		groups:  runtimes.NewRecent[string, runtimes.Group](maxLearnedQueues / 2),
		reports: runTimeReports{samples: map[string][]runtimes.Sample{}},
	}
}

func (l *learnedRunTimes) groupOf(queue string) *runtimes.Group { return l.groups.FindOrAdd(queue) }

// relativeSpeed returns the speed of a worker in relation to the median of all workers.
func (c *Core) relativeSpeed(w *worker) float64 { return w.speed.Value() / c.medianSpeed }

// learnFromRun records how long a run that is done has taken, and the speed that its worker showed.
func (c *Core) learnFromRun(w *worker, id workload.TaskID, r *run) {
	j := c.jobsByID[id.Job]
	if j == nil || !r.openedThisTerm || !r.confirmed {
		return
	}
	if j.Spec.Steps[id.Step].Gang {
		c.learnFromGangMember(w, j, id.Step, r)
		return
	}
	elapsed := c.now.Sub(r.confirmedAt)
	if r.checkpoint != "" || elapsed <= 0 {
		return
	}
	s := &j.steps[id.Step]
	if missed, known := c.missedTime(w, r); known && !r.slowdown.seen && missed.Seconds() <= maxMissedShare*elapsed.Seconds() {
		c.learnRunTime(w, j, id.Step, elapsed, missed)
	}
	s.rates.sum += 100 / float64(elapsed.Milliseconds()+1) / c.relativeSpeed(w)
	s.rates.count++
}

// missedTime returns by how much the end of a run may have been reported late, if its start was
// answered.
func (c *Core) missedTime(w *worker, r *run) (missed time.Duration, known bool) {
	switch {
	case r.startOutcome != OutcomeOK || w.unresponsive:
		return 0, false
	case c.now.Sub(w.holdSentAt) >= promptEndWait:
		return promptEndDelay, true
	}
	return promptEndDelay + w.holdGap, true
}

// learnRunTime records a measured run time. The speed of the worker is compared with what was expected
// before.
func (c *Core) learnRunTime(w *worker, j *job, index int, elapsed, missed time.Duration) {
	declared := j.Spec.Steps[index].Estimate
	if declared <= 0 || c.opts.TrustDeclared {
		return
	}
	s := &j.steps[index]
	relative := c.relativeSpeed(w)
	if j.group.Known() || s.siblings.Count() > 0 {
		shown := j.group.Ratio(&s.siblings) * declared.Seconds() / elapsed.Seconds()
		w.speed.Observe(shown*c.medianSpeed, j.group.Noise(&s.siblings, elapsed, missed))
	}
	measured := runtimes.Scale(elapsed, relative)
	s.longest = max(s.longest, measured)
	c.recordRunTime(j, s.expected, measured)
	c.addSample(j, s.siblings.Observe(measured, declared))
	c.expectRunTimes(j)
}

// learnFromGangMember records the speed of the worker of a gang's member in relation to the fastest one,
// and the run time of the gang once.
func (c *Core) learnFromGangMember(w *worker, j *job, index int, r *run) {
	s := &j.steps[index]
	rates, rate := &s.rates, r.rate()
	if rates.gangRun != r.number || rates.gangBestRate == 0 {
		return
	}
	if rate > 0 {
		w.speed.Observe(rate/rates.gangBestRate*rates.gangBestSpeed*c.medianSpeed, gangNoise)
	}
	if declared := j.Spec.Steps[index].Estimate; declared > 0 && s.siblings.Count() == 0 && !c.opts.TrustDeclared {
		took := time.Duration(100 / rates.gangBestRate * rates.gangBestSpeed * float64(time.Millisecond))
		c.recordRunTime(j, s.expected, took)
		c.addSample(j, s.siblings.Observe(took, declared))
		c.expectRunTimes(j)
	}
}

// learnFromStalledRun records the run time that a run of a single task would have had by its progress.
// Otherwise the tail would only contain the runs that were not given up, and would shrink.
func (c *Core) learnFromStalledRun(w *worker, id workload.TaskID, r *run) {
	j := c.jobsByID[id.Job]
	spec, rate := &j.Spec.Steps[id.Step], r.rate()
	if spec.Gang || rate == 0 || c.hasSlowedDown(w) || c.opts.TrustDeclared {
		return
	}
	takes := time.Duration(100 / rate * c.relativeSpeed(w) * float64(time.Millisecond))
	c.addSample(j, j.steps[id.Step].siblings.Sample(takes, spec.Estimate))
}

// expectRunTimes calculates the expected run times of the steps, the critical path and the objective.
func (c *Core) expectRunTimes(j *job) {
	j.groupRatio = j.group.Ratio(&runtimes.Siblings{})
	for i := range j.steps {
		s := &j.steps[i]
		s.criticalPath = 0
		s.expected = runtimes.Scale(j.Spec.Steps[i].Estimate, j.group.Ratio(&s.siblings))
	}
	c.computeObjective(j)
	j.updateSizeClass()
}

// refreshExpectations calculates the expected run times of the jobs again whose queue has taken longer
// or shorter than expected by now.
func (c *Core) refreshExpectations() {
	if c.now.Before(c.runTimes.nextRefresh) {
		return
	}
	c.runTimes.nextRefresh = c.now.Add(refreshInterval)
	for _, j := range c.liveJobs {
		if ratio := j.group.Ratio(&runtimes.Siblings{}); ratio < j.groupRatio*(1-minRatioChange) || ratio > j.groupRatio*(1+minRatioChange) {
			c.expectRunTimes(j)
		}
	}
}

// estimateTail returns the multiple of its estimate that a run may take on a worker. What is learned about
// long tasks does not excuse a worker that has become slow.
func (c *Core) estimateTail(w *worker, j *job) float64 {
	if c.hasSlowedDown(w) {
		return maxEstimateFactor
	}
	return max(j.group.Tail(maxEstimateFactor), minTailFactor)
}

// siblingRateShare returns the minimum rate of a healthy run in relation to the mean of its step.
func (c *Core) siblingRateShare(w *worker, j *job) float64 {
	if c.hasSlowedDown(w) {
		return minHealthyRateShare
	}
	return min(1/j.group.WithinTail(1/minHealthyRateShare), minHealthyRateShare)
}

// expectedRemainingTime returns how long a run without measured progress will still take, if its queue or
// its siblings tell. The time is unknown once the run has taken longer than expected.
func (c *Core) expectedRemainingTime(j *job, w *worker, id workload.TaskID, r *run) (remaining time.Duration, known bool) {
	s := &j.steps[id.Step]
	if !r.confirmed || !r.openedThisTerm || r.checkpoint != "" || !j.group.Known() && s.siblings.Count() == 0 {
		return 0, false
	}
	remaining = runtimes.Scale(s.expected, 1/c.relativeSpeed(w)) - c.now.Sub(r.confirmedAt)
	return remaining, remaining > 0
}
