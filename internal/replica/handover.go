package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
)

const (
	// slowDiskDelay is for how long the disk of a leader may take longer than those
	// of a quorum of others before it looks for a follower with a faster disk.
	slowDiskDelay = 500 * time.Millisecond
	// slowDiskFactor adds to it what the others took, as a multiple. Where all disks
	// take 200 to 600 ms, one sync is often over slowDiskAfter.
	slowDiskFactor = 2
)

// Reasons of a handover, in logs and metrics.
const (
	handOverStop     = "planned-stop"
	handOverFullDisk = "disk-full"
	handOverSlowDisk = "disk-slow"
)

// considerHandOver offers the leadership to another replica where this one
// stops, or where its disk keeps commands waiting that others have stored.
func (t *task) considerHandOver(now time.Time) {
	t.disk.noteCommitted(now, t.status.Commit)
	switch {
	case t.status.Role != replog.RoleLeader || t.status.Transferring:
	case t.stopping != nil:
		t.handOver(now, handOverStop, 0)
	case t.status.Commit < t.disk.firstUnsyncedIndex():
		// The other disks that work are no quorum either, so nobody else could be
		// elected, and the reads would stop too.
	case t.disk.full:
		t.handOver(now, handOverFullDisk, t.disk.firstUnsyncedIndex())
	case !t.disk.slowDeadline().IsZero() && !now.Before(t.disk.slowDeadline()):
		t.handOver(now, handOverSlowDisk, t.disk.firstUnsyncedIndex())
	}
}

// handOver offers the leadership to the follower whose log is longest, if it
// has stored the entry at least. An offer that nobody took up is made again.
func (t *task) handOver(now time.Time, reason string, least uint64) {
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
		t.opts.Metrics.Add(metricHandOvers, reason, 1)
		t.opts.Logger.Log(eventLeadershipTransfer, zap.Uint64("to", uint64(best.ID)), zap.String("reason", reason),
			zap.Uint64("match", best.Match), zap.Duration("answered_ago", now.Sub(best.AnsweredAt)))
	}
}

// firstUnsyncedIndex is the last entry of the oldest append that is not synced, 0
// where it has none.
func (d *diskQueue) firstUnsyncedIndex() uint64 {
	for _, unsynced := range d.unsynced {
		if n := len(unsynced.request.Entries); n > 0 {
			return unsynced.request.Entries[n-1].Index
		}
	}
	return 0
}

// noteCommitted notes when the other replicas have noteCommitted an append without this
// disk.
func (d *diskQueue) noteCommitted(now time.Time, commit uint64) {
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

// slowDeadline is when the oldest append has waited too long for its sync after its
// commit, or zero. The time in which the disk completed those before it does not
// count, and with disks that are all slow no follower is better off.
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
