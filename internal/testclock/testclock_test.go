package testclock

import (
	"testing"
	"time"
)

// Guards against a layout of time.Time other than the one that StepWall assumes.
func TestStepWall(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -3 * time.Second} {
		before := At(time.Unix(1_700_000_000, 0))
		after := StepWall(before, step)
		if monotonic := after.Sub(before); monotonic != 0 {
			t.Errorf("the monotonic clock moved by %v, want 0", monotonic)
		}
		if wall := after.Round(0).Sub(before.Round(0)); wall != step {
			t.Errorf("the wall clock moved by %v, want %v", wall, step)
		}
	}
}
