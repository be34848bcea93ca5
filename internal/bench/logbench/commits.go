package logbench

import (
	"time"

	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

// commandBytes is the size of a proposed command, about that of a BeginRequest of core/state.
const commandBytes = 200

// CommitRow is the measurement of one configuration.
type CommitRow struct {
	PerSecond float64       // commits per second of virtual time
	P50, P99  time.Duration // from the proposal to its application on the leader
}

// MeasureCommits measures commits with a constant number of proposals in flight for a period.
func MeasureCommits(mode Mode, delay time.Duration, inFlight int, period time.Duration) (CommitRow, error) {
	sim, leader, err := newGroup(mode, newNetwork(delay))
	if err != nil {
		return CommitRow{}, err
	}
	var delays []time.Duration
	end := sim.Now() + period
	var proposeNext func()
	proposeNext = func() {
		proposed := sim.Now()
		// A refused proposal is not repeated, which shows as a lower rate.
		_ = leader.Propose(make([]byte, commandBytes), func(outcome logsim.Outcome) {
			if outcome != logsim.Committed {
				return
			}
			delays = append(delays, sim.Now()-proposed)
			sim.After(0, proposeNext)
		})
	}
	for range inFlight {
		proposeNext()
	}
	sim.RunUntil(end)
	return CommitRow{
		PerSecond: float64(len(delays)) / period.Seconds(),
		P50:       percentile(delays, 0.50),
		P99:       percentile(delays, 0.99),
	}, nil
}
