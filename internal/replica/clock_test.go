package replica

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// Guards against a leader that considers its lease valid after its VM was suspended, because the
// monotonic clock did not advance during the suspension.
func TestMonotonicStalled(t *testing.T) {
	cases := map[string]struct {
		monotonic, wall, boot time.Duration
		want                  bool
	}{
		"running":                     {100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond, false},
		"suspended":                   {time.Millisecond, time.Second, time.Second, true},
		"suspended and wall set back": {time.Millisecond, time.Millisecond, time.Second, true},
		"wall set back":               {100 * time.Millisecond, -time.Hour, 100 * time.Millisecond, false},
		"small correction":            {100 * time.Millisecond, 110 * time.Millisecond, 100 * time.Millisecond, false},
		"wall set forwards":           {100 * time.Millisecond, time.Hour, 100 * time.Millisecond, true},
	}
	for name, c := range cases {
		if got := monotonicStalled(c.monotonic, c.wall, c.boot); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a published leader lease that outlasts a suspension, or that is never valid again
// after the wall clock was set.
func TestPublishedLeaseEndsOnEitherClock(t *testing.T) {
	start := testclock.At(time.Unix(1_700_000_000, 0))
	for name, step := range map[string]time.Duration{"not set": 0, "set forward": time.Hour, "set back": -time.Hour} {
		now := testclock.StepWall(start.Add(10*time.Second), step)
		replica := &task{leader: &leaderState{}, status: replog.Status{LeaseEnd: start.Add(10400 * time.Millisecond)}}
		replica.workFeed.updates = make(chan WorkUpdate)
		replica.clock.lastBoot = time.Hour
		replica.publishLeaseEnd(now)
		published := replica.workFeed.pending[0].LeaseEnd
		if published.Passed(now.Add(399 * time.Millisecond)) {
			t.Errorf("wall clock %s: the lease has ended 1 ms too early", name)
		}
		if !published.Passed(now.Add(400 * time.Millisecond)) {
			t.Errorf("wall clock %s: the lease has not ended", name)
		}
		if !published.Passed(testclock.StepWall(now, 400*time.Millisecond)) {
			t.Errorf("wall clock %s: the lease outlasts a suspension", name)
		}
		if published.PassedOnBootClock(time.Hour) || !published.PassedOnBootClock(time.Hour+400*time.Millisecond) {
			t.Errorf("wall clock %s: the lease does not end after 400 ms of the boot clock", name)
		}
	}
}
