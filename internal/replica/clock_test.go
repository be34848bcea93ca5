package replica

import (
	"testing"
	"time"
)

// Guards against a leader that considers its lease valid after its VM was suspended, because the
// monotonic clock did not advance during the suspension.
func TestMonotonicStalled(t *testing.T) {
	cases := map[string]struct {
		monotonic, wall time.Duration
		want            bool
	}{
		"running":           {100 * time.Millisecond, 100 * time.Millisecond, false},
		"suspended":         {time.Millisecond, time.Second, true},
		"wall set back":     {100 * time.Millisecond, -time.Hour, false},
		"small correction":  {100 * time.Millisecond, 110 * time.Millisecond, false},
		"wall set forwards": {100 * time.Millisecond, time.Hour, true},
	}
	for name, c := range cases {
		if got := monotonicStalled(c.monotonic, c.wall); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
