package admission

import (
	"math"
	"time"
)

const (
	// minLimit is the least concurrency limit, so that a service is never blocked because its
	// answers are slow.
	minLimit = 4
	// A window ends after at least minWindowAnswers answers and minWindowTime. The mean of 100
	// exponentially distributed delays is nearly always within 30 % of the true mean; with the mean
	// of a few answers, the limit collapsed without load.
	minWindowAnswers = 100
	minWindowTime    = 200 * time.Millisecond
	// congestionFactor is the multiple of the baseline that the mean delay of a window may reach
	// before the limit is decreased. It must tolerate that a tenth of the servers are slow: routing
	// moves their load to other servers.
	congestionFactor = 2.0
	// limitDecreaseFactor is the factor of one decrease, of which there is at most one per window.
	limitDecreaseFactor = 0.9
	// baselineGrowthPerSecond is the fraction by which the baseline rises each second, so that a
	// permanent increase of the delay is accepted as normal.
	baselineGrowthPerSecond = 0.05
	// meanDelayWeight is the weight of one answer in the mean delay.
	meanDelayWeight = 0.05
)

// limiter adapts the number of requests that may be in flight: it decreases the limit while answers
// take much longer than the baseline, and increases it while the limit is nearly used up.
type limiter struct {
	ceiling   float64 // upper bound of limit
	limit     float64
	meanDelay time.Duration // of recent answers

	baseline time.Duration // smallest mean delay of a window; rises slowly
	window   answerWindow
}

// answerWindow sums up the answers since its start.
type answerWindow struct {
	start      time.Time
	answers    int
	totalDelay time.Duration
	nearLimit  bool // the requests in flight nearly reached the limit
}

// setCeiling sets the upper bound of the limit. The limit starts at the ceiling, and rises with it
// if it had reached the previous one.
func (l *limiter) setCeiling(ceiling int) {
	if l.limit >= l.ceiling {
		l.limit = float64(ceiling)
	}
	l.ceiling = float64(ceiling)
	l.limit = min(l.limit, l.ceiling)
}

// allows reports whether one more request may be in flight. A ceiling of 0 means that no backend
// server is known: the request is allowed, and routing refuses it with that reason.
func (l *limiter) allows(inFlight int) bool {
	if l.ceiling == 0 {
		return true
	}
	return float64(inFlight) < max(l.limit, min(minLimit, l.ceiling))
}

func (l *limiter) recordAnswer(now time.Time, delay time.Duration, inFlight int) {
	if l.meanDelay == 0 {
		l.meanDelay = delay
	}
	l.meanDelay += time.Duration(meanDelayWeight * float64(delay-l.meanDelay))
	w := &l.window
	if w.answers == 0 {
		w.start = now
	}
	w.answers++
	w.totalDelay += delay
	w.nearLimit = w.nearLimit || float64(inFlight) >= limitDecreaseFactor*l.limit
	if elapsed := now.Sub(w.start); w.answers >= minWindowAnswers && elapsed >= minWindowTime {
		l.adjustLimit(elapsed)
	}
}

// adjustLimit ends a window and updates the baseline and the limit.
func (l *limiter) adjustLimit(elapsed time.Duration) {
	w := l.window
	l.window = answerWindow{}
	mean := w.totalDelay / time.Duration(w.answers)
	grown := float64(l.baseline) * (1 + baselineGrowthPerSecond*elapsed.Seconds())
	l.baseline = time.Duration(grown)
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	switch {
	case float64(mean) > congestionFactor*float64(l.baseline):
		l.limit = max(l.limit*limitDecreaseFactor, min(minLimit, l.ceiling))
	case w.nearLimit:
		l.limit = min(l.limit+math.Sqrt(l.limit), l.ceiling)
	}
}
