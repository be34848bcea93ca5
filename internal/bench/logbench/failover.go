package logbench

import (
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

// Targets for the time from the loss of a leader to the next commit.
const (
	MedianTarget = time.Second
	WorstTarget  = 3 * time.Second
)

const (
	failoverDelay   = 8 * time.Millisecond // one-way network delay, as between regions
	retryInterval   = 5 * time.Millisecond // between the proposals of the client that waits for a leader
	minRestartPause = 2 * time.Second      // minimum time between the return of a leader and the next loss
)

// Failover is the time without commits after the loss of a leader.
type Failover struct {
	Median, Worst time.Duration
}

// LeaderLoss is a way in which a group loses its leader.
type LeaderLoss string

// Ways to lose a leader.
const (
	LeaderKilled LeaderLoss = "killed"
	LeaderCutOff LeaderLoss = "cut off" // still runs, but is separated by a network partition
)

// MeasureFailovers removes the leader a number of times. Each time it measures the time until the
// next commit under a new leader, and then restores the removed replica.
func MeasureFailovers(loss LeaderLoss, times int) (Failover, error) {
	net := newNetwork(failoverDelay)
	sim, leader, err := newGroup(Pipelined, net)
	if err != nil {
		return Failover{}, err
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	var gaps []time.Duration
	for range times {
		sim.RunUntil(sim.Now() + minRestartPause + time.Duration(rng.Int64N(int64(heartbeatInterval))))
		lostAt := sim.Now()
		term := leader.Core.Status().Term
		restore := removeLeader(loss, net, leader)
		if !commitAfter(sim, term) {
			return Failover{}, merry.Wrap(ErrNoLeader)
		}
		gaps = append(gaps, sim.Now()-lostAt)
		restore()
		if leader, err = awaitLeader(sim); err != nil {
			return Failover{}, err
		}
	}
	return Failover{Median: percentile(gaps, 0.5), Worst: percentile(gaps, 1)}, nil
}

func removeLeader(loss LeaderLoss, net *logsim.Network, leader *logsim.Replica) (restore func()) {
	if loss == LeaderKilled {
		leader.Crash(func(int) int { return 0 })
		return leader.Start
	}
	var others []replog.ReplicaID
	for _, f := range leader.Core.Status().Followers {
		others = append(others, f.ID)
	}
	links := logsim.LinksBetween(leader.ID, others...)
	net.Cut(links)
	return func() { net.Restore(links) }
}

// commitAfter proposes to leaders of later terms until a proposal is committed. It reports false if
// none is committed within electionWaitLimit.
func commitAfter(sim *logsim.Sim, term uint64) bool {
	committed := false
	var attempt func()
	attempt = func() {
		if committed {
			return
		}
		if leader := sim.Leader(); leader != nil && leader.Core.Status().Term > term {
			// A refused proposal is repeated by the next attempt.
			_ = leader.Propose(nil, func(o logsim.Outcome) { committed = committed || o == logsim.Committed })
		}
		sim.After(retryInterval, attempt)
	}
	attempt()
	sim.RunWhile(sim.Now()+electionWaitLimit, func() bool { return !committed })
	return committed
}
