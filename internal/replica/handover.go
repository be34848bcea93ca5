package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
)

// slowDiskAfter is for how long the disk of a leader may complete no append that
// waits before it looks for a follower with a faster disk. A disk that takes 9 ms
// for a sync stays below it at thirty times that.
const slowDiskAfter = 500 * time.Millisecond

// Reasons of a handover, in logs and metrics.
const (
	handOverStop     = "planned-stop"
	handOverFullDisk = "disk-full"
	handOverSlowDisk = "disk-slow"
)

// considerHandOver offers the leadership to another replica where this one
// stops, or where its disk keeps commands waiting that others have stored.
func (t *task) considerHandOver(now time.Time) {
	switch {
	case t.status.Role != replog.RoleLeader || t.status.Transferring:
	case t.stopping != nil:
		t.handOver(now, handOverStop, 0)
	case t.status.Commit < t.disk.firstUnsynced():
		// The other disks that work are no quorum either, so nobody else could be
		// elected, and the reads would stop too.
	case t.disk.full:
		t.handOver(now, handOverFullDisk, t.disk.firstUnsynced())
	case !t.disk.slowAt().IsZero() && !now.Before(t.disk.slowAt()):
		t.handOver(now, handOverSlowDisk, t.disk.firstUnsynced())
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
		t.opts.Logger.Log(eventTransfer, zap.Uint64("to", uint64(best.ID)), zap.String("reason", reason),
			zap.Uint64("match", best.Match), zap.Duration("answered_ago", now.Sub(best.AnsweredAt)))
	}
}

// firstUnsynced is the last entry of the oldest append that is not synced, 0
// where it has none.
func (d *diskQueue) firstUnsynced() uint64 {
	for _, waiting := range d.unsynced {
		if n := len(waiting.request.Entries); n > 0 {
			return waiting.request.Entries[n-1].Index
		}
	}
	return 0
}

// slowAt is when the oldest append has waited too long for its sync, or zero. The
// time in which the disk completed those before it does not count: with disks that
// are all equally slow no follower is better off.
func (d *diskQueue) slowAt() time.Time {
	if len(d.unsynced) == 0 {
		return time.Time{}
	}
	start := d.unsynced[0].since
	if d.syncedAt.After(start) {
		start = d.syncedAt
	}
	return start.Add(slowDiskAfter)
}
