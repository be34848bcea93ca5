package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
)

const (
	// slowDiskDelay is how much longer than the disks of a quorum of other replicas the leader's
	// disk may take before leadership is transferred to a follower with a faster disk.
	slowDiskDelay = 500 * time.Millisecond
	// slowDiskFactor adds a multiple of the time that the other replicas took. If all disks take
	// 200 to 600 ms, a single sync often exceeds slowDiskDelay.
	slowDiskFactor = 2
)

// Reasons of a leadership transfer, in logs and metrics.
const (
	transferPlannedStop = "planned-stop"
	transferFullDisk    = "disk-full"
	transferSlowDisk    = "disk-slow"
)

// considerTransfer transfers leadership if this replica stops, or if its disk delays commands that
// other replicas have already stored.
func (t *task) considerTransfer(now time.Time) {
	t.disk.markCommitted(now, t.status.Commit)
	switch {
	case t.status.Role != replog.RoleLeader || t.status.Transferring:
	case t.stopping != nil:
		t.transferLeadership(now, transferPlannedStop, 0)
	case t.status.Commit < t.disk.firstUnsyncedIndex():
		// The remaining working disks form no quorum either. No other replica could be elected,
		// and a transfer would interrupt reads as well.
	case t.disk.full:
		t.transferLeadership(now, transferFullDisk, t.disk.firstUnsyncedIndex())
	case !t.disk.slowDeadline().IsZero() && !now.Before(t.disk.slowDeadline()):
		t.transferLeadership(now, transferSlowDisk, t.disk.firstUnsyncedIndex())
	}
}

// transferLeadership transfers leadership to the follower with the longest log, provided that it
// has stored at least the entry with index least. The transfer is started again if no follower
// becomes leader.
func (t *task) transferLeadership(now time.Time, reason string, least uint64) {
	var best replog.FollowerStatus
	for _, follower := range t.status.Followers {
		alive := now.Sub(follower.AnsweredAt) < t.opts.ElectionTimeoutMin
		if alive && !follower.Learner && follower.Match >= max(best.Match, least) {
			best = follower
		}
	}
	if best.ID == 0 {
		return
	}
	if err := t.core.TransferLeadership(now, best.ID); err == nil {
		t.opts.Metrics.Add(metricTransfers, reason, 1)
		t.opts.Logger.Log(eventLeadershipTransfer, zap.Uint64("to", uint64(best.ID)), zap.String("reason", reason),
			zap.Uint64("match", best.Match), zap.Duration("answered_ago", now.Sub(best.AnsweredAt)))
	}
}

// firstUnsyncedIndex returns the index of the last entry of the oldest append with entries that is
// not synced, or 0 if there is none.
func (d *diskQueue) firstUnsyncedIndex() uint64 {
	for _, unsynced := range d.unsynced {
		if n := len(unsynced.request.Entries); n > 0 {
			return unsynced.request.Entries[n-1].Index
		}
	}
	return 0
}

// markCommitted records when other replicas have committed an append without this disk.
func (d *diskQueue) markCommitted(now time.Time, commit uint64) {
	for i := range d.unsynced {
		unsynced := &d.unsynced[i]
		if n := len(unsynced.request.Entries); n > 0 && unsynced.request.Entries[n-1].Index > commit {
			return
		}
		if unsynced.committedAt.IsZero() {
			unsynced.committedAt = now
		}
	}
}

// slowDeadline returns when the sync of the oldest append counts as too slow, or zero. The time
// counts from the commit of the append or, if later, from the completion of the append before it.
// It allows for the time that the other replicas took, because no follower would be faster if all
// disks are slow.
func (d *diskQueue) slowDeadline() time.Time {
	if len(d.unsynced) == 0 || d.unsynced[0].committedAt.IsZero() {
		return time.Time{}
	}
	first := d.unsynced[0]
	start := first.committedAt
	if d.lastSyncAt.After(start) {
		start = d.lastSyncAt
	}
	return start.Add(slowDiskDelay + slowDiskFactor*first.committedAt.Sub(first.submittedAt))
}
