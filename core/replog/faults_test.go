package replog_test

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

func (x *run) syncDelay(id replog.ReplicaID) time.Duration {
	delay := x.between(100*time.Microsecond, 2*time.Millisecond) + x.syncTime[id]
	x.crashAtWrite[id]--
	if x.crashAtWrite[id] == 0 {
		x.sim.After(x.between(0, delay), func() { x.crash(x.sim.Replica(id)) })
	}
	return delay
}

// fault is a kind of fault. begin schedules its end after a random time.
type fault struct {
	name  string
	begin func(x *run) (began bool)
}

var faults = []fault{
	{"loss", func(x *run) bool {
		return x.forAWhile(func() { x.net.Loss = x.rng.Float64() / 2 }, func() { x.net.Loss = 0 })
	}},
	{"delay", func(x *run) bool {
		return x.forAWhile(func() { x.net.ExtraDelay = x.between(0, 150*time.Millisecond) }, func() { x.net.ExtraDelay = 0 })
	}},
	{"duplicate", func(x *run) bool {
		return x.forAWhile(func() { x.net.Duplicate = x.rng.Float64() }, func() { x.net.Duplicate = 0 })
	}},
	{"partition", (*run).partition},
	{"one-way", func(x *run) bool { return x.cut(logsim.BothWays(x.some().ID, x.some().ID)[:1]) }},
	{"link", func(x *run) bool {
		return x.cut(logsim.BothWays(x.some().ID, x.some().ID))
	}},
	{"pause", func(x *run) bool {
		x.some().Pause(x.between(20*time.Millisecond, 500*time.Millisecond))
		return true
	}},
	{"suspend", func(x *run) bool {
		x.some().Suspend(x.between(20*time.Millisecond, 500*time.Millisecond))
		return true
	}},
	{"crash", func(x *run) bool { return x.crash(x.some()) }},
	{"crash-at-write", func(x *run) bool {
		x.crashAtWrite[x.some().ID] = 1 + x.rng.IntN(3)
		return true
	}},
	{"election-crashes", (*run).electionCrashes},
	{"restarts-near-lost-link", (*run).restartsNearLostLink},
	{"slow-disk", func(x *run) bool {
		id := x.some().ID
		return x.forAWhile(func() { x.syncTime[id] = x.between(0, 100*time.Millisecond) }, func() { delete(x.syncTime, id) })
	}},
	{"membership", (*run).changeMembership},
	{"transfer", func(x *run) bool {
		leader := x.anyLeader()
		if leader == nil {
			return false
		}
		leader.Do(func(c *replog.Core, now time.Time) { _ = c.TransferLeadership(now, x.some().ID) })
		return true
	}},
	{"disk-loss", (*run).destroy},
}

func (x *run) nextFault() {
	x.sim.After(x.between(time.Millisecond, x.faultGap), func() {
		if x.healing || len(x.enabled) == 0 {
			return
		}
		f := x.enabled[x.rng.IntN(len(x.enabled))]
		if f.begin(x) {
			x.counts[f.name]++
		}
		x.nextFault()
	})
}

func (x *run) forAWhile(begin, end func()) bool {
	begin()
	x.sim.After(x.between(10*time.Millisecond, x.faultTime), func() {
		if !x.healing {
			end()
		}
	})
	return true
}

// some returns a random replica. The leader is chosen more often than the other replicas.
func (x *run) some() *logsim.Replica {
	if leader := x.anyLeader(); leader != nil && x.rng.IntN(4) == 0 {
		return leader
	}
	return x.check.replicas[x.rng.IntN(len(x.check.replicas))]
}

func (x *run) cut(links []logsim.Link) bool {
	return x.forAWhile(func() { x.net.Cut(links) }, func() { x.net.Restore(links) })
}

// partition cuts the links between two random parts of the group.
func (x *run) partition() bool {
	side := map[replog.ReplicaID]bool{}
	for _, r := range x.check.replicas {
		side[r.ID] = x.rng.IntN(2) == 0
	}
	var links []logsim.Link
	for i, a := range x.check.replicas {
		for _, b := range x.check.replicas[:i] {
			if side[a.ID] != side[b.ID] {
				links = append(links, logsim.BothWays(a.ID, b.ID)...)
			}
		}
	}
	return x.cut(links)
}

// crash crashes a replica so that a random part of its unsynced writes survives, and restarts it
// later.
func (x *run) crash(r *logsim.Replica) bool {
	if r.Core == nil || x.healing {
		return false
	}
	r.Crash(func(writes int) int { return x.rng.IntN(writes + 1) })
	x.sim.After(x.between(time.Millisecond, x.faultTime), func() { x.restart(r) })
	return true
}

func (x *run) restart(r *logsim.Replica) {
	if r.Core == nil && r.ID != x.destroyed {
		r.Start()
	}
}

// electionCrashes pauses the leader, and crashes the other replicas during the writes that the
// resulting election causes.
func (x *run) electionCrashes() bool {
	leader := x.anyLeader()
	if leader == nil {
		return false
	}
	leader.Pause(x.between(100*time.Millisecond, 300*time.Millisecond))
	for _, r := range x.check.replicas {
		if r != leader {
			x.crashAtWrite[r.ID] = 1 + x.rng.IntN(4)
		}
	}
	return true
}

// restartsNearLostLink cuts the links between the leader and one follower, which then requests
// votes while the other replicas restart repeatedly. Clients are paused meanwhile, so that the
// follower's log stays as up-to-date as the others'.
func (x *run) restartsNearLostLink() bool {
	leader, lost := x.anyLeader(), x.some()
	if leader == nil || lost == leader {
		return false
	}
	const settle, end = 50 * time.Millisecond, 350 * time.Millisecond
	x.quietUntil = x.sim.Now() + end
	x.sim.After(settle, func() {
		if !x.healing {
			x.cut(logsim.BothWays(leader.ID, lost.ID))
		}
	})
	for _, r := range x.check.replicas {
		for range restartCount {
			if r == leader || r == lost {
				break
			}
			x.sim.After(x.between(settle, end), func() {
				if x.crash(r) {
					x.sim.After(time.Millisecond, func() { x.restart(r) })
				}
			})
		}
	}
	return true
}

const restartCount = 6

// limitLeader schedules the failure of a new leader after a short time, so that entries of many
// terms remain uncommitted.
func (x *run) limitLeader(r *logsim.Replica) {
	if x.leaderLife == 0 || x.healing {
		return
	}
	if x.rng.IntN(3) == 0 {
		// The leader's first entries reach only some replicas.
		var links []logsim.Link
		for _, other := range x.check.replicas {
			if x.rng.IntN(3) > 0 {
				links = append(links, logsim.BothWays(r.ID, other.ID)[0])
			}
		}
		x.cut(links)
	}
	x.sim.After(x.between(0, x.leaderLife), func() {
		x.counts["leader-fails"]++
		if x.rng.IntN(3) == 0 {
			r.Pause(x.between(100*time.Millisecond, 300*time.Millisecond))
		} else {
			x.crash(r)
		}
	})
}

// destroy crashes a replica for the rest of the run, as if its disk were lost. The replica must not
// return under the same id; a later membership change removes it.
func (x *run) destroy() bool {
	r := x.some()
	if x.destroyed != 0 || r.Core == nil || len(r.Core.Status().Membership.Voters) < 3 {
		return false
	}
	x.destroyed = r.ID
	r.Crash(func(int) int { return 0 })
	return true
}

// changeMembership proposes up to three random memberships in quick succession.
func (x *run) changeMembership() (began bool) {
	leader := x.anyLeader()
	if leader == nil {
		return false
	}
	leader.Do(func(c *replog.Core, now time.Time) {
		for range 1 + x.rng.IntN(3) {
			began = c.ChangeMembership(now, x.nextMembership(c.Status().Membership)) == nil || began
		}
	})
	return began
}

const maxReplicas = 8

func (x *run) nextMembership(m replog.Membership) replog.Membership {
	without := func(ids []replog.ReplicaID, id replog.ReplicaID) []replog.ReplicaID {
		return slices.DeleteFunc(slices.Clone(ids), func(other replog.ReplicaID) bool { return other == id })
	}
	choice := x.rng.IntN(3)
	switch {
	case x.destroyed != 0 && m.Contains(x.destroyed):
		return replog.Membership{Voters: without(m.Voters, x.destroyed), Learners: without(m.Learners, x.destroyed)}
	case len(m.Learners) > 0 && choice > 0:
		id := m.Learners[x.rng.IntN(len(m.Learners))]
		return replog.Membership{Voters: append(slices.Clone(m.Voters), id), Learners: without(m.Learners, id)}
	case len(m.Voters) > 2 && choice == 0:
		id := m.Voters[x.rng.IntN(len(m.Voters))]
		return replog.Membership{Voters: without(m.Voters, id), Learners: m.Learners}
	case int(x.lastID) < maxReplicas:
		return replog.Membership{Voters: m.Voters, Learners: append(slices.Clone(m.Learners), x.addReplica(replog.Membership{}))}
	}
	return m
}
