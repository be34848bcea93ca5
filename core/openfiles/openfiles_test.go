package openfiles

import "testing"

// Guards against a division that exceeds the limit, leaves a use without sockets, or hands the
// descriptors of the log to connections.
func TestDivisionStaysWithinTheLimit(t *testing.T) {
	for limit := MinLimit; limit < 5_000; limit++ {
		d, err := Divide(limit)
		if err != nil {
			t.Fatal(err)
		}
		total := d.Shared
		for use := range UseCount {
			if d.Reserved[use] < minReserved {
				t.Fatalf("limit %d: %d sockets for %s", limit, d.Reserved[use], use)
			}
			total += d.Reserved[use]
		}
		if d.Shared < 0 || total != limit-FilesAndListeners {
			t.Fatalf("limit %d: %+v", limit, d)
		}
	}
}

func TestTooFewDescriptorsAreRejected(t *testing.T) {
	if d, err := Divide(MinLimit - 1); err == nil {
		t.Errorf("divided %d descriptors: %+v", MinLimit-1, d)
	}
}
