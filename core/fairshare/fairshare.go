// Package fairshare compares what teams use of shared resources by weighted dominant resource fairness
// (Ghodsi et al., NSDI 2011). The models of single tasks (core/placement) and of jobs with steps
// (core/dispatch) order their teams by it.
package fairshare

// Part is the used part of one resource.
type Part struct{ Used, Total int64 }

// DominantShare returns the largest used part of any resource, or 0 if nothing is used. Resources without
// a total are ignored.
func DominantShare(parts ...Part) float64 {
	share := 0.0
	for _, p := range parts {
		if p.Total > 0 {
			share = max(share, float64(p.Used)/float64(p.Total))
		}
	}
	return share
}

// minWeight replaces a weight of 0. Such a team may use only what other teams leave.
const minWeight = 1e-6

// Ratio returns the dominant share of a team for its weight. Of two teams, the one of the lower ratio goes
// first.
func Ratio(dominantShare, weight float64) float64 { return dominantShare / max(weight, minWeight) }
