package logbench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

// The control group of docs/design.md, section 2.2, with the time-outs of section 7.
const (
	voters             = 5
	electionTimeoutMin = 400 * time.Millisecond
	electionTimeoutMax = 800 * time.Millisecond
	heartbeatInterval  = 100 * time.Millisecond
	syncTime           = time.Millisecond // assumed duration of a write and sync on a VM's disk
	electionWaitLimit  = 10 * time.Second // an election that takes longer is reported as ErrNoLeader
)

// ErrNoLeader is returned if a group elects no leader or does not commit within electionWaitLimit.
var ErrNoLeader = merry.Sentinel("no leader was elected")

// Mode is a configuration of the append messages to a follower.
type Mode struct {
	Name          string
	maxBatchBytes int
	maxInflight   int
}

// Modes of the comparison.
var (
	Pipelined = Mode{Name: "pipelined", maxBatchBytes: 256 << 10, maxInflight: 64}
	// OneByOne sends one entry per append and has one append in flight.
	OneByOne = Mode{Name: "one-by-one", maxBatchBytes: 1, maxInflight: 1}
)

// seed is the fixed seed of all random values, which makes the figures reproducible.
const seed = 1

// newNetwork returns a network with one fixed delay.
func newNetwork(delay time.Duration) *logsim.Network {
	return logsim.NewNetwork(rand.New(rand.NewPCG(seed, 0)), delay, delay)
}

// newGroup starts a group and waits for its leader.
func newGroup(mode Mode, net *logsim.Network) (*logsim.Sim, *logsim.Replica, error) {
	sim := logsim.New(logsim.Options{
		Config: replog.Config{
			ElectionTimeoutMin: electionTimeoutMin, ElectionTimeoutMax: electionTimeoutMax,
			HeartbeatInterval: heartbeatInterval, MaxDriftPPM: 1000,
			MaxBatchBytes: mode.maxBatchBytes, MaxInflight: mode.maxInflight,
			MaxPending: 10_000, Seed: seed,
		},
		Delays:        net.Delays,
		SyncTime:      func(replog.ReplicaID) time.Duration { return syncTime },
		SnapshotEvery: 10_000,
		NewMachine:    func(replog.ReplicaID) logsim.Machine { return discardMachine{} },
	})
	var initial replog.Membership
	for id := range voters {
		initial.Voters = append(initial.Voters, replog.ReplicaID(id+1))
	}
	for _, id := range initial.Voters {
		sim.Add(id, initial, 1)
	}
	leader, err := awaitLeader(sim)
	return sim, leader, err
}

// awaitLeader runs until a leader has committed an entry of its term.
func awaitLeader(sim *logsim.Sim) (*logsim.Replica, error) {
	ready := func() bool {
		leader := sim.Leader()
		return leader != nil && leader.Core.Status().Ready
	}
	sim.RunWhile(sim.Now()+electionWaitLimit, func() bool { return !ready() })
	if !ready() {
		return nil, merry.Wrap(ErrNoLeader)
	}
	return sim.Leader(), nil
}

// discardMachine is a state machine that discards all entries.
type discardMachine struct{}

func (discardMachine) Apply(replog.Entry) {}
func (discardMachine) Snapshot() []byte   { return nil }
func (discardMachine) Restore([]byte)     {}

// percentile returns the value that the share p of the values does not exceed.
func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(p*float64(len(sorted)-1))]
}
