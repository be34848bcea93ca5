package replog

// SnapshotPolicy decides when a replica takes a snapshot of its own state. Only a snapshot lets the
// owner remove stored entries, so the log has to be bounded in bytes as well as in entries.
type SnapshotPolicy struct {
	Entries  uint64 // applied entries after which a snapshot is due
	LogBytes int64  // stored size of the log at which a snapshot is due
}

// LogUse describes the stored log of a replica.
type LogUse struct {
	Applied      uint64 // last applied index
	LastSnapshot uint64 // index of the last snapshot
	Bytes        int64  // stored size, including what the last snapshot covers and is not removed yet
	Refused      bool   // the owner cannot store entries until there is more room
}

// Staggered returns the policy with both thresholds raised by the fraction phase/phases. Replicas
// with different phases do not take their first snapshots at the same time.
func (p SnapshotPolicy) Staggered(phase, phases uint64) SnapshotPolicy {
	p.Entries += p.Entries * phase / phases
	p.LogBytes += p.LogBytes * int64(phase) / int64(phases)
	return p
}

// Due reports whether a snapshot should be taken. While entries are refused, any snapshot that
// covers something new is due, because it may be what makes room.
func (p SnapshotPolicy) Due(use LogUse) bool {
	if use.Applied <= use.LastSnapshot {
		return false
	}
	return use.Refused || use.Bytes >= p.LogBytes || use.Applied >= use.LastSnapshot+p.Entries
}
