package dispatch

import (
	"testing"
	"time"
)

// sampleWorker returns the estimate of a worker after answered calls.
func sampleWorker(samples ...time.Duration) roundTrip {
	r := newWorkerRoundTrip()
	for _, s := range samples {
		r.answered(s)
	}
	return r
}

func repeated(sample time.Duration, count int) []time.Duration {
	all := make([]time.Duration, count)
	for i := range all {
		all[i] = sample
	}
	return all
}

// A timeout that does not follow from the answers is long beside a fast worker and short beside a slow one.
func TestCallTimeoutFollowsTheAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		samples  []time.Duration
		min, max time.Duration
	}{
		"no answer yet":        {nil, initialCallTimeout, initialCallTimeout},
		"fast":                 {repeated(2*time.Millisecond, 20), minCallTimeout, minCallTimeout},
		"busy":                 {repeated(100*time.Millisecond, 20), 100 * time.Millisecond, 120 * time.Millisecond},
		"slower than expected": {append(repeated(16*time.Millisecond, 20), 200*time.Millisecond), 200 * time.Millisecond, 300 * time.Millisecond},
		"fast again":           {append(repeated(200*time.Millisecond, 20), repeated(10*time.Millisecond, 40)...), minCallTimeout, 80 * time.Millisecond},
		"beyond the limit":     {repeated(2*time.Second, 5), maxCallTimeout, maxCallTimeout},
	} {
		if got := callTimeout(sampleWorker(c.samples...), newFleetRoundTrip()); got < c.min || got > c.max {
			t.Errorf("%s: timeout %v, want %v to %v", name, got, c.min, c.max)
		}
	}
}

// Without a back-off, a worker that has become slower than its timeout is never heard again. With one that is
// not ended by an answer, each lost call prolongs all later ones.
func TestCallTimeoutBacksOffUntilAnAnswer(t *testing.T) {
	r, fleet := sampleWorker(repeated(16*time.Millisecond, 20)...), newFleetRoundTrip()
	first, now := callTimeout(r, fleet), time.Unix(1, 0)
	last := first
	for range 3 * timeoutsPerDoubling * maxDoublings {
		r.timedOut(now, now)
		next := callTimeout(r, fleet)
		if next < last || next > 2*last {
			t.Fatalf("timeout %v after one of %v, want it to grow by a factor of 2 at most", next, last)
		}
		last = next
	}
	if last != maxCallTimeout {
		t.Errorf("timeout of a silent worker %v, want %v", last, maxCallTimeout)
	}
	r.answered(16 * time.Millisecond)
	if got := callTimeout(r, fleet); got > first {
		t.Errorf("timeout %v after an answer, want %v at most", got, first)
	}
}

// Where the leader is short of processor time, timeouts must grow for all workers, also for those that have
// just been answered in time. With constants of 45 to 60 ms most answers of 350 workers came too late.
func TestCallTimeoutGrowsWhereTheLeaderIsLate(t *testing.T) {
	worker := sampleWorker(repeated(16*time.Millisecond, 20)...)
	late := newFleetRoundTrip()
	for range 200 {
		late.answered(16 * time.Millisecond)
	}
	before := callTimeout(worker, late)
	for range 40 {
		late.noticedLate(100 * time.Millisecond)
	}
	if got := callTimeout(worker, late); got < 2*before {
		t.Errorf("timeout %v after 40 timeouts that were noticed 100 ms late, want twice %v", got, before)
	}
	answers := newFleetRoundTrip()
	for range 200 {
		answers.answered(150 * time.Millisecond)
	}
	if got := callTimeout(worker, answers); got < 150*time.Millisecond {
		t.Errorf("timeout %v while answers of all workers take 150 ms", got)
	}
}

// Where most calls are lost and the leader is not late, timeouts must stay short, because the time until an
// answer consists of them (issue 12).
func TestCallTimeoutStaysShortWhereCallsAreLost(t *testing.T) {
	worker, fleet, now := newWorkerRoundTrip(), newFleetRoundTrip(), time.Unix(1, 0)
	for i := range 1000 {
		if i%5 < 3 {
			worker.timedOut(now, now)
			fleet.noticedLate(time.Millisecond)
			continue
		}
		worker.answered(16 * time.Millisecond)
		fleet.answered(16 * time.Millisecond)
	}
	if got := callTimeout(worker, fleet); got > 2*minCallTimeout {
		t.Errorf("timeout %v while three of five calls are lost, want %v at most", got, 2*minCallTimeout)
	}
}

// A burst of starts that are lost together must not count as a worker that has been silent for long.
func TestCallsLostTogetherCountAsOneTimeout(t *testing.T) {
	r, sent := sampleWorker(repeated(16*time.Millisecond, 20)...), time.Unix(1, 0)
	before := callTimeout(r, newFleetRoundTrip())
	for i := range 10 {
		r.timedOut(sent, sent.Add(before+time.Duration(i)))
	}
	if got := callTimeout(r, newFleetRoundTrip()); got != before {
		t.Errorf("timeout %v after calls that were lost at the same time, want %v", got, before)
	}
}
