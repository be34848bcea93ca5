package cell

import "testing"

// Guards against a dimension that is left out of a comparison: a task that
// exceeds a worker in one dimension only must not fit.
func TestFitsChecksEveryDimension(t *testing.T) {
	capacity := Resources{MilliCPU: 1000, MemoryBytes: 1000, Accelerators: 1}
	cases := map[string]struct {
		size Resources
		want bool
	}{
		"equal":            {capacity, true},
		"cpu over":         {Resources{MilliCPU: 1001}, false},
		"memory over":      {Resources{MemoryBytes: 1001}, false},
		"accelerator over": {Resources{Accelerators: 2}, false},
	}
	for name, c := range cases {
		if got := c.size.Fits(capacity); got != c.want {
			t.Errorf("%s: Fits = %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a dominant share that ignores the scarcest dimension, which
// would let a memory-heavy team exceed its share.
func TestDominantShareTakesLargest(t *testing.T) {
	total := Resources{MilliCPU: 100, MemoryBytes: 100}
	got := Resources{MilliCPU: 10, MemoryBytes: 60, Accelerators: 5}.DominantShare(total)
	if got != 0.6 {
		t.Errorf("DominantShare = %v, want 0.6", got)
	}
}
