package replica_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/replica"
)

// Guards against a leadership transfer while the dispatching task of the leader, which may be busy,
// still has a valid leader lease. It could extend leases of workers after the next leader has begun
// to count them (platform rule TWICE).
func TestTransferWaitsForTheDispatchingTask(t *testing.T) {
	type received struct {
		from   replog.ReplicaID
		update replica.WorkUpdate
	}
	all := make(chan received)
	next := map[replog.ReplicaID]chan bool{} // a dispatching task takes an update for each value
	for id := replog.ReplicaID(1); id <= 3; id++ {
		next[id] = make(chan bool, 1)
	}
	group := startGroup(t, 3, func(o *replica.Options) {
		updates, id := make(chan replica.WorkUpdate), o.ID
		o.WorkUpdates = updates
		go func() {
			for range next[id] {
				all <- received{id, <-updates}
			}
		}()
	})
	for id := range next {
		next[id] <- true
	}
	var leader replog.ReplicaID
	var deadline lease.Deadline
	for valid := false; !valid; {
		got := <-all
		if got.update.LeadershipStart != nil {
			leader, deadline = got.from, lease.Deadline{}
		}
		if got.update.LeaseEnd != nil {
			deadline = *got.update.LeaseEnd
		}
		valid = got.from == leader && !deadline.Passed(time.Now())
		if !valid {
			next[got.from] <- true
		}
	}
	// The dispatching task of the leader takes no more updates.
	go group.Replica(int(leader) - 1).Stop(callContext(t))
	for got := range all {
		if got.update.LeadershipStart != nil && got.from != leader {
			if !deadline.Passed(time.Now()) {
				t.Errorf("replica %d leads while the dispatching task of replica %d has a valid leader lease", got.from, leader)
			}
			return
		}
		next[got.from] <- true
	}
}
