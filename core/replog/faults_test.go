package replog_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

func (x *soakRun) syncDelay(id replog.ReplicaID) time.Duration {
	delay := x.randomDuration(100*time.Microsecond, 2*time.Millisecond) + x.extraSyncTime[id]
	x.crashAtWrite[id]--
	if x.crashAtWrite[id] == 0 {
		x.sim.After(x.randomDuration(0, delay), func() { x.crashAndRestart(x.sim.Replica(id)) })
	}
	return delay
}

// fault is a kind of fault. begin schedules its end after a random time.
type fault struct {
	name  string
	begin func(x *soakRun) (began bool)
}

var faults = []fault{
	{"loss", func(x *soakRun) bool {
		return x.applyTemporarily(func() { x.net.Loss = x.rng.Float64() / 2 }, func() { x.net.Loss = 0 })
	}},
	{"delay", func(x *soakRun) bool {
		return x.applyTemporarily(func() { x.net.ExtraDelay = x.randomDuration(0, 150*time.Millisecond) }, func() { x.net.ExtraDelay = 0 })
	}},
	{"duplicate", func(x *soakRun) bool {
		return x.applyTemporarily(func() { x.net.Duplicate = x.rng.Float64() }, func() { x.net.Duplicate = 0 })
	}},
	{"partition", (*soakRun).partition},
	{"one-way", func(x *soakRun) bool {
		return x.cutLinks(logsim.LinksBetween(x.randomReplica().ID, x.randomReplica().ID)[:1])
	}},
	{"link", func(x *soakRun) bool {
		return x.cutLinks(logsim.LinksBetween(x.randomReplica().ID, x.randomReplica().ID))
	}},
	{"pause", func(x *soakRun) bool {
		x.randomReplica().Pause(x.randomDuration(20*time.Millisecond, 500*time.Millisecond))
		return true
	}},
	{"suspend", func(x *soakRun) bool {
		x.randomReplica().Suspend(x.randomDuration(20*time.Millisecond, 500*time.Millisecond))
		return true
	}},
	{"crash", func(x *soakRun) bool { return x.crashAndRestart(x.randomReplica()) }},
	{"crash-at-write", func(x *soakRun) bool {
		x.crashAtWrite[x.randomReplica().ID] = 1 + x.rng.IntN(3)
		return true
	}},
	{"election-crashes", (*soakRun).crashDuringElection},
	{"restarts-near-lost-link", (*soakRun).restartDuringPartition},
	{"slow-disk", func(x *soakRun) bool {
		id := x.randomReplica().ID
		return x.applyTemporarily(func() { x.extraSyncTime[id] = x.randomDuration(0, 100*time.Millisecond) }, func() { delete(x.extraSyncTime, id) })
	}},
	{"membership", (*soakRun).proposeRandomMemberships},
	{"transfer", func(x *soakRun) bool {
		leader := x.randomLeader()
		if leader == nil {
			return false
		}
		leader.Do(func(c *replog.Core, now time.Time) { _ = c.TransferLeadership(now, x.randomReplica().ID) })
		return true
	}},
	{"disk-loss", (*soakRun).loseDisk},
}

func (x *soakRun) scheduleNextFault() {
	x.sim.After(x.randomDuration(time.Millisecond, x.maxFaultInterval), func() {
		if x.faultsEnded || len(x.enabledFaults) == 0 {
			return
		}
		f := x.enabledFaults[x.rng.IntN(len(x.enabledFaults))]
		if f.begin(x) {
			x.faultCounts[f.name]++
		}
		x.scheduleNextFault()
	})
}

func (x *soakRun) applyTemporarily(begin, end func()) bool {
	begin()
	x.sim.After(x.randomDuration(10*time.Millisecond, x.maxFaultDuration), func() {
		if !x.faultsEnded {
			end()
		}
	})
	return true
}

// randomReplica returns a random replica. The leader is chosen more often than the other replicas.
func (x *soakRun) randomReplica() *logsim.Replica {
	if leader := x.randomLeader(); leader != nil && x.rng.IntN(4) == 0 {
		return leader
	}
	return x.check.replicas[x.rng.IntN(len(x.check.replicas))]
}

func (x *soakRun) cutLinks(links []logsim.Link) bool {
	return x.applyTemporarily(func() { x.net.Cut(links) }, func() { x.net.Restore(links) })
}

// partition cuts the links between two random parts of the group.
func (x *soakRun) partition() bool {
	side := map[replog.ReplicaID]bool{}
	for _, r := range x.check.replicas {
		side[r.ID] = x.rng.IntN(2) == 0
	}
	var links []logsim.Link
	for i, a := range x.check.replicas {
		for _, b := range x.check.replicas[:i] {
			if side[a.ID] != side[b.ID] {
				links = append(links, logsim.LinksBetween(a.ID, b.ID)...)
			}
		}
	}
	return x.cutLinks(links)
}

// crashAndRestart crashes a replica so that a random part of its unsynced writes survives, and
// restarts it later.
func (x *soakRun) crashAndRestart(r *logsim.Replica) bool {
	if r.Core == nil || x.faultsEnded {
		return false
	}
	r.Crash(func(writes int) int { return x.rng.IntN(writes + 1) })
	x.sim.After(x.randomDuration(time.Millisecond, x.maxFaultDuration), func() { x.restart(r) })
	return true
}

func (x *soakRun) restart(r *logsim.Replica) {
	if r.Core == nil && r.ID != x.replicaWithoutDisk {
		r.Start()
	}
}

// crashDuringElection pauses the leader, and crashes the other replicas during the writes that the
// resulting election causes.
func (x *soakRun) crashDuringElection() bool {
	leader := x.randomLeader()
	if leader == nil {
		return false
	}
	leader.Pause(x.randomDuration(100*time.Millisecond, 300*time.Millisecond))
	for _, r := range x.check.replicas {
		if r != leader {
			x.crashAtWrite[r.ID] = 1 + x.rng.IntN(4)
		}
	}
	return true
}

// restartDuringPartition cuts the links between the leader and one follower, which then requests
// votes while the other replicas restart repeatedly. Clients are paused meanwhile, so that the
// follower's log stays as up-to-date as the others'.
func (x *soakRun) restartDuringPartition() bool {
	leader, follower := x.randomLeader(), x.randomReplica()
	if leader == nil || follower == leader {
		return false
	}
	const settle, end = 50 * time.Millisecond, 350 * time.Millisecond
	x.clientsPausedUntil = x.sim.Now() + end
	x.sim.After(settle, func() {
		if !x.faultsEnded {
			x.cutLinks(logsim.LinksBetween(leader.ID, follower.ID))
		}
	})
	for _, r := range x.check.replicas {
		for range restartsPerReplica {
			if r == leader || r == follower {
				break
			}
			x.sim.After(x.randomDuration(settle, end), func() {
				if x.crashAndRestart(r) {
					x.sim.After(time.Millisecond, func() { x.restart(r) })
				}
			})
		}
	}
	return true
}

const restartsPerReplica = 6

// scheduleLeaderFailure schedules the failure of a new leader after a short time, so that entries
// of many terms remain uncommitted.
func (x *soakRun) scheduleLeaderFailure(r *logsim.Replica) {
	if x.maxLeaderLifetime == 0 || x.faultsEnded {
		return
	}
	if x.rng.IntN(3) == 0 {
		// The leader's first entries reach only some replicas.
		var links []logsim.Link
		for _, other := range x.check.replicas {
			if x.rng.IntN(3) > 0 {
				links = append(links, logsim.LinksBetween(r.ID, other.ID)[0])
			}
		}
		x.cutLinks(links)
	}
	x.sim.After(x.randomDuration(0, x.maxLeaderLifetime), func() {
		x.faultCounts["leader-fails"]++
		if x.rng.IntN(3) == 0 {
			r.Pause(x.randomDuration(100*time.Millisecond, 300*time.Millisecond))
		} else {
			x.crashAndRestart(r)
		}
	})
}

// loseDisk crashes a replica for the rest of the run, as if its disk were lost. The replica must
// not return under the same id; a later membership change removes it.
func (x *soakRun) loseDisk() bool {
	r := x.randomReplica()
	if x.replicaWithoutDisk != 0 || r.Core == nil || len(r.Core.Status().Membership.Voters) < 3 {
		return false
	}
	x.replicaWithoutDisk = r.ID
	r.Crash(func(int) int { return 0 })
	return true
}

// proposeRandomMemberships proposes up to three random memberships in quick succession.
func (x *soakRun) proposeRandomMemberships() (began bool) {
	leader := x.randomLeader()
	if leader == nil {
		return false
	}
	leader.Do(func(c *replog.Core, now time.Time) {
		for range 1 + x.rng.IntN(3) {
			began = c.ChangeMembership(now, x.withNewAddresses(x.randomNextMembership(c.Status().Membership))) == nil || began
		}
	})
	return began
}

// withNewAddresses returns m with an address for each member that no membership had before.
func (x *soakRun) withNewAddresses(m replog.Membership) replog.Membership {
	x.lastAddress++
	m.Addresses = nil
	for _, id := range slices.Sorted(slices.Values(slices.Concat(m.Voters, m.Learners))) {
		m.Addresses = append(m.Addresses, replog.MemberAddress{ID: id, Address: fmt.Sprintf("address-%d", x.lastAddress)})
	}
	return m
}

const maxReplicas = 8

func (x *soakRun) randomNextMembership(m replog.Membership) replog.Membership {
	without := func(ids []replog.ReplicaID, id replog.ReplicaID) []replog.ReplicaID {
		return slices.DeleteFunc(slices.Clone(ids), func(other replog.ReplicaID) bool { return other == id })
	}
	choice := x.rng.IntN(3)
	switch {
	case x.replicaWithoutDisk != 0 && m.Contains(x.replicaWithoutDisk):
		return replog.Membership{Voters: without(m.Voters, x.replicaWithoutDisk), Learners: without(m.Learners, x.replicaWithoutDisk)}
	case len(m.Learners) > 0 && choice > 0:
		id := m.Learners[x.rng.IntN(len(m.Learners))]
		return replog.Membership{Voters: append(slices.Clone(m.Voters), id), Learners: without(m.Learners, id)}
	case len(m.Voters) > 2 && choice == 0:
		id := m.Voters[x.rng.IntN(len(m.Voters))]
		return replog.Membership{Voters: without(m.Voters, id), Learners: m.Learners}
	case int(x.lastReplicaID) < maxReplicas:
		return replog.Membership{Voters: m.Voters, Learners: append(slices.Clone(m.Learners), x.addReplica(replog.Membership{}))}
	}
	return m
}
