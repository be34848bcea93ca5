package admission

import (
	"math"
	"time"
)

const (
	// limitFloor keeps a service alive however slow its answers are.
	limitFloor = 4
	// A window is measured over at least this many answers and this long. The
	// mean of 100 exponential delays is within 30 % of the true one nearly
	// always; the mean of a few answers made the limit collapse without load.
	windowAnswers = 100
	windowMin     = 200 * time.Millisecond
	// congestedFactor is how far the mean delay of a window may be above the
	// baseline before the limit shrinks. A tenth of the servers being slow must
	// not shrink it: routing moves their load away.
	congestedFactor = 2.0
	// limitDecrease is the factor of one step down, at most one each window.
	limitDecrease = 0.9
	// baselineGrowth is the share by which the baseline rises in a second, so
	// that work that has become slower for good is accepted as normal.
	baselineGrowth = 0.05
	// delayWeight is the weight of one answer in the mean delay.
	delayWeight = 0.05
)

// limiter learns how many requests may be in flight: it shrinks while answers
// take much longer than the baseline and grows while the limit is in use.
type limiter struct {
	ceiling float64 // connections that this entry process may open
	limit   float64
	mean    time.Duration // of recent answers, for the shortest answer

	baseline time.Duration // smallest mean of a window, rising slowly
	window   window
}

// window is the answers since its start.
type window struct {
	start   time.Time
	answers int
	total   time.Duration
	limited bool // the limit was nearly reached
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
	return float64(inFlight) < max(l.limit, min(limitFloor, l.ceiling))
}

func (l *limiter) answered(now time.Time, delay time.Duration, inFlight int) {
	if l.mean == 0 {
		l.mean = delay
	}
	l.mean += time.Duration(delayWeight * float64(delay-l.mean))
	w := &l.window
	if w.answers == 0 {
		w.start = now
	}
	w.answers++
	w.total += delay
	w.limited = w.limited || float64(inFlight) >= limitDecrease*l.limit
	if elapsed := now.Sub(w.start); w.answers >= windowAnswers && elapsed >= windowMin {
		l.adjust(elapsed)
	}
}

// adjust ends a window.
func (l *limiter) adjust(elapsed time.Duration) {
	w := l.window
	l.window = window{}
	mean := w.total / time.Duration(w.answers)
	grown := float64(l.baseline) * (1 + baselineGrowth*elapsed.Seconds())
	l.baseline = time.Duration(grown)
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	switch {
	case float64(mean) > congestedFactor*float64(l.baseline):
		l.limit = max(l.limit*limitDecrease, min(limitFloor, l.ceiling))
	case w.limited:
		l.limit = min(l.limit+math.Sqrt(l.limit), l.ceiling)
	}
}
