package runtimes

import (
	"math"
	"time"
)

// Moments is the moving mean and variance of ln(measured / declared run time).
type Moments struct {
	Samples     int
	LogMean     float64
	LogVariance float64
}

// Observe adds a ratio. minWeight is the minimum weight of one observation: about the last
// 2/minWeight observations count.
func (m *Moments) Observe(measured, declared time.Duration, minWeight float64) {
	m.Samples++
	weight := max(minWeight, 1/float64(m.Samples))
	diff := math.Log(measured.Seconds()/declared.Seconds()) - m.LogMean
	m.LogMean += weight * diff
	m.LogVariance = (1 - weight) * (m.LogVariance + weight*diff*diff)
}

// RunTime returns the run time that is a number of standard deviations above the mean, and at most
// limit.
func (m *Moments) RunTime(declared time.Duration, deviations float64, limit time.Duration) time.Duration {
	logRatio := m.LogMean + deviations*math.Sqrt(m.LogVariance)
	return time.Duration(min(float64(declared)*math.Exp(logRatio), float64(limit)))
}
