package replog_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Guards against a follower that reports a leader from which it is partitioned. Callers that were
// redirected to such a leader repeatedly waited for their full timeout.
func TestFollowerReportsOnlyRecentLeader(t *testing.T) {
	heard := time.Unix(100, 0)
	follower := replog.Status{Role: replog.RoleFollower, Leader: 7, HeardAt: heard}
	leader := replog.Status{Role: replog.RoleLeader, Leader: 7, HeardAt: heard}
	const maxAge = 200 * time.Millisecond
	for _, c := range []struct {
		status replog.Status
		age    time.Duration
		want   replog.ReplicaID
	}{
		{follower, maxAge, 7},
		{follower, maxAge + 1, 0},
		{leader, time.Hour, 7},
	} {
		if got := c.status.LeaderWithin(heard.Add(c.age), maxAge); got != c.want {
			t.Errorf("role %v, last message of the leader %v ago: leader %d, want %d", c.status.Role, c.age, got, c.want)
		}
	}
}
