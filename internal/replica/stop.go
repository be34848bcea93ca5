package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
)

// stopping is a planned stop under way.
type stopping struct {
	call     stopCall
	deadline time.Time
}

// stopTimeouts is the number of maximum election timeouts after which a stop
// no longer waits for another leader.
const stopTimeouts = 3

func (t *task) stop(now time.Time, c stopCall) {
	if t.stopping != nil {
		c.refuse(ErrStopped)
		return
	}
	t.stopping = &stopping{call: c, deadline: now.Add(stopTimeouts * t.opts.ElectionTimeoutMax)}
}

// stopped reports whether a stopping replica may end: it does not lead and has
// answered every command, or it has waited long enough.
func (t *task) stopped(now time.Time) bool {
	if !now.Before(t.stopping.deadline) {
		return true
	}
	alone := len(t.status.Membership.Voters) == 1
	return len(t.proposals.waiting) == 0 && (t.status.Role != replog.RoleLeader || alone)
}

// handOver offers the leadership to the follower whose log is longest. An
// offer that nobody took up is made again.
func (t *task) handOver(now time.Time) {
	if t.status.Role != replog.RoleLeader || t.status.Transferring {
		return
	}
	var best replog.FollowerStatus
	for _, follower := range t.status.Followers {
		alive := now.Sub(follower.AnsweredAt) < t.opts.ElectionTimeoutMin
		if alive && !follower.Learner && follower.Match >= best.Match {
			best = follower
		}
	}
	if best.ID == 0 {
		return
	}
	if err := t.core.TransferLeadership(now, best.ID); err == nil {
		t.opts.Logger.Log(eventTransfer, zap.Uint64("to", uint64(best.ID)))
	}
}
