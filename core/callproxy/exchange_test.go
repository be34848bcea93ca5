package callproxy

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/godwitlink/godwitlink/internal/rapidseed"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// simClocks is a process whose clocks run at a rate of its own and may be suspended.
type simClocks struct {
	start     time.Time
	rate      float64
	elapsed   time.Duration // true time
	suspended time.Duration // true time during which the monotonic clock stood still
	wallStep  time.Duration
}

func (s simClocks) read() Clocks {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * s.rate) }
	mono := scale(s.elapsed - s.suspended)
	now := testclock.StepWall(s.start.Add(mono), scale(s.elapsed)-mono+s.wallStep)
	return Clocks{Now: now, Boot: time.Hour + scale(s.elapsed)}
}

// Guards against a call that a proxy sends after the leader's lease has ended (platform rule TWICE), with
// clocks that drift, are suspended or are set, and with messages that are delayed.
func TestDeadlineIsNeverLaterThanTheLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaderRate := rapid.Float64Range(0.99, 1.01).Draw(t, "leader rate")
		proxy := simClocks{start: testclock.At(time.Unix(1_700_000_000, 0)), rate: rapid.Float64Range(0.99, 1.01).Draw(t, "proxy rate")}
		millis := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		leaderAt := func(elapsed time.Duration) time.Duration { return time.Duration(float64(elapsed) * leaderRate) }
		var known *Exchange
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			asked := proxy.read()
			proxy.elapsed += millis("to the leader", 300)
			exchange := Exchange{Asked: asked, Leader: leaderAt(proxy.elapsed)}
			proxy.elapsed += millis("from the leader", 300)
			if known == nil || exchange.Better(*known, proxy.read()) {
				known = &exchange
			}
			until := leaderAt(proxy.elapsed) + millis("lease", 900)
			deadline := known.Deadline(until)
			pause := millis("pause", 900)
			proxy.elapsed += pause
			if rapid.Bool().Draw(t, "suspended") {
				proxy.suspended += pause
			}
			if rapid.Bool().Draw(t, "wall set") {
				proxy.wallStep += time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "step")) * time.Millisecond
			}
			if proxy.read().Permitted(deadline) && leaderAt(proxy.elapsed) >= until {
				t.Fatalf("permitted %v after the end of the lease", leaderAt(proxy.elapsed)-until)
			}
		}
	})
}

// Guards against an exchange that makes nearly all of a lease unusable, so that no call is sent.
func TestMostOfALeaseCanBeUsed(t *testing.T) {
	const roundTrip, lease = 16 * time.Millisecond, 440 * time.Millisecond
	proxy := simClocks{start: testclock.At(time.Unix(1_700_000_000, 0)), rate: 1}
	exchange := Exchange{Asked: proxy.read(), Leader: roundTrip / 2}
	proxy.elapsed = 500 * time.Millisecond // the next exchange is late
	deadline := exchange.Deadline(proxy.elapsed + lease)
	proxy.elapsed += lease - roundTrip - 40*time.Millisecond
	if !proxy.read().Permitted(deadline) {
		t.Error("the permission has ended 56 ms before the lease or earlier")
	}
}

// Guards against a delayed exchange that replaces a good one, and against an old one that is kept for ever
// although the wall clock was set meanwhile.
func TestBetterExchangeIsKept(t *testing.T) {
	proxy := simClocks{start: testclock.At(time.Unix(1_700_000_000, 0)), rate: 1}
	good := Exchange{Asked: proxy.read(), Leader: 5 * time.Millisecond}
	proxy.elapsed = 600 * time.Millisecond
	slow := Exchange{Asked: proxy.read(), Leader: 900 * time.Millisecond}
	proxy.elapsed = time.Second
	if slow.Better(good, proxy.read()) {
		t.Error("an exchange that took 300 ms replaces a recent one")
	}
	proxy.wallStep = time.Minute
	if !slow.Better(good, proxy.read()) && !(Exchange{Asked: proxy.read(), Leader: time.Second}).Better(good, proxy.read()) {
		t.Error("an exchange before the wall clock was set is kept")
	}
}
