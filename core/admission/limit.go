package admission

import (
	"math"
	"time"
)

const (
	// minLimit keeps a service alive however slow its answers are.
	minLimit = 4
	// A window is measured over at least this many answers and this long. The
	// mean of 100 exponential delays is within 30 % of the true one nearly
	// always; the mean of a few answers made the limit collapse without load.
	minWindowAnswers = 100
	minWindowTime    = 200 * time.Millisecond
	// congestionFactor is how far the mean delay of a window may be above the
	// baseline before the limit shrinks. A tenth of the servers being slow must
	// not shrink it: routing moves their load away.
	congestionFactor = 2.0
	// limitDecreaseFactor is the factor of one step down, at most one each window.
	limitDecreaseFactor = 0.9
	// baselineGrowthPerSecond is the share by which the baseline rises in a second, so
	// that work that has become slower for good is accepted as normal.
	baselineGrowthPerSecond = 0.05
	// meanDelayWeight is the weight of one answer in the mean delay.
	meanDelayWeight = 0.05
)

// limiter learns how many requests may be in flight: it shrinks while answers
// take much longer than the baseline and grows while the limit is in use.
type limiter struct {
	ceiling   float64 // connections that this entry process may open
	limit     float64
	meanDelay time.Duration // of recent answers, for the shortest answer

	baseline time.Duration // smallest mean of a window, rising slowly
	window   answerWindow
}

// answerWindow is the answers since its start.
type answerWindow struct {
	start      time.Time
	answers    int
	totalDelay time.Duration
	nearLimit  bool // the limit was nearly reached
}

// setCeiling states the ceiling. The limit starts there, and follows it up
// where it had reached the old one.
func (l *limiter) setCeiling(ceiling int) {
	if l.limit >= l.ceiling {
		l.limit = float64(ceiling)
	}
	l.ceiling = float64(ceiling)
	l.limit = min(l.limit, l.ceiling)
}

// allows reports whether one more request may be in flight. Without a ceiling
// no backend server is known, and routing refuses the request with that reason.
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

// adjustLimit ends a window.
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
