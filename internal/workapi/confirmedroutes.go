package workapi

import "time"

// maxKeysAge is how long a list of keys is used after the leader was asked for the one in force. A change
// must be in force everywhere 2.5 s after it was acknowledged, also at a process that was frozen or cut off
// and does not know of it. The rest of that time is left for requests on their way through the process.
const maxKeysAge = 2300 * time.Millisecond

// confirmedRoutes is a routing table with the time at which the leader was asked for the one in force. It is
// immutable.
type confirmedRoutes struct {
	*RoutingTable
	askedAt time.Time
}

// confirmed returns the same table if the leader has answered that its version is still in force, as of the
// time at which it was asked. An answer of a version that was never seen here confirms nothing. It returns
// nil if there is no table.
func (r *confirmedRoutes) confirmed(version uint64, askedAt time.Time) *confirmedRoutes {
	if r == nil || version != r.version {
		return r
	}
	return &confirmedRoutes{RoutingTable: r.RoutingTable, askedAt: askedAt}
}

// keysConfirmed reports whether the list of keys may be used.
func (r *confirmedRoutes) keysConfirmed(now time.Time) bool { return now.Sub(r.askedAt) < maxKeysAge }

// retryInterval is the time between two polls of a process whose list of keys is to be confirmed and whose
// last poll failed. Each poll searches for a leader by itself; a longer interval would prolong the time for
// which calls are rejected after a change of the leader.
const retryInterval = 100 * time.Millisecond

// nextPoll returns the time until the next poll after one that ended with the given error.
func (r *confirmedRoutes) nextPoll(err error) time.Duration {
	if err != nil && r != nil && r.keys != nil {
		return retryInterval
	}
	return pollInterval
}
