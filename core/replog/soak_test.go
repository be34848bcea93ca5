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
	soakSeed = flag.Uint64("soak.seed", 1, "seed of the first randomized run")
	soakRuns = flag.Int("soak.runs", 250, "number of randomized runs, with consecutive seeds")
)

const (
	registerCount  = 3
	clientCount    = 5
	faultyTime     = 4 * time.Second // simulated time with faults
	healTime       = 6 * time.Second // simulated time in which the group must recover after the faults
	healedKey      = registerCount   // register written after the faults, never read
	soakMaxPending = 50
)

// run is the state of one randomized run.
type run struct {
	rng       *rand.Rand
	sim       *logsim.Sim
	check     *checker
	net       *logsim.Network
	syncTime  map[replog.ReplicaID]time.Duration // additional sync time of slow disks
	pace      time.Duration
	faultGap  time.Duration // maximum time between the starts of two faults
	faultTime time.Duration // maximum duration of a fault
	driftPPM  int64
	enabled   []fault
	counts    map[string]int
	history   []*operation
	open      map[openKind]int // operations without a response
	lastValue uint32
	lastID    replog.ReplicaID
	destroyed replog.ReplicaID // replica that lost its disk and does not restart; 0 if none
	healing   bool

	quietUntil   time.Duration            // clients start no operations before this time
	crashAtWrite map[replog.ReplicaID]int // number of writes until the replica crashes during one
	leaderLife   time.Duration            // maximum time until a new leader fails; 0 disables this fault
}

// Guards against violations of any invariant under combinations of faults. A run is reproduced by
// -soak.seed=N -soak.runs=1.
func TestSoak(t *testing.T) {
	totals, steps, commits, terms, operations := map[string]int{}, 0, 0, 0, 0
	for i := range *soakRuns {
		x := newRun(*soakSeed+uint64(i), func(*logsim.Options) {})
		x.run()
		if x.check.first != "" {
			t.Fatalf("violation in run %d (seed %d): %s", i+1, *soakSeed+uint64(i), x.check.first)
		}
		steps += x.sim.Steps()
		commits += len(x.check.committed)
		terms += len(x.check.leaders)
		operations += len(x.history)
		for name, count := range x.counts {
			totals[name] += count
		}
	}
	fmt.Printf("soak: runs=%d first_seed=%d steps=%d commits=%d leaders=%d operations=%d violations=0\nsoak: faults %v\n",
		*soakRuns, *soakSeed, steps, commits, terms, operations, totals)
}

// newRun derives the parameters of a run from its seed. change adjusts the resulting options.
func newRun(seed uint64, change func(*logsim.Options)) *run {
	x := &run{
		rng: rand.New(rand.NewPCG(seed, 0)), check: newChecker(),
		syncTime: map[replog.ReplicaID]time.Duration{}, counts: map[string]int{},
		open:         map[openKind]int{},
		crashAtWrite: map[replog.ReplicaID]int{},
	}
	x.net = x.newNetwork()
	x.driftPPM = []int64{0, 1000, 50_000, 150_000}[x.rng.IntN(4)]
	x.pace = x.between(2*time.Millisecond, 30*time.Millisecond)
	if x.rng.IntN(4) == 0 {
		x.pace *= 20 // with few writes, logs are often equal and rarely decide an election
	}
	x.faultGap = []time.Duration{60, 150, 400}[x.rng.IntN(3)] * time.Millisecond
	x.faultTime = []time.Duration{60, 200, 600}[x.rng.IntN(3)] * time.Millisecond
	x.leaderLife = []time.Duration{0, 0, 20, 100}[x.rng.IntN(4)] * time.Millisecond
	x.check.onLeader = x.limitLeader
	// Some runs enable only a few kinds of faults, because one kind can hide the effect of another.
	share := x.rng.Float64()
	for _, f := range faults {
		if x.rng.Float64() < share {
			x.enabled = append(x.enabled, f)
		}
	}
	opts := logsim.Options{
		Config: replog.Config{
			ElectionTimeoutMin: 100 * time.Millisecond, ElectionTimeoutMax: 200 * time.Millisecond,
			HeartbeatInterval: 25 * time.Millisecond, MaxDriftPPM: x.driftPPM,
			MaxBatchBytes: x.batchBytes(), MaxInflight: []int{1, 4, 16}[x.rng.IntN(3)],
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

func (x *run) run() {
	var initial replog.Membership
	voters := []int{1, 3, 3, 5}[x.rng.IntN(4)]
	if x.leaderLife > 0 {
		voters = 5 // committing entries of earlier terms by counting replicas fails only with 5 voters
	}
	for id := 1; id <= voters; id++ {
		initial.Voters = append(initial.Voters, replog.ReplicaID(id))
	}
	for range initial.Voters {
		x.addReplica(initial)
	}
	for range clientCount {
		x.client()
	}
	x.nextFault()
	x.sim.RunWhile(faultyTime, x.clean)
	x.heal()
	if x.clean() {
		x.checkHistory()
	}
}

func (x *run) newNetwork() *logsim.Network {
	net := logsim.NewNetwork(x.rng, time.Millisecond, 5*time.Millisecond)
	net.DuplicateDelay = 400 * time.Millisecond
	return net
}

// batchBytes returns 1, which limits appends to one entry, if leaders fail early: entries of
// several terms then remain replicated to a part of the group.
func (x *run) batchBytes() int {
	if x.leaderLife > 0 {
		return 1
	}
	return []int{1, 200, 2000}[x.rng.IntN(3)]
}

func (x *run) clean() bool { return x.check.first == "" }

func (x *run) between(low, high time.Duration) time.Duration {
	return low + time.Duration(x.rng.Int64N(int64(high-low)))
}

// addReplica starts a replica whose clock rate is within the drift bound and often at one of its
// limits.
func (x *run) addReplica(initial replog.Membership) replog.ReplicaID {
	x.lastID++
	drift := []float64{-1, 1, 2*x.rng.Float64() - 1}[x.rng.IntN(3)]
	rate := 1 + drift*float64(x.driftPPM)/1e6
	// The checker must know the replica before the first step of the replica.
	x.check.replicas = append(x.check.replicas, x.sim.Add(x.lastID, initial, rate))
	return x.lastID
}

func (x *run) anyLeader() *logsim.Replica {
	leaders := slices.DeleteFunc(slices.Clone(x.check.replicas), func(r *logsim.Replica) bool {
		return r.Core == nil || !r.Core.View().Leader
	})
	if len(leaders) == 0 {
		return nil
	}
	return leaders[x.rng.IntN(len(leaders))]
}

// heal ends all faults and checks that the group commits again and that every member catches up.
func (x *run) heal() {
	x.healing = true
	*x.net = *x.newNetwork()
	clear(x.syncTime)
	for _, r := range x.check.replicas {
		if r.Core == nil && r.ID != x.destroyed {
			r.Start()
		}
	}
	if !x.quorumAlive() {
		return
	}
	deadline, committed := faultyTime+healTime, false
	for at := faultyTime; at < deadline && x.clean() && !(committed && x.caughtUp()); at += 100 * time.Millisecond {
		x.sim.RunWhile(at, x.clean)
		if leader := x.sim.Leader(); leader != nil && !committed {
			// An error means that the leader is not ready; the next iteration retries.
			_ = leader.Propose(write{Key: healedKey}.encode(), func(o logsim.Outcome) { committed = committed || o == logsim.Committed })
		}
	}
	if x.clean() && !(committed && x.caughtUp()) {
		x.check.violated(checkProgress, "after the faults: committed %v, caught up %v", committed, x.caughtUp())
	}
}

// quorumAlive reports whether a quorum of every known membership can run. This is false only if a
// replica lost its disk while others were being removed.
func (x *run) quorumAlive() bool {
	for _, r := range x.check.replicas {
		if r.Core != nil {
			if m := r.Core.Status().Membership; m.IsVoter(x.destroyed) && len(m.Voters)-1 < m.Quorum() {
				return false
			}
		}
	}
	return true
}

func (x *run) caughtUp() bool {
	leader := x.sim.Leader()
	if leader == nil {
		return false
	}
	status := leader.Core.Status()
	for _, f := range status.Followers {
		r := x.sim.Replica(f.ID)
		if f.ID != x.destroyed && (r == nil || r.Core == nil || r.Core.View().Commit < status.Commit) {
			return false
		}
	}
	return true
}
