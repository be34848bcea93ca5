package gateway

import (
	"sync/atomic"
	"time"
)

// suspendSlack is how far the wall clock may run ahead of the monotonic clock
// before the difference counts as time in which the VM was suspended. Smaller
// differences are corrections by time synchronisation.
const suspendSlack = time.Second

// elapsedClock counts the larger of monotonic and wall-clock time, because the
// monotonic clock may stop while a VM is suspended. Only the router task advances
// it; any goroutine may read it.
type elapsedClock struct {
	base      time.Time
	suspended atomic.Int64 // nanoseconds added to the monotonic clock
}

func newElapsedClock() *elapsedClock { return &elapsedClock{base: time.Now()} }

// now returns the time of the clock. Differences between two of its times are
// never shorter than the monotonic difference.
func (c *elapsedClock) now() time.Time {
	return time.Now().Add(time.Duration(c.suspended.Load()))
}

// fromTime converts a time from time.Now. It uses the larger of the ages by both clocks, so
// that a time from before a suspension does not look recent.
func (c *elapsedClock) fromTime(t time.Time) time.Time {
	now := time.Now()
	age := max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
	return c.now().Add(-age)
}

// advance adds the time of a suspension since the last call.
func (c *elapsedClock) advance() {
	now := time.Now()
	c.addSuspension(now.Sub(c.base), now.Round(0).Sub(c.base.Round(0)))
}

// addSuspension adds a suspension, given the time since base by both clocks.
func (c *elapsedClock) addSuspension(monotonic, wall time.Duration) {
	ahead := wall - monotonic
	if ahead > time.Duration(c.suspended.Load())+suspendSlack {
		c.suspended.Store(int64(ahead))
	}
}
