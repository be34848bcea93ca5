package replog

import "time"

// Status describes a replica at the last time that was passed in.
type Status struct {
	ID            ReplicaID
	Role          Role
	Term          uint64
	Leader        ReplicaID // 0 where unknown
	HeardAt       time.Time // when the last message of a leader arrived
	Commit        uint64
	Applied       uint64 // handed out for application
	Last          uint64 // last index of the log
	SnapshotIndex uint64 // 0 where there is no snapshot
	Membership    Membership
	// LeaseEnd is when the leader lease ends by the clock of this replica; the
	// zero time where it holds none.
	LeaseEnd time.Time
	// Ready is set on a leader that has committed an entry of its own term.
	Ready bool
	// Transferring is set while leadership is handed over.
	Transferring bool
	Followers    []FollowerStatus // of a leader, by id
}

// FollowerStatus is a leader's view of another replica.
type FollowerStatus struct {
	ID         ReplicaID
	Learner    bool
	State      ProgressState
	Match      uint64
	AnsweredAt time.Time // zero before the first answer of this term
}

// LeaderWithin returns the leader, or 0 where the last message of it is older
// than maxAge: it may have been cut off.
func (s Status) LeaderWithin(now time.Time, maxAge time.Duration) ReplicaID {
	if s.Role != RoleLeader && now.Sub(s.HeardAt) > maxAge {
		return 0
	}
	return s.Leader
}

// HoldsLease reports whether the leader lease is valid at a time of the
// replica's own clock.
func (s Status) HoldsLease(now time.Time) bool { return now.Before(s.LeaseEnd) }

// Status returns the present state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.id, Role: c.role, Term: c.hard.Term, Leader: c.leader, HeardAt: c.heardAt,
		Commit: c.commit, Applied: c.emitted, Last: c.log.last(),
		SnapshotIndex: c.snapshotIndex(), Membership: c.membership(),
		LeaseEnd: c.leaseEnd(), Ready: c.ownTermCommitted(),
		Transferring: c.lead.transfer.to != 0,
	}
	if s.Role == RoleFollower && !s.Membership.IsVoter(c.id) {
		s.Role = RoleLearner
	}
	for _, id := range s.Membership.others(c.id) {
		if p := c.lead.peers[id]; p != nil {
			s.Followers = append(s.Followers, FollowerStatus{
				ID: id, Learner: s.Membership.IsLearner(id), State: p.state,
				Match: p.match, AnsweredAt: p.answeredAt,
			})
		}
	}
	return s
}
