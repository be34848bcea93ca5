package replica

import "time"

// jumpTolerance is how far the wall clock may run ahead of the monotonic clock
// between two turns. A larger step ends the leader lease, which costs one
// heartbeat; it is short against the minimum election timeout.
const jumpTolerance = 20 * time.Millisecond

// clockJumpDetector detects that the monotonic clock stood still, as it may while a VM
// is suspended: the wall clock is ahead then. A wall clock that is set forward
// looks the same, which is harmless.
type clockJumpDetector struct {
	last time.Time
}

// jumped reports whether the clock may have stood still since the last call.
func (d *clockJumpDetector) jumped(now time.Time) bool {
	last := d.last
	d.last = now
	return !last.IsZero() && monotonicStalled(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

func monotonicStalled(monotonic, wall time.Duration) bool { return wall-monotonic > jumpTolerance }
