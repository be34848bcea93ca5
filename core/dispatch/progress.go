package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Parameters for the evaluation of runs by their progress.
const (
	// minLostTime is the minimum time that a run must have lost before it is given up. A worker
	// without ends to report answers only every HoldWait.
	minLostTime = 700 * time.Millisecond
	// restartCost is how long it takes to place a run again: an advice call and a commit.
	restartCost = 800 * time.Millisecond
	// checkpointLoss is the work that a run with a checkpoint loses when it is restarted. The
	// platform saves once a second and restores within 0.6 s.
	checkpointLoss = 1600 * time.Millisecond
	// maxEstimateFactor is the multiple of its estimate that a run may take while the tail of the run
	// times of its queue is not known. On the measured days, one of twenty runs took three times its
	// estimate.
	maxEstimateFactor = 3
	// minHealthyRateShare is the minimum rate of a healthy run relative to the mean of its step, unless
	// the queue is known to have longer tasks. A slow type of worker takes 1.3 times as long, and tasks
	// differ.
	minHealthyRateShare = 0.6
	// minRateSamples is the minimum number of runs before the mean rate of a step is used.
	minRateSamples = 3
	// minMeasuredPercent is the minimum progress, in percentage points, to calculate a rate from.
	minMeasuredPercent = 10
	// speedUpdateInterval is the minimum time between two calculations of the median speed.
	speedUpdateInterval = time.Second
)

// progress is a run's reported percentage and the worker's clock at that time, in ms.
type progress struct {
	clock   int64
	percent int
}

// runRates describes how fast the runs of a step advance, in percent per millisecond on a worker of
// speed 1.
type runRates struct {
	sum   float64
	count int
	// For the gang run with number gangRun: when a member first advanced, the highest rate of a
	// member, and the speed of that member's worker.
	gangRun       workload.RunNumber
	gangStartedAt time.Time
	gangBestRate  float64
	gangBestSpeed float64
}

func (rates *runRates) mean() float64 { return rates.sum / float64(rates.count) }

// recordProgress records the reported progress of a run and stops the run if it has stalled.
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
	if !spec.Gang {
		c.observeSlowdown(w, r, progress{clock, percent})
	}
	if rate := r.rate(); spec.Gang && rate > s.rates.gangBestRate {
		s.rates.gangBestRate, s.rates.gangBestSpeed = rate, c.relativeSpeed(w)
	}
	if percent < 100 && c.isStalled(w, r, j, id.Step) {
		c.learnFromStalledRun(w, id, r)
		c.stopStalledRun(w, id, r, s)
	}
}

// rate returns the measured progress in percent per millisecond, 0 if unknown.
func (r *run) rate() float64 {
	done, elapsed := r.latestReport.percent-r.firstAdvance.percent, r.latestReport.clock-r.firstAdvance.clock
	if r.firstAdvance.clock == 0 || done < minMeasuredPercent || elapsed <= 0 {
		return 0
	}
	return float64(done) / float64(elapsed)
}

// isStalled reports whether a run has lost so much time that it should be restarted on another
// worker. The run is given up once the lost time equals the cost of a restart, so waiting at most
// doubles that cost.
func (c *Core) isStalled(w *worker, r *run, j *job, index int) bool {
	s, spec := &j.steps[index], &j.Spec.Steps[index]
	if spec.Estimate <= 0 {
		return false
	}
	minRate := 100 / (c.estimateTail(w, j) * float64(spec.Estimate.Milliseconds()))
	switch {
	case spec.Gang && s.rates.gangBestRate > 0:
		minRate = minHealthyRateShare * s.rates.gangBestRate
	case !spec.Gang && s.rates.count >= minRateSamples:
		minRate = c.siblingRateShare(w, j) * s.rates.mean()
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
		// The member may have started before the gang was complete.
		elapsed = min(elapsed, float64(c.now.Sub(s.rates.gangStartedAt).Milliseconds()))
	}
	lostTime := elapsed - float64(r.latestReport.percent-from.percent)/minRate
	workDone := float64(r.latestReport.percent) / minRate
	if r.checkpoint != "" {
		workDone = min(workDone, float64(checkpointLoss.Milliseconds()))
	}
	return lostTime >= max(float64(minLostTime.Milliseconds()), workDone+float64(restartCost.Milliseconds()))
}

// stopStalledRun stops a stalled run and avoids its worker.
func (c *Core) stopStalledRun(w *worker, id workload.TaskID, r *run, s *step) {
	if !c.isAvoided(w) {
		w.failureEvidence = failingEvidence
		if !c.avoidFailingWorker(w, "stalled") {
			return
		}
	}
	s.excludeWorker(w.ID)
	remaining, _ := c.remainingTimeAt(r.rate(), w, r)
	c.recordGivenUpRun(w, id, r, "stalled", remaining)
	c.requestStop(w, r, "stalled")
	c.stopGang(id)
}
