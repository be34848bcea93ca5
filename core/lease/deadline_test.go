package lease_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// Guards against a lease that outlasts a suspension or a step of the wall clock.
func TestDeadlinePassesOnEitherClock(t *testing.T) {
	start := testclock.At(time.Unix(1_700_000_000, 0))
	deadline := lease.DeadlineIn(start, 400*time.Millisecond)
	cases := map[string]struct {
		elapsed, wallStep time.Duration
		want              bool
	}{
		"before the end":              {399 * time.Millisecond, 0, false},
		"at the end":                  {400 * time.Millisecond, 0, true},
		"suspended past the end":      {time.Millisecond, 399 * time.Millisecond, true},
		"suspended within":            {time.Millisecond, 398 * time.Millisecond, false},
		"wall clock set forward":      {time.Millisecond, time.Hour, true},
		"wall clock set back, before": {399 * time.Millisecond, -time.Hour, false},
		"wall clock set back, after":  {400 * time.Millisecond, -time.Hour, true},
	}
	for name, c := range cases {
		now := testclock.StepWall(start.Add(c.elapsed), c.wallStep)
		if got := deadline.Passed(now); got != c.want {
			t.Errorf("%s: passed %v, want %v", name, got, c.want)
		}
	}
	onBootClock := deadline.OnBootClock(time.Hour)
	if onBootClock.PassedOnBootClock(time.Hour+399*time.Millisecond) || !onBootClock.PassedOnBootClock(time.Hour+400*time.Millisecond) {
		t.Error("the deadline does not pass after 400 ms of the boot clock")
	}
	if left := onBootClock.Left(start.Add(100*time.Millisecond), time.Hour+250*time.Millisecond); left != 150*time.Millisecond {
		t.Errorf("%v left, want 150 ms by the boot clock", left)
	}
	if !(lease.Deadline{}).Passed(start) {
		t.Error("the zero deadline has not passed")
	}
}
