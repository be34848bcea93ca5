package lease

import "time"

// Terms are the parameters of a lease, from the cell file.
type Terms struct {
	Duration   time.Duration
	StopMargin time.Duration // time the holder needs to stop its tasks
	DriftPPM   int64         // maximum rate error of any clock, parts per million
}

// partsPerMillion is the scale of DriftPPM.
const partsPerMillion = 1_000_000

// driftAllowance returns the largest error of a clock within the drift bound over the duration of
// the lease.
func (t Terms) driftAllowance() time.Duration {
	whole := t.Duration / partsPerMillion * time.Duration(t.DriftPPM)
	rest := t.Duration % partsPerMillion * time.Duration(t.DriftPPM) / partsPerMillion
	return whole + rest
}

// HolderDuration returns how long the holder may run tasks after it sent a renewal.
func (t Terms) HolderDuration() time.Duration {
	return t.Duration - t.driftAllowance() - t.StopMargin
}

// GranterDuration returns how long the granter must wait after it responded to a renewal.
func (t Terms) GranterDuration() time.Duration {
	return t.Duration + t.driftAllowance()
}
