package replica

import (
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// plannedStop is a planned stop in progress.
type plannedStop struct {
	call     stopCall
	deadline time.Time
}

// maxStopElectionTimeouts is the number of maximum election timeouts after which a stop no longer
// waits for another leader.
const maxStopElectionTimeouts = 3

func (t *task) handleStop(now time.Time, c stopCall) {
	if t.stopping != nil {
		c.refuse(ErrStopped)
		return
	}
	t.stopping = &plannedStop{call: c, deadline: now.Add(maxStopElectionTimeouts * t.opts.ElectionTimeoutMax)}
}

// mayEnd reports whether a stopping replica may end: it does not lead and has answered every
// command, or the stop has reached its deadline.
func (t *task) mayEnd(now time.Time) bool {
	if !now.Before(t.stopping.deadline) {
		return true
	}
	alone := len(t.status.Membership.Voters) == 1
	return len(t.proposals.pending) == 0 && (t.status.Role != replog.RoleLeader || alone)
}
