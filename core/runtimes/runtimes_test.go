package runtimes_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/runtimes"
	_ "github.com/godwitlink/godwitlink/internal/rapidseed"
	"pgregory.net/rapid"
)

func within(t *testing.T, what string, got, want, share float64) {
	t.Helper()
	if math.Abs(got-want) > share*want {
		t.Errorf("%s is %.3f, want %.3f within %.0f %%", what, got, want, 100*share)
	}
}

// A group whose declared run times are right must expect them exactly: a cell without errors must
// decide as it would without learning.
func TestRightRunTimesAreExpectedAsDeclared(t *testing.T) {
	group := runtimes.Group{}
	for range 2000 {
		siblings := runtimes.Siblings{}
		for range 3 {
			group.Add(siblings.Observe(time.Second, time.Second))
		}
		if ratio := group.Ratio(&siblings); ratio != 1 {
			t.Fatalf("ratio %v, want 1", ratio)
		}
	}
	if tail := group.Tail(3); tail > 1.2 {
		t.Errorf("tail %v", tail)
	}
}

// The expected ratio must follow the true one where the run times are systematically wrong, and again
// after it has changed.
func TestExpectationFollowsAChange(t *testing.T) {
	group := runtimes.Group{}
	for _, ratio := range []float64{2, 0.5} {
		for range 3000 {
			siblings := runtimes.Siblings{}
			group.Add(siblings.Observe(runtimes.Scale(time.Second, ratio), time.Second))
		}
		within(t, "ratio", group.Ratio(&runtimes.Siblings{}), ratio, 0.1)
	}
}

// The ended tasks of a step must outweigh the mean of the group if the error is that of the step, and
// must not if it is that of each task.
func TestSiblingsCountByTheSpreadOfTheGroup(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	trueTime := func() time.Duration {
		return runtimes.Scale(time.Second, 1/(0.1+1.8*rng.Float64()))
	}
	learn := func(perStep bool) float64 {
		group := runtimes.Group{}
		for range 300 {
			siblings := runtimes.Siblings{}
			takes := trueTime()
			for range 6 {
				if !perStep {
					takes = trueTime()
				}
				group.Add(siblings.Observe(takes, time.Second))
			}
		}
		siblings := runtimes.Siblings{}
		for range 3 {
			siblings.Observe(4*time.Second, time.Second)
		}
		return group.Ratio(&siblings)
	}
	within(t, "ratio with one error for each step", learn(true), 4, 0.1)
	if ratio := learn(false); ratio > 2.5 {
		t.Errorf("ratio with one error for each task is %.2f, but its siblings say little", ratio)
	}
}

// The tail must include the tasks that take several times as long, or they would be given up each time
// they run. It must not include the rarest ones.
func TestTailIncludesLongTasks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	group := runtimes.Group{}
	if tail := group.Tail(3); tail != 3 {
		t.Errorf("tail %v of nothing, want 3", tail)
	}
	for range 2000 {
		ratio := 1.0
		if rng.Float64() < 0.03 {
			ratio = 1 + 6*rng.Float64()
		}
		siblings := runtimes.Siblings{}
		group.Add(siblings.Observe(runtimes.Scale(time.Second, ratio), time.Second))
	}
	if tail := group.Tail(3); tail < 3 || tail > 7.7 {
		t.Errorf("tail %v", tail)
	}
}

// A replica that takes over must know the same as the one before, and the memory must stay bounded
// whatever is observed.
func TestHistogramIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := runtimes.Histogram{}
		for _, b := range rapid.SliceOfN(rapid.IntRange(-20, 20), 0, 2000).Draw(t, "buckets") {
			h.Add(runtimes.Bucket(b))
		}
		if h.Total() > 600 {
			t.Fatalf("%d ratios count", h.Total())
		}
		restored := runtimes.HistogramOf(h.Counts())
		if restored.Total() != h.Total() || restored.Quantile(0.99) != h.Quantile(0.99) || restored.LogVariance() != h.LogVariance() {
			t.Fatalf("restored %+v, want %+v", restored, h)
		}
	})
}

// The speed of a worker must be known after a few runs, must not follow the spread of the tasks, and
// must follow a worker that becomes slow.
func TestSpeedIsLearned(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	speed := runtimes.Speed{}
	if speed.Value() != 1 {
		t.Errorf("speed %v of an unknown worker", speed.Value())
	}
	observe := func(trueSpeed float64, runs int) {
		for range runs {
			speed.Observe(trueSpeed*math.Exp(0.2*rng.NormFloat64()), 0.04)
		}
	}
	observe(1.25, 20)
	within(t, "speed of a fast worker", speed.Value(), 1.25, 0.12)
	observe(0.6, 40)
	within(t, "speed after it became slow", speed.Value(), 0.6, 0.15)
}

// The memory must stay bounded with any number of keys, and a key in use must stay.
func TestRecentDropsUnusedKeys(t *testing.T) {
	recent := runtimes.NewRecent[int, int](10)
	for i := range 1000 {
		*recent.FindOrAdd(-1)++
		*recent.FindOrAdd(i) = i
	}
	if kept := recent.Find(-1); kept == nil || *kept != 1000 {
		t.Errorf("the key in use is %v", kept)
	}
	known := 0
	for i := range 1000 {
		if recent.Find(i) != nil {
			known++
		}
	}
	if known > 20 {
		t.Errorf("%d keys are kept", known)
	}
}

// A damaged snapshot must not let a count overflow.
func TestRestoredHistogramIsBounded(t *testing.T) {
	counts := make([]uint16, 100)
	for i := range counts {
		counts[i] = math.MaxUint16
	}
	h := runtimes.HistogramOf(-20, counts)
	if h.Total() > 600 {
		t.Fatalf("%d ratios count", h.Total())
	}
	for range 2000 {
		h.Add(0)
		if h.Total() > 600 {
			t.Fatalf("%d ratios count", h.Total())
		}
	}
}
