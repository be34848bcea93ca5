package replog

import "time"

// Status describes a replica as of the latest time passed to it.
type Status struct {
	ID            ReplicaID
	Role          Role
	Term          uint64
	Leader        ReplicaID // 0 if unknown
	HeardAt       time.Time // when the last message from a leader arrived
	Commit        uint64
	Applied       uint64 // last index returned in Effects.Committed
	Last          uint64 // last index of the log
	SnapshotIndex uint64 // 0 if there is no snapshot
	Membership    Membership
	// LeaseEnd is when the leader lease ends by the clock of this replica, or the zero time if it
	// holds no lease.
	LeaseEnd time.Time
	// Ready is true on a leader that has committed an entry of its own term.
	Ready bool
	// Transferring is true during a leadership transfer.
	Transferring bool
	Followers    []FollowerStatus // set on a leader only; voters before learners, each by id
}

// FollowerStatus is a leader's view of another replica.
type FollowerStatus struct {
	ID         ReplicaID
	Learner    bool
	State      ProgressState
	Match      uint64
	AnsweredAt time.Time // zero before the first response in this term
}

// LeaderWithin returns the leader, or 0 if its last message is older than maxAge. Such a leader may
// be partitioned from this replica.
func (s Status) LeaderWithin(now time.Time, maxAge time.Duration) ReplicaID {
	if s.Role != RoleLeader && now.Sub(s.HeardAt) > maxAge {
		return 0
	}
	return s.Leader
}

// HoldsLease reports whether the leader lease is valid at now, a time of the replica's own clock.
func (s Status) HoldsLease(now time.Time) bool { return now.Before(s.LeaseEnd) }

// Status returns the current status.
func (c *Core) Status() Status {
	s := Status{
		ID: c.id, Role: c.role, Term: c.hardState.Term, Leader: c.leader, HeardAt: c.lastLeaderContact,
		Commit: c.commit, Applied: c.applied, Last: c.log.lastIndex(),
		SnapshotIndex: c.snapshotIndex(), Membership: c.membership(),
		LeaseEnd: c.leaseEnd(), Ready: c.ownTermCommitted(),
		Transferring: c.leaderState.transfer.target != 0,
	}
	if s.Role == RoleFollower && !s.Membership.IsVoter(c.id) {
		s.Role = RoleLearner
	}
	for _, id := range s.Membership.membersExcept(c.id) {
		if p := c.leaderState.followers[id]; p != nil {
			s.Followers = append(s.Followers, FollowerStatus{
				ID: id, Learner: s.Membership.IsLearner(id), State: p.state,
				Match: p.matchIndex, AnsweredAt: p.lastResponseAt,
			})
		}
	}
	return s
}
