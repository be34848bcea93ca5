package dispatch

import "slices"

// speedClass compares the speed of a worker with that of most others. Work that could be late takes the
// fastest worker with free resources, other work the slowest one. No worker is kept idle for its speed.
type speedClass int8

const (
	speedSlow speedClass = iota - 1
	speedUsual
	speedFast
)

const (
	// slowSpeedPercent and fastSpeedPercent are the speeds, in percent of the median, below and above
	// which a worker counts as slow or fast. The kinds of workers of the platform differ by a fifth or
	// more, and the learned speed of a usual worker by a twentieth.
	slowSpeedPercent = 90
	fastSpeedPercent = 111
)

// speedClassOf returns the class of a worker by what is known about its speed.
func (c *Core) speedClassOf(w *worker) speedClass {
	switch speed := w.speed.Value(); {
	case speed < c.slowSpeedThreshold, c.hasSlowedDown(w):
		return speedSlow
	case speed > c.fastSpeedThreshold && c.fastSpeedThreshold > 0:
		return speedFast
	}
	return speedUsual
}

// updateSpeedClasses updates the median speed and the speeds at which a worker counts as slow or fast.
func (c *Core) updateSpeedClasses() {
	if c.now.Before(c.nextSpeedUpdate) || len(c.usableWorkers) == 0 {
		return
	}
	c.nextSpeedUpdate = c.now.Add(speedUpdateInterval)
	speeds := make([]float64, 0, len(c.usableWorkers))
	for _, w := range c.usableWorkers {
		speeds = append(speeds, w.speed.Value())
	}
	slices.Sort(speeds)
	c.medianSpeed = speeds[len(speeds)/2]
	c.slowSpeedThreshold = c.medianSpeed * slowSpeedPercent / 100
	c.fastSpeedThreshold = c.medianSpeed * fastSpeedPercent / 100
}

// fasterCandidates returns the candidates on which a gang is to run, which is as slow as its slowest
// member: the fast ones if it could be late and fits there, or else those that are not slow if it fits
// there, or else all. The list is valid until the next call.
func (c *Core) fasterCandidates(r readyStep, candidates []candidate) []candidate {
	spec := &r.job.Spec.Steps[r.index]
	from := speedUsual
	if r.job.needsFastWorkers(r.index, c.now) {
		from = speedFast
	}
	for ; from > speedSlow; from-- {
		c.fastBuffer = c.fastBuffer[:0]
		for _, cand := range candidates {
			if cand.speed >= from {
				c.fastBuffer = append(c.fastBuffer, cand)
			}
		}
		if allTasksFit(c.fastBuffer, spec) {
			return c.fastBuffer
		}
	}
	return candidates
}
