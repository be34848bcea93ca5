package callproxy

import (
	"testing"
	"time"
)

// Guards against a deployment below the threshold that is served in another way than before, and against
// frequent changes near the threshold.
func TestThreshold(t *testing.T) {
	for _, c := range []struct {
		before  bool
		workers int
		want    bool
	}{{false, 1100, false}, {false, DefaultThreshold, false}, {false, DefaultThreshold + 1, true}, {true, 1100, true}, {true, 1080, false}} {
		d := Delegation{always: c.before}
		if got := d.Update(time.Unix(0, 0), c.workers, DefaultThreshold, 0); got != c.want {
			t.Errorf("%d workers, before %v: %v, want %v", c.workers, c.before, got, c.want)
		}
	}
}

// Guards against a leader that sends all calls itself while it is too late for its callers, and against one
// that changes back and forth during a burst.
func TestProxiesAreUsedWhileTheLeaderIsLate(t *testing.T) {
	d := Delegation{}
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		after   time.Duration
		workers int
		commit  time.Duration
		want    bool
	}{
		{0, 350, 50 * time.Millisecond, false},
		{time.Second, 350, 99 * time.Millisecond, false},
		{2 * time.Second, 350, 120 * time.Millisecond, true},
		{3 * time.Second, 350, 30 * time.Millisecond, true},
		{8 * time.Second, 350, 200 * time.Millisecond, true},
		{17 * time.Second, 350, 30 * time.Millisecond, true},
		{18 * time.Second, 350, 80 * time.Millisecond, true},
		{19 * time.Second, 350, 30 * time.Millisecond, false},
		{20 * time.Second, 48, time.Second, false},
	} {
		if got := d.Update(start.Add(c.after), c.workers, DefaultThreshold, c.commit); got != c.want {
			t.Errorf("after %v with %d workers and commits of %v: %v, want %v", c.after, c.workers, c.commit, got, c.want)
		}
	}
}
