package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Limits of the judgement of runs by their progress.
const (
	// minLostTime is the least time that a run must have lost to be given up: a
	// worker without an end to list reports only every HoldWait.
	minLostTime = 700 * time.Millisecond
	// restartCost is how long a run takes to be placed again: a call to the
	// adviser and a commit.
	restartCost = 800 * time.Millisecond
	// checkpointLoss is the work that a run with a checkpoint loses: the platform
	// saves once a second and restores in up to 0.6 s.
	checkpointLoss = 1600 * time.Millisecond
	// maxEstimateFactor is by how much a run may exceed its estimate: in one of
	// twenty runs of the measured days the factor was 3.
	maxEstimateFactor = 3
	// minHealthyRateShare is the least rate of a sound run in its step, as a part of the
	// mean: a slow kind of worker takes 1.3 times as long, and tasks differ.
	minHealthyRateShare = 0.6
	// minRateSamples is the number of runs that make the mean rate of a step.
	minRateSamples = 3
	// minMeasuredPercent is the progress in percent that makes a rate.
	minMeasuredPercent = 10
	// gangSpeedWeight and speedWeight are the weights of a new run in a worker's
	// speed. Members of a gang have the same work, other tasks of a step differ.
	gangSpeedWeight = 0.5
	speedWeight     = 0.125
	// minSpeed and maxSpeed bound what one run says of a speed.
	minSpeed = 0.25
	maxSpeed = 2.0
	// slowSpeedPercent is the speed below which a worker counts as slow, as a part of
	// the median.
	slowSpeedPercent = 90
	// speedUpdateInterval is the least time between two medians of the speeds.
	speedUpdateInterval = time.Second
)

// progress is how far a run was at a time of its worker's clock, in ms.
type progress struct {
	clock   int64
	percent int
}

// runRates is what is known of how fast the runs of a step advance, in percent per
// millisecond on a worker of speed 1.
type runRates struct {
	sum   float64
	count int
	// Of the gang run with this number: when a member first advanced, and the
	// highest rate of one with the speed of its worker.
	gangRun       workload.RunNumber
	gangStartedAt time.Time
	gangBestRate  float64
	gangBestSpeed float64
}

func (p *runRates) mean() float64 { return p.sum / float64(p.count) }

// recordProgress notes how far a run is.
func (c *Core) recordProgress(w *worker, id workload.TaskID, r *run, percent int, clock int64) {
	j := c.jobsByID[id.Job]
	if j == nil || r.stopRequested || r.endProposed {
		return
	}
	s, spec := &j.steps[id.Step], &j.Spec.Steps[id.Step]
	if spec.Gang && s.rates.gangRun != r.number {
		s.rates.gangRun, s.rates.gangStartedAt, s.rates.gangBestRate = r.number, time.Time{}, 0
	}
	switch {
	case r.firstReport.clock == 0:
		r.firstReport = progress{clock, percent}
	case r.firstAdvance.clock == 0 && percent > r.firstReport.percent:
		r.firstAdvance = progress{clock, percent}
		if s.rates.gangStartedAt.IsZero() {
			s.rates.gangStartedAt = c.now
		}
	}
	if percent < 100 {
		r.latestReport = progress{clock, percent}
	}
	if rate := r.rate(); spec.Gang && rate > s.rates.gangBestRate {
		s.rates.gangBestRate, s.rates.gangBestSpeed = rate, w.speed
	}
	if percent < 100 && c.isStalled(w, r, s, spec) {
		c.stopStalledRun(w, id, r, s)
	}
}

// rate is the measured progress in percent per millisecond, 0 if unknown.
func (r *run) rate() float64 {
	done, elapsed := r.latestReport.percent-r.firstAdvance.percent, r.latestReport.clock-r.firstAdvance.clock
	if r.firstAdvance.clock == 0 || done < minMeasuredPercent || elapsed <= 0 {
		return 0
	}
	return float64(done) / float64(elapsed)
}

// isStalled reports whether a run has lost so much time that it is better begun
// again elsewhere. Waiting costs at most as long again as beginning again.
func (c *Core) isStalled(w *worker, r *run, s *step, spec *workload.StepSpec) bool {
	if spec.Estimate <= 0 {
		return false
	}
	minRate := 100 / (maxEstimateFactor * float64(spec.Estimate.Milliseconds()))
	switch {
	case spec.Gang && s.rates.gangBestRate > 0:
		minRate = minHealthyRateShare * s.rates.gangBestRate
	case !spec.Gang && s.rates.count >= minRateSamples:
		minRate = minHealthyRateShare * s.rates.mean()
	}
	from := r.firstAdvance
	if from.clock == 0 {
		from = r.firstReport
	}
	elapsed := float64(r.latestReport.clock - from.clock)
	if spec.Gang {
		if s.rates.gangStartedAt.IsZero() {
			return false
		}
		// A member may have been there before the gang was complete.
		elapsed = min(elapsed, float64(c.now.Sub(s.rates.gangStartedAt).Milliseconds()))
	}
	lostTime := elapsed - float64(r.latestReport.percent-from.percent)/minRate
	workDone := float64(r.latestReport.percent) / minRate
	if r.checkpoint != "" {
		workDone = min(workDone, float64(checkpointLoss.Milliseconds()))
	}
	return lostTime >= max(float64(minLostTime.Milliseconds()), workDone+float64(restartCost.Milliseconds()))
}

// stopStalledRun stops a run that has stalled, and avoids its worker.
func (c *Core) stopStalledRun(w *worker, id workload.TaskID, r *run, s *step) {
	if !c.isAvoided(w) {
		w.failureEvidence = failingEvidence
		if !c.avoidFailingWorker(w, "stalled") {
			return
		}
	}
	s.excludeWorker(w.ID)
	c.requestStop(w, r, "stalled")
	c.stopGang(id)
}

// updateSpeed takes what a run that was done says of the speed of its worker: its
// rate against that of the fastest member of its gang, or against the mean of the
// tasks of its step.
func (c *Core) updateSpeed(w *worker, id workload.TaskID, r *run) {
	j := c.jobsByID[id.Job]
	if j == nil || !r.openedThisTerm || !r.confirmed {
		return
	}
	rates := &j.steps[id.Step].rates
	if j.Spec.Steps[id.Step].Gang {
		if rate := r.rate(); rate > 0 && rates.gangRun == r.number {
			w.addSpeedSample(rate/rates.gangBestRate*rates.gangBestSpeed, gangSpeedWeight)
		}
		return
	}
	elapsed := c.now.Sub(r.confirmedAt).Milliseconds()
	if r.checkpoint != "" || elapsed <= 0 {
		return
	}
	rate := 100 / float64(elapsed)
	previousSpeed := w.speed
	if rates.count >= minRateSamples {
		w.addSpeedSample(rate/rates.mean(), speedWeight)
	}
	rates.sum += rate / previousSpeed
	rates.count++
}

func (w *worker) addSpeedSample(sample, weight float64) {
	w.speed += (min(max(sample, minSpeed), maxSpeed) - w.speed) * weight
}

// updateSlowThreshold updates the speed below which a worker counts as slow.
func (c *Core) updateSlowThreshold() {
	if c.now.Before(c.nextSpeedUpdate) || len(c.usableWorkers) == 0 {
		return
	}
	c.nextSpeedUpdate = c.now.Add(speedUpdateInterval)
	speeds := make([]float64, 0, len(c.usableWorkers))
	for _, w := range c.usableWorkers {
		speeds = append(speeds, w.speed)
	}
	slices.Sort(speeds)
	c.slowSpeedThreshold = speeds[len(speeds)/2] * slowSpeedPercent / 100
}

// isSlow reports whether runs take clearly longer on a worker than on most.
func (c *Core) isSlow(w *worker) bool { return w.speed < c.slowSpeedThreshold }
