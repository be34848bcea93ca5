package lease

import "time"

// Elapsed returns the time between two readings of this process's clocks, by the clock that has
// advanced more: a stopped or stepped clock can only make the result too large.
func Elapsed(from, to time.Time) time.Duration {
	return ClockReading{Monotonic: to.Sub(from), Wall: to}.since(ClockReading{Wall: from})
}

// Deadline is the end of a lease for a task that may read the clocks later than the task that
// determined the end. The zero value has passed.
type Deadline struct {
	readAt    time.Time
	remaining time.Duration
}

// DeadlineIn returns the deadline of a lease that ends after remaining. now must be a new reading of
// the clocks: the wall clock may have been set since an older one.
func DeadlineIn(now time.Time, remaining time.Duration) Deadline {
	return Deadline{readAt: now, remaining: remaining}
}

// Passed reports whether the deadline has passed on either clock.
func (d Deadline) Passed(now time.Time) bool { return Elapsed(d.readAt, now) >= d.remaining }
