package replica

import "time"

// jumpSlack is how far the wall clock may run ahead of the monotonic clock
// between two turns. A larger step ends the leader lease, which costs one
// heartbeat; it is short against the minimum election timeout.
const jumpSlack = 20 * time.Millisecond

// clockWatch detects that the monotonic clock stood still, as it may while a VM
// is suspended: the wall clock is ahead then. A wall clock that is set forward
// looks the same, which is harmless.
type clockWatch struct {
	last time.Time
}

// jumped reports whether the clock may have stood still since the last call.
func (w *clockWatch) jumped(now time.Time) bool {
	last := w.last
	w.last = now
	return !last.IsZero() && stoodStill(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

func stoodStill(monotonic, wall time.Duration) bool { return wall-monotonic > jumpSlack }
