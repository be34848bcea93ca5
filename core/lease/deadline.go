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
	bootTime  time.Duration // reading of the boot clock at readAt
	remaining time.Duration
}

// DeadlineIn returns the deadline of a lease that ends after remaining. now must be a new reading of
// the clocks: the wall clock may have been set since an older one.
func DeadlineIn(now time.Time, remaining time.Duration) Deadline {
	return Deadline{readAt: now, remaining: remaining}
}

// OnBootClock returns the deadline with a reading of the clock that counts suspensions and is never set,
// made right after that of DeadlineIn.
func (d Deadline) OnBootClock(reading time.Duration) Deadline {
	d.bootTime = reading
	return d
}

// Passed reports whether the deadline has passed on the monotonic or the wall clock. It does not notice
// a suspension if the wall clock was set back by as much.
func (d Deadline) Passed(now time.Time) bool { return Elapsed(d.readAt, now) >= d.remaining }

// PassedOnBootClock reports whether a deadline from OnBootClock has passed.
func (d Deadline) PassedOnBootClock(reading time.Duration) bool {
	return reading-d.bootTime >= d.remaining
}

// Left returns the time until a deadline from OnBootClock passes, by the clock on which it passes first. It
// is 0 or less once the deadline has passed.
func (d Deadline) Left(now time.Time, boot time.Duration) time.Duration {
	return d.remaining - max(Elapsed(d.readAt, now), boot-d.bootTime)
}
