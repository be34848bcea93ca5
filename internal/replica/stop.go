package replica

import (
	"time"

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
