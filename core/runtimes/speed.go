package runtimes

import "math"

const (
	// priorSpeedVariance is the variance of the logarithm of the speed of a worker that has not ended
	// a run. The kinds of workers run at 0.8, 1 and 1.25 of the usual speed.
	priorSpeedVariance = 0.04
	// speedDrift is added to the variance with each run, because workers become slow for seconds and
	// recover. The last runs thereby keep a weight.
	speedDrift = 0.0003
	// minSpeed and maxSpeed limit the speed that is derived from one run.
	minSpeed = 0.25
	maxSpeed = 2.0
)

// Speed is the estimated speed of a worker in relation to the usual one, which is 1. It is the
// Kalman filter of a value that drifts. The zero value is that of an unknown worker.
type Speed struct {
	value, log, variance float64 // value is 0 before the first run
}

// Value returns the estimated speed.
func (s *Speed) Value() float64 {
	if s.value == 0 {
		return 1
	}
	return s.value
}

// Observe adds the speed that one run showed. noise is the variance of its logarithm.
func (s *Speed) Observe(speed, noise float64) {
	if s.value == 0 {
		s.variance = priorSpeedVariance
	}
	s.variance += speedDrift
	gain := s.variance / (s.variance + noise)
	s.log += gain * (math.Log(min(max(speed, minSpeed), maxSpeed)) - s.log)
	s.variance *= 1 - gain
	s.value = math.Exp(s.log)
}
