package cell

import "testing"

// A task that exceeds a worker in only one dimension must not fit.
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

// The dominant share must be that of the scarcest dimension. Otherwise a team with a high memory demand
// could exceed its share.
func TestDominantShareTakesLargest(t *testing.T) {
	total := Resources{MilliCPU: 100, MemoryBytes: 100}
	got := Resources{MilliCPU: 10, MemoryBytes: 60, Accelerators: 5}.DominantShare(total)
	if got != 0.6 {
		t.Errorf("DominantShare = %v, want 0.6", got)
	}
}
