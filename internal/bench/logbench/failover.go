package logbench

import (
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

// Targets for the time from the death of a leader to the next commit.
const (
	MedianTarget = time.Second
	WorstTarget  = 3 * time.Second
)

const (
	failoverDelay = 8 * time.Millisecond // between regions
	retryInterval = 5 * time.Millisecond // of the client that waits for a leader
	settleTime    = 2 * time.Second      // between a restart and the next kill, at least
)

// Failover is the time without commits after a leader's death.
type Failover struct {
	Median, Worst time.Duration
}

// Failovers kills the leader a number of times and starts it again after the
// next commit.
func Failovers(kills int) (Failover, error) {
	sim, leader, err := newGroup(Pipelined, failoverDelay, 1)
	if err != nil {
		return Failover{}, err
	}
	rng := rand.New(rand.NewPCG(1, 0))
	var gaps []time.Duration
	for range kills {
		sim.RunUntil(sim.Now() + settleTime + time.Duration(rng.Int64N(int64(heartbeatInterval))))
		killed := leader
		killed.Crash(func(int) int { return 0 })
		died := sim.Now()
		if !commitAnywhere(sim) {
			return Failover{}, ErrNoLeader
		}
		gaps = append(gaps, sim.Now()-died)
		killed.Start()
		if leader, err = awaitLeader(sim); err != nil {
			return Failover{}, err
		}
	}
	return Failover{Median: percentile(gaps, 0.5), Worst: percentile(gaps, 1)}, nil
}

// commitAnywhere proposes at any leader until a proposal is committed.
func commitAnywhere(sim *logsim.Sim) bool {
	committed := false
	var attempt func()
	attempt = func() {
		if committed {
			return
		}
		if leader := sim.Leader(); leader != nil {
			// A refusal is answered by the next attempt.
			_ = leader.Propose(nil, func(o logsim.Outcome) { committed = committed || o == logsim.Committed })
		}
		sim.After(retryInterval, attempt)
	}
	attempt()
	sim.RunWhile(sim.Now()+electionLimit, func() bool { return !committed })
	return committed
}
