package callproxy

import "time"

// DefaultThreshold is the number of workers above which call proxies are always used unless the settings
// name another one. Up to 1,100 workers are served well by the leader alone.
const DefaultThreshold = 1200

const (
	// lateThreshold is the number of workers above which call proxies are used while the leader is late.
	// With fewer, the calls are too small a part of the leader's work.
	lateThreshold = 100
	// lateCommitTime is the commit time from which the leader counts as late. A commit across two regions
	// takes 25 to 50 ms. A caller of short work waits for two commits and has some 300 ms in all.
	lateCommitTime = 100 * time.Millisecond
	// promptCommitTime is the commit time below which the leader counts as prompt again.
	promptCommitTime = 60 * time.Millisecond
	// minLatePeriod is the minimum time for which call proxies stay in use. Bursts take some seconds, and
	// each change lets some calls pass the proxies and the leader at the same time.
	minLatePeriod = 10 * time.Second
)

// Delegation decides whether call proxies send the calls to workers. A call through a proxy takes some 10 ms
// longer, so they are used only where the leader cannot send all calls itself: always above a threshold, and
// below it in bursts in which the leader runs out of processor time. It then commits late, callers repeat
// what was not answered, and nobody is served in time.
type Delegation struct {
	always    bool
	late      bool
	keepUntil time.Time
}

// Update returns whether call proxies are to be used. They always are above a threshold of workers.
// commitTime is how long commits take at present.
func (d *Delegation) Update(now time.Time, workers, threshold int, commitTime time.Duration) bool {
	d.always = aboveThreshold(d.always, workers, threshold)
	switch {
	case workers <= lateThreshold:
		d.late = false
	case commitTime >= lateCommitTime:
		d.late, d.keepUntil = true, now.Add(minLatePeriod)
	case commitTime < promptCommitTime && !now.Before(d.keepUntil):
		d.late = false
	}
	return d.always || d.late
}

// aboveThreshold reports whether there are more workers than a threshold. Once there are, that holds until
// their number is a tenth below it.
func aboveThreshold(before bool, workers, threshold int) bool {
	if before {
		return workers > threshold-threshold/10
	}
	return workers > threshold
}
