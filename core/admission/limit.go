package admission

import "time"

const (
	// limitFloor keeps a service alive however slow its answers are.
	limitFloor = 4
	// congestedFactor is how far the mean delay may rise above its baseline
	// before the limit shrinks. A tenth of the servers being slow must not
	// shrink it: routing moves their load away.
	congestedFactor = 2.5
	// limitDecrease is the factor of one step down, at most one each mean delay.
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
	ceiling    float64 // connections that this entry process may open
	limit      float64
	mean       time.Duration
	baseline   time.Duration
	raisedAt   time.Time
	loweredAt  time.Time
	hasCeiling bool
}

// setCeiling states the ceiling. The limit starts at the first ceiling.
func (l *limiter) setCeiling(ceiling int) {
	grown := float64(ceiling) > l.ceiling
	l.ceiling = float64(ceiling)
	if !l.hasCeiling || grown {
		l.limit = l.ceiling
		l.hasCeiling = true
	}
	l.limit = min(l.limit, l.ceiling)
}

func (l *limiter) allows(inFlight int) bool {
	return float64(inFlight) < max(l.limit, min(limitFloor, l.ceiling))
}

func (l *limiter) answered(now time.Time, delay time.Duration, inFlight int) {
	if l.mean == 0 {
		l.mean, l.baseline, l.raisedAt = delay, delay, now
		return
	}
	l.mean += time.Duration(delayWeight * float64(delay-l.mean))
	l.raiseBaseline(now)
	if float64(l.mean) > congestedFactor*float64(l.baseline) {
		l.lower(now)
		return
	}
	if float64(inFlight) >= 0.8*l.limit {
		l.limit = min(l.limit+1/max(l.limit, 1), l.ceiling)
	}
}

func (l *limiter) raiseBaseline(now time.Time) {
	elapsed := now.Sub(l.raisedAt)
	l.raisedAt = now
	l.baseline += time.Duration(baselineGrowth * elapsed.Seconds() * float64(l.baseline))
	l.baseline = min(l.baseline, l.mean)
}

func (l *limiter) lower(now time.Time) {
	if now.Sub(l.loweredAt) < l.mean {
		return
	}
	l.loweredAt = now
	l.limit = max(l.limit*limitDecrease, limitFloor)
}
