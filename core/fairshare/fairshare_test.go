package fairshare

import "testing"

// Guards against a team that is ordered by a resource that it hardly uses, and against a weight of 0 that
// makes ratios infinite, so that such teams could not be told apart.
func TestRatioOfTeams(t *testing.T) {
	share := DominantShare(Part{Used: 10, Total: 100}, Part{Used: 60, Total: 100}, Part{Used: 5, Total: 0})
	if share != 0.6 {
		t.Errorf("dominant share %v, want 0.6", share)
	}
	if Ratio(share, 3) >= Ratio(share, 2) || Ratio(share, 0) <= Ratio(0.5, 0) || Ratio(1, 0) > 1e7 {
		t.Errorf("ratios %v, %v, %v, %v", Ratio(share, 3), Ratio(share, 2), Ratio(share, 0), Ratio(1, 0))
	}
}
