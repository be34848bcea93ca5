package replog

import (
	"slices"
	"time"
)

// partsPerMillion is the unit of Config.MaxDriftPPM.
const partsPerMillion = 1_000_000

// quorumIndex returns the largest index that a quorum of voters has reached. own is the leader's
// index, and of returns the index of another voter.
func (c *Core) quorumIndex(own uint64, of func(*progress) uint64) uint64 {
	var reached []uint64
	for _, id := range c.membership().Voters {
		if id == c.id {
			reached = append(reached, own)
		} else {
			reached = append(reached, of(c.leaderState.followers[id]))
		}
	}
	slices.Sort(reached)
	return reached[len(reached)-c.membership().Quorum()]
}

// quorumTime returns the latest time that a quorum of voters has reached. The leader itself counts
// with the current time.
func (c *Core) quorumTime(of func(*progress) time.Time) time.Time {
	var reached []time.Time
	for _, id := range c.membership().Voters {
		if id == c.id {
			reached = append(reached, c.now)
		} else {
			reached = append(reached, of(c.leaderState.followers[id]))
		}
	}
	slices.SortFunc(reached, time.Time.Compare)
	return reached[len(reached)-c.membership().Quorum()]
}

// leaseEnd returns when the leader lease ends by the leader's own clock, or the zero time if the
// leader holds no lease.
//
// Every follower in the quorum refuses votes for ElectionTimeoutMin of its own clock after it
// received a message that was sent at lastAckedSendTime or later. The follower's clock may be fast
// and the leader's clock slow, each by the drift bound, so the lease is shortened by twice the
// drift bound.
func (c *Core) leaseEnd() time.Time {
	if c.role != RoleLeader || c.leaderState.leaseDisabled {
		return time.Time{}
	}
	from := c.quorumTime(func(p *progress) time.Time { return p.lastAckedSendTime })
	if from.IsZero() {
		return time.Time{}
	}
	drift := c.cfg.ElectionTimeoutMin * time.Duration(2*c.cfg.MaxDriftPPM) / partsPerMillion
	return from.Add(c.cfg.ElectionTimeoutMin - drift)
}

// ClockJumped reports that the clock may have stopped for some time before now, for example while
// the VM was suspended. The leader lease ends at once, because it may have expired by the clocks of
// the other replicas. Responses to messages sent after this call establish a new lease.
func (c *Core) ClockJumped(now time.Time) {
	c.now = now
	c.leaderState.leaseNotBefore = now
	for _, p := range c.leaderState.followers {
		p.lastAckedSendTime = time.Time{}
	}
}

func (c *Core) holdsLease() bool { return c.now.Before(c.leaseEnd()) }
