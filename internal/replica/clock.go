package replica

import "time"

// jumpTolerance is how far another clock may run ahead of the monotonic clock between two
// iterations of the task. A larger difference ends the leader lease, which costs one heartbeat.
// The value is small compared with the minimum election timeout.
const jumpTolerance = 20 * time.Millisecond

// clockJumpDetector detects that the monotonic clock stopped, which can happen while a VM is
// suspended: the boot clock and the wall clock are then ahead of it. The wall clock may have been set
// back meanwhile. One that is set forward ends the lease without need, which is harmless.
type clockJumpDetector struct {
	last     time.Time
	lastBoot time.Duration // reading of the boot clock at last
}

// jumped reports whether the monotonic clock may have stopped since the last call. boot is a reading of
// the boot clock right after now.
func (d *clockJumpDetector) jumped(now time.Time, boot time.Duration) bool {
	last, lastBoot := d.last, d.lastBoot
	d.last, d.lastBoot = now, boot
	return !last.IsZero() && monotonicStalled(now.Sub(last), now.Round(0).Sub(last.Round(0)), boot-lastBoot)
}

func monotonicStalled(monotonic, wall, boot time.Duration) bool {
	return max(wall, boot)-monotonic > jumpTolerance
}
