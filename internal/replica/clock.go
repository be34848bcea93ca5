package replica

import "time"

// jumpTolerance is how far the wall clock may run ahead of the monotonic clock between two
// iterations of the task. A larger difference ends the leader lease, which costs one heartbeat.
// The value is small compared with the minimum election timeout.
const jumpTolerance = 20 * time.Millisecond

// clockJumpDetector detects that the monotonic clock stopped, which can happen while a VM is
// suspended: the wall clock is then ahead of it. A wall clock that is set forward looks the same
// and ends the lease without need, which is harmless.
type clockJumpDetector struct {
	last time.Time
}

// jumped reports whether the monotonic clock may have stopped since the last call.
func (d *clockJumpDetector) jumped(now time.Time) bool {
	last := d.last
	d.last = now
	return !last.IsZero() && monotonicStalled(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

func monotonicStalled(monotonic, wall time.Duration) bool { return wall-monotonic > jumpTolerance }
