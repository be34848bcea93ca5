package replog_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

var (
	soakSeed = flag.Uint64("soak.seed", 1, "seed of the first randomised run")
	soakRuns = flag.Int("soak.runs", 250, "number of randomised runs, with consecutive seeds")
)

const (
	registerCount      = 3
	clientCount        = 5
	faultPhaseDuration = 4 * time.Second // simulated time with faults
	recoveryTimeout    = 6 * time.Second // simulated time in which the group must recover after the faults
	recoveryKey        = registerCount   // register written after the faults, never read
	soakMaxPending     = 50
)

// soakRun is the state of one randomised run.
type soakRun struct {
	rng                *rand.Rand
	sim                *logsim.Sim
	check              *checker
	net                *logsim.Network
	extraSyncTime      map[replog.ReplicaID]time.Duration // additional sync time of slow disks
	clientInterval     time.Duration
	maxFaultInterval   time.Duration // maximum time between the starts of two faults
	maxFaultDuration   time.Duration // maximum duration of a fault
	driftPPM           int64
	enabledFaults      []fault
	faultCounts        map[string]int
	history            []*operation
	openOperations     map[operationKey]int // operations without a response
	lastValue          uint32
	lastReplicaID      replog.ReplicaID
	lastAddress        int
	replicaWithoutDisk replog.ReplicaID // replica that lost its disk and does not restart; 0 if none
	faultsEnded        bool

	clientsPausedUntil time.Duration            // clients start no operations before this time
	crashAtWrite       map[replog.ReplicaID]int // number of writes until the replica crashes during one
	maxLeaderLifetime  time.Duration            // maximum time until a new leader fails; 0 disables this fault
}

// Guards against violations of any invariant under combinations of faults. A run is reproduced by
// -soak.seed=N -soak.runs=1.
func TestSoak(t *testing.T) {
	totals, steps, commits, terms, operations := map[string]int{}, 0, 0, 0, 0
	for i := range *soakRuns {
		x := newRun(*soakSeed+uint64(i), func(*logsim.Options) {})
		x.execute()
		if x.check.firstViolation != "" {
			t.Fatalf("violation in run %d (seed %d): %s", i+1, *soakSeed+uint64(i), x.check.firstViolation)
		}
		steps += x.sim.Steps()
		commits += len(x.check.committed)
		terms += len(x.check.leaders)
		operations += len(x.history)
		for name, count := range x.faultCounts {
			totals[name] += count
		}
	}
	fmt.Printf("soak: runs=%d first_seed=%d steps=%d commits=%d leaders=%d operations=%d violations=0\nsoak: faults %v\n",
		*soakRuns, *soakSeed, steps, commits, terms, operations, totals)
}

// newRun derives the parameters of a run from its seed. change adjusts the resulting options.
func newRun(seed uint64, change func(*logsim.Options)) *soakRun {
	x := &soakRun{
		rng: rand.New(rand.NewPCG(seed, 0)), check: newChecker(),
		extraSyncTime: map[replog.ReplicaID]time.Duration{}, faultCounts: map[string]int{},
		openOperations: map[operationKey]int{},
		crashAtWrite:   map[replog.ReplicaID]int{},
	}
	x.net = x.newNetwork()
	x.driftPPM = []int64{0, 1000, 50_000, 150_000}[x.rng.IntN(4)]
	x.clientInterval = x.randomDuration(2*time.Millisecond, 30*time.Millisecond)
	if x.rng.IntN(4) == 0 {
		x.clientInterval *= 20 // with few writes, logs are often equal and rarely decide an election
	}
	x.maxFaultInterval = []time.Duration{60, 150, 400}[x.rng.IntN(3)] * time.Millisecond
	x.maxFaultDuration = []time.Duration{60, 200, 600}[x.rng.IntN(3)] * time.Millisecond
	x.maxLeaderLifetime = []time.Duration{0, 0, 20, 100}[x.rng.IntN(4)] * time.Millisecond
	x.check.onLeader = x.scheduleLeaderFailure
	// Some runs enable only a few kinds of faults, because one kind can hide the effect of another.
	share := x.rng.Float64()
	for _, f := range faults {
		if x.rng.Float64() < share {
			x.enabledFaults = append(x.enabledFaults, f)
		}
	}
	opts := logsim.Options{
		Config: replog.Config{
			ElectionTimeoutMin: 100 * time.Millisecond, ElectionTimeoutMax: 200 * time.Millisecond,
			HeartbeatInterval: 25 * time.Millisecond, MaxDriftPPM: x.driftPPM,
			MaxBatchBytes: x.chooseMaxBatchBytes(), MaxInflight: []int{1, 4, 16}[x.rng.IntN(3)],
			MaxPending: soakMaxPending, Seed: seed,
		},
		Delays:        x.net.Delays,
		SyncTime:      x.syncDelay,
		SnapshotEvery: uint64(10 + x.rng.IntN(100)),
		NewMachine: func(id replog.ReplicaID) logsim.Machine {
			return &registers{id: id, check: x.check, values: map[byte]uint32{}}
		},
		AfterStep: x.check.afterStep,
	}
	change(&opts)
	x.sim = logsim.New(opts)
	x.check.sim = x.sim
	return x
}

func (x *soakRun) execute() {
	var initial replog.Membership
	voters := []int{1, 3, 3, 5}[x.rng.IntN(4)]
	if x.maxLeaderLifetime > 0 {
		voters = 5 // committing entries of earlier terms by counting replicas fails only with 5 voters
	}
	for id := 1; id <= voters; id++ {
		initial.Voters = append(initial.Voters, replog.ReplicaID(id))
	}
	for range initial.Voters {
		x.addReplica(initial)
	}
	for range clientCount {
		x.scheduleOperation()
	}
	x.scheduleNextFault()
	x.sim.RunWhile(faultPhaseDuration, x.noViolation)
	x.endFaultsAndCheckProgress()
	if x.noViolation() {
		x.checkHistory()
	}
}

func (x *soakRun) newNetwork() *logsim.Network {
	net := logsim.NewNetwork(x.rng, time.Millisecond, 5*time.Millisecond)
	net.DuplicateDelay = 400 * time.Millisecond
	return net
}

// chooseMaxBatchBytes returns 1, which limits appends to one entry, if leaders fail early: entries
// of several terms then remain replicated to a part of the group.
func (x *soakRun) chooseMaxBatchBytes() int {
	if x.maxLeaderLifetime > 0 {
		return 1
	}
	return []int{1, 200, 2000}[x.rng.IntN(3)]
}

func (x *soakRun) noViolation() bool { return x.check.firstViolation == "" }

func (x *soakRun) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(x.rng.Int64N(int64(high-low)))
}

// addReplica starts a replica whose clock rate is within the drift bound and often at one of its
// limits.
func (x *soakRun) addReplica(initial replog.Membership) replog.ReplicaID {
	x.lastReplicaID++
	drift := []float64{-1, 1, 2*x.rng.Float64() - 1}[x.rng.IntN(3)]
	rate := 1 + drift*float64(x.driftPPM)/1e6
	// The checker must know the replica before the first step of the replica.
	x.check.replicas = append(x.check.replicas, x.sim.Add(x.lastReplicaID, initial, rate))
	return x.lastReplicaID
}

func (x *soakRun) randomLeader() *logsim.Replica {
	leaders := slices.DeleteFunc(slices.Clone(x.check.replicas), func(r *logsim.Replica) bool {
		return r.Core == nil || !r.Core.View().Leader
	})
	if len(leaders) == 0 {
		return nil
	}
	return leaders[x.rng.IntN(len(leaders))]
}

// endFaultsAndCheckProgress ends all faults and checks that the group commits again and that every
// member catches up, the addresses of the members included.
func (x *soakRun) endFaultsAndCheckProgress() {
	x.faultsEnded = true
	*x.net = *x.newNetwork()
	clear(x.extraSyncTime)
	for _, r := range x.check.replicas {
		if r.Core == nil && r.ID != x.replicaWithoutDisk {
			r.Start()
		}
	}
	if !x.quorumAvailable() {
		return
	}
	deadline, committed := faultPhaseDuration+recoveryTimeout, false
	for at := faultPhaseDuration; at < deadline && x.noViolation() && !(committed && x.caughtUp()); at += 100 * time.Millisecond {
		x.sim.RunWhile(at, x.noViolation)
		if leader := x.sim.Leader(); leader != nil && !committed {
			// An error means that the leader is not ready; the next iteration retries.
			_ = leader.Propose(write{Key: recoveryKey}.encode(), func(o logsim.Outcome) { committed = committed || o == logsim.Committed })
		}
	}
	if x.noViolation() && !(committed && x.caughtUp()) {
		x.check.recordViolation(invariantProgress, "after the faults: committed %v, caught up %v", committed, x.caughtUp())
	}
}

// quorumAvailable reports whether a quorum of every known membership can run. This is false only if
// a replica lost its disk while others were being removed.
func (x *soakRun) quorumAvailable() bool {
	for _, r := range x.check.replicas {
		if r.Core != nil {
			if m := r.Core.Status().Membership; m.IsVoter(x.replicaWithoutDisk) && len(m.Voters)-1 < m.Quorum() {
				return false
			}
		}
	}
	return true
}

func (x *soakRun) caughtUp() bool {
	leader := x.sim.Leader()
	if leader == nil {
		return false
	}
	status := leader.Core.Status()
	for _, f := range status.Followers {
		r := x.sim.Replica(f.ID)
		if f.ID != x.replicaWithoutDisk && (r == nil || r.Core == nil || r.Core.View().Commit < status.Commit || !r.Core.Status().Membership.Equal(status.Membership)) {
			return false
		}
	}
	return true
}
