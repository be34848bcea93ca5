package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Limits of the judgement of runs by their progress.
const (
	// minLost is the least time that a run must have lost to be given up: a
	// worker without an end to list reports only every HoldWait.
	minLost = 700 * time.Millisecond
	// restartCost is how long a run takes to be placed again: a call to the
	// adviser and a commit.
	restartCost = 800 * time.Millisecond
	// savedLoss is the work that a run with a checkpoint loses: the platform
	// saves once a second and restores in up to 0.6 s.
	savedLoss = 1600 * time.Millisecond
	// estimateFactor is by how much a run may exceed its estimate: in one of
	// twenty runs of the measured days the factor was 3.
	estimateFactor = 3
	// slowestSound is the least rate of a sound run in its step, as a part of the
	// mean: a slow kind of worker takes 1.3 times as long, and tasks differ.
	slowestSound = 0.6
	// minRates is the number of runs that make the mean rate of a step.
	minRates = 3
	// minMeasured is the progress in percent that makes a rate.
	minMeasured = 10
	// gangSpeedWeight and speedWeight are the weights of a new run in a worker's
	// speed. Members of a gang have the same work, other tasks of a step differ.
	gangSpeedWeight = 0.5
	speedWeight     = 0.125
	// minSpeed and maxSpeed bound what one run says of a speed.
	minSpeed = 0.25
	maxSpeed = 2.0
	// slowPercent is the speed below which a worker counts as slow, as a part of
	// the median.
	slowPercent = 90
	// speedInterval is the least time between two medians of the speeds.
	speedInterval = time.Second
)

// progress is how far a run was at a time of its worker's clock, in ms.
type progress struct {
	clock   int64
	percent int
}

// paces is what is known of how fast the runs of a step advance, in percent per
// millisecond on a worker of speed 1.
type paces struct {
	sum   float64
	count int
	// Of the gang run with this number: when a member first advanced, and the
	// highest rate of one with the speed of its worker.
	run       workload.RunNumber
	begun     time.Time
	best      float64
	bestSpeed float64
}

func (p *paces) mean() float64 { return p.sum / float64(p.count) }

// advanced notes how far a run is.
func (c *Core) advanced(w *worker, id workload.TaskID, r *run, percent int, clock int64) {
	j := c.byID[id.Job]
	if j == nil || r.stop || r.reported {
		return
	}
	s, spec := &j.steps[id.Step], &j.Spec.Steps[id.Step]
	if spec.Gang && s.paces.run != r.number {
		s.paces.run, s.paces.begun, s.paces.best = r.number, time.Time{}, 0
	}
	switch {
	case r.seen.clock == 0:
		r.seen = progress{clock, percent}
	case r.first.clock == 0 && percent > r.seen.percent:
		r.first = progress{clock, percent}
		if s.paces.begun.IsZero() {
			s.paces.begun = c.now
		}
	}
	if percent < 100 {
		r.last = progress{clock, percent}
	}
	if rate := r.rate(); spec.Gang && rate > s.paces.best {
		s.paces.best, s.paces.bestSpeed = rate, w.speed
	}
	if percent < 100 && c.stalled(w, r, s, spec) {
		c.giveUpStalled(w, id, r, s)
	}
}

// rate is the measured progress in percent per millisecond, 0 if unknown.
func (r *run) rate() float64 {
	done, elapsed := r.last.percent-r.first.percent, r.last.clock-r.first.clock
	if r.first.clock == 0 || done < minMeasured || elapsed <= 0 {
		return 0
	}
	return float64(done) / float64(elapsed)
}

// stalled reports whether a run has lost so much time that it is better begun
// again elsewhere. Waiting costs at most as long again as beginning again.
func (c *Core) stalled(w *worker, r *run, s *step, spec *workload.StepSpec) bool {
	if spec.Estimate <= 0 {
		return false
	}
	least := 100 / (estimateFactor * float64(spec.Estimate.Milliseconds()))
	switch {
	case spec.Gang && s.paces.best > 0:
		least = slowestSound * s.paces.best
	case !spec.Gang && s.paces.count >= minRates:
		least = slowestSound * s.paces.mean()
	}
	from := r.first
	if from.clock == 0 {
		from = r.seen
	}
	elapsed := float64(r.last.clock - from.clock)
	if spec.Gang {
		if s.paces.begun.IsZero() {
			return false
		}
		// A member may have been there before the gang was complete.
		elapsed = min(elapsed, float64(c.now.Sub(s.paces.begun).Milliseconds()))
	}
	lost := elapsed - float64(r.last.percent-from.percent)/least
	work := float64(r.last.percent) / least
	if r.checkpoint != "" {
		work = min(work, float64(savedLoss.Milliseconds()))
	}
	return lost >= max(float64(minLost.Milliseconds()), work+float64(restartCost.Milliseconds()))
}

// giveUpStalled stops a run that has stalled, and avoids its worker.
func (c *Core) giveUpStalled(w *worker, id workload.TaskID, r *run, s *step) {
	if !c.avoided(w) {
		w.evidence = failingWeight
		if !c.avoidFailing(w, "stalled") {
			return
		}
	}
	s.keepFrom(w.ID)
	c.stopRun(w, r, "stalled")
	c.stopMembers(id)
}

// learnSpeed takes what a run that was done says of the speed of its worker: its
// rate against that of the fastest member of its gang, or against the mean of the
// tasks of its step.
func (c *Core) learnSpeed(w *worker, id workload.TaskID, r *run) {
	j := c.byID[id.Job]
	if j == nil || !r.own || !r.confirmed {
		return
	}
	p := &j.steps[id.Step].paces
	if j.Spec.Steps[id.Step].Gang {
		if rate := r.rate(); rate > 0 && p.run == r.number {
			w.learn(rate/p.best*p.bestSpeed, gangSpeedWeight)
		}
		return
	}
	took := c.now.Sub(r.confirmAt).Milliseconds()
	if r.checkpoint != "" || took <= 0 {
		return
	}
	rate := 100 / float64(took)
	known := w.speed
	if p.count >= minRates {
		w.learn(rate/p.mean(), speedWeight)
	}
	p.sum += rate / known
	p.count++
}

func (w *worker) learn(sample, weight float64) {
	w.speed += (min(max(sample, minSpeed), maxSpeed) - w.speed) * weight
}

// learnMedianSpeed updates the speed below which a worker counts as slow.
func (c *Core) learnMedianSpeed() {
	if c.now.Before(c.nextSpeeds) || len(c.usable) == 0 {
		return
	}
	c.nextSpeeds = c.now.Add(speedInterval)
	speeds := make([]float64, 0, len(c.usable))
	for _, w := range c.usable {
		speeds = append(speeds, w.speed)
	}
	slices.Sort(speeds)
	c.slowBelow = speeds[len(speeds)/2] * slowPercent / 100
}

// isSlow reports whether runs take clearly longer on a worker than on most.
func (c *Core) isSlow(w *worker) bool { return w.speed < c.slowBelow }
