package runtimes

import (
	"math"
	"time"
)

const (
	// priorRuns is the number of runs with a ratio of 1 that a group is assumed to have had before
	// anything is known, so that a few runs do not change what is expected at once.
	priorRuns = 8
	// minTailSamples is the number of ratios from which their tail is used, and tailShare the share
	// of runs that it does not include. One of a hundred runs is taken for a stalled one at most.
	minTailSamples = 50
	tailShare      = 0.99
	// minVariance is the lowest variance of the logarithm of a ratio that is assumed, that of run
	// times which differ by a twentieth. It covers the delay of the answers of workers.
	minVariance = 0.0025
	// priorSpread and priorWithin are the variances of the logarithm of the ratio that are assumed
	// between the steps of a group and within a step: those of run times that are off by half and by a
	// fifth.
	priorSpread = 0.16
	priorWithin = 0.04
)

// Group is what is learned about a group of runs. The zero value has learned nothing.
type Group struct {
	// Declared counts the ratios of measured to declared run times.
	Declared Histogram
	// Within counts the ratios of measured run times to the mean of the siblings that ended before.
	Within Histogram
}

// Sample is what one run adds to a group.
type Sample struct {
	Declared  Bucket
	Within    Bucket
	HasWithin bool // the run had enough siblings that ended before
}

// Add adds a sample.
func (g *Group) Add(s Sample) {
	g.Declared.Add(s.Declared)
	if s.HasWithin {
		g.Within.Add(s.Within)
	}
}

// Known reports whether the group has learned enough to say more than the declared run time does.
func (g *Group) Known() bool { return g.Declared.Total() >= 2*priorRuns }

// Siblings are the ended runs of one step, whose tasks have the same declared run time.
type Siblings struct {
	count  int
	logSum float64 // of the ratios
}

// minSiblings is the number of ended siblings from which a run is compared with their mean.
const minSiblings = 2

// Observe adds a run of a declared length that took measured on a worker of speed 1, and returns what
// it adds to the group of the step.
func (s *Siblings) Observe(measured, declared time.Duration) Sample {
	sample := s.Sample(measured, declared)
	s.logSum += math.Log(ratioOf(measured, declared))
	s.count++
	return sample
}

// Sample returns what a run adds to the group of the step if it takes measured.
func (s *Siblings) Sample(measured, declared time.Duration) Sample {
	ratio := ratioOf(measured, declared)
	sample := Sample{Declared: bucketOf(ratio)}
	if s.count >= minSiblings {
		sample.Within, sample.HasWithin = bucketOf(ratio/math.Exp(s.logSum/float64(s.count))), true
	}
	return sample
}

// Count returns the number of ended runs.
func (s *Siblings) Count() int { return s.count }

// Ratio returns the expected ratio of a run: that of its group and that of its siblings, by the
// credibility of the latter. It grows with their number, and with the spread between the steps of
// the group in relation to that within a step (Bühlmann's credibility factor). The mean is that of the
// logarithm, which half of the runs exceed and a few long ones hardly change.
func (g *Group) Ratio(s *Siblings) float64 {
	logMean := g.Declared.LogMean(priorRuns)
	if s.count > 0 {
		within, between := g.variances()
		credibility := float64(s.count) / (float64(s.count) + within/between)
		logMean += credibility * (s.logSum/float64(s.count) - logMean)
	}
	if logMean == 0 {
		return 1
	}
	return math.Exp(logMean)
}

// variances returns the variance of the logarithm of the ratio within a step and between steps.
func (g *Group) variances() (within, between float64) {
	within = withPrior(&g.Within, g.Within.LogVariance(), priorWithin)
	between = withPrior(&g.Declared, g.Declared.LogVariance()-g.Within.LogVariance(), priorSpread)
	return within, between
}

// withPrior returns a learned variance, to which priorRuns runs with the prior one contribute.
func withPrior(h *Histogram, learned, prior float64) float64 {
	n := float64(h.Total())
	return max((n*learned+priorRuns*prior)/(n+priorRuns), minVariance)
}

// Noise returns the variance of the logarithm of the time that a run takes on a worker of speed 1, as
// far as the group and the siblings say. missed is the time that the measurement may be off.
func (g *Group) Noise(s *Siblings, measured, missed time.Duration) float64 {
	within, between := g.variances()
	share := missed.Seconds() / max(measured, time.Millisecond).Seconds()
	noise := within + share*share
	if s.count == 0 {
		return noise + between
	}
	return noise + 1/(1/between+float64(s.count)/within)
}

// Tail returns the multiple of its declared run time that hardly any run of the group exceeds, and
// prior while that is not known.
func (g *Group) Tail(prior float64) float64 { return tail(&g.Declared, prior) }

// WithinTail returns the multiple of the mean of its siblings that hardly any run exceeds, and prior
// while that is not known.
func (g *Group) WithinTail(prior float64) float64 { return tail(&g.Within, prior) }

func tail(h *Histogram, prior float64) float64 {
	if h.Total() < minTailSamples {
		return prior
	}
	return h.Quantile(tailShare)
}

// Scale returns a declared run time times a ratio.
func Scale(declared time.Duration, ratio float64) time.Duration {
	return time.Duration(min(float64(declared)*ratio, math.MaxInt64/2))
}
