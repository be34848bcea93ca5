package lease

import "time"

// Terms are the conditions of a lease, from the cell file.
type Terms struct {
	Duration   time.Duration
	StopMargin time.Duration // time that the holder needs to stop its tasks
	DriftPPM   int64         // bound on the rate error of any clock, parts per million
}

// partsPerMillion is the scale of DriftPPM.
const partsPerMillion = 1_000_000

// allowance is the time by which a clock within the bound may be off after the
// duration of the lease.
func (t Terms) allowance() time.Duration {
	whole := t.Duration / partsPerMillion * time.Duration(t.DriftPPM)
	rest := t.Duration % partsPerMillion * time.Duration(t.DriftPPM) / partsPerMillion
	return whole + rest
}

// HolderDuration is how long after sending a renewal the holder may run tasks.
func (t Terms) HolderDuration() time.Duration {
	return t.Duration - t.allowance() - t.StopMargin
}

// GranterDuration is how long after answering a renewal the granter must wait.
func (t Terms) GranterDuration() time.Duration {
	return t.Duration + t.allowance()
}
