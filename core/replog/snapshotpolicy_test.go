package replog

import "testing"

// Guards against a log that fills its space before the number of entries makes a snapshot due.
func TestSnapshotPolicy(t *testing.T) {
	policy := SnapshotPolicy{Entries: 100, LogBytes: 1000}
	for name, c := range map[string]struct {
		use  LogUse
		want bool
	}{
		"few small entries":              {LogUse{Applied: 149, LastSnapshot: 50, Bytes: 999}, false},
		"many entries":                   {LogUse{Applied: 150, LastSnapshot: 50, Bytes: 10}, true},
		"few large entries":              {LogUse{Applied: 51, LastSnapshot: 50, Bytes: 1000}, true},
		"large log, nothing new applied": {LogUse{Applied: 50, LastSnapshot: 50, Bytes: 5000}, false},
		"refused":                        {LogUse{Applied: 51, LastSnapshot: 50, Bytes: 10, Refused: true}, true},
		"refused, nothing new applied":   {LogUse{Applied: 50, LastSnapshot: 50, Bytes: 5000, Refused: true}, false},
	} {
		if got := policy.Due(c.use); got != c.want {
			t.Errorf("%s: due %v, want %v", name, got, c.want)
		}
	}
}

// Guards against replicas that copy their state at the same time.
func TestStaggeredPolicy(t *testing.T) {
	got := SnapshotPolicy{Entries: 100, LogBytes: 1000}.Staggered(2, 5)
	if want := (SnapshotPolicy{Entries: 140, LogBytes: 1400}); got != want {
		t.Errorf("staggered policy %+v, want %+v", got, want)
	}
}
