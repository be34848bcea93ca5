package replog_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

// Guards against entries that are sent again and again because appends overtake each other on their way,
// and against a lost append that is waited for without end.
func TestReorderedAppendsAreSentOnce(t *testing.T) {
	const entries = 1000
	for _, lossPercent := range []int{0, 2} {
		rng := rand.New(rand.NewPCG(1, 0))
		sent := 0
		sim, leader := startTestGroup(t, func(o *logsim.Options) {
			o.Config, o.SnapshotEvery = testConfig, 0
			o.Config.MaxInflight = 64
			o.Delays = func(m replog.Message) []time.Duration {
				sent += len(m.Entries)
				if len(m.Entries) > 0 && rng.IntN(100) < lossPercent {
					return nil
				}
				return []time.Duration{time.Duration(1+rng.IntN(20)) * time.Millisecond}
			}
		})
		sent = 0
		for range entries {
			if err := leader.Propose(write{}.encode(), func(logsim.Outcome) {}); err != nil {
				t.Fatal(err)
			}
			sim.RunUntil(sim.Now() + 3*time.Millisecond)
		}
		sim.RunUntil(sim.Now() + 2*time.Second)
		for id := replog.ReplicaID(1); id <= 3; id++ {
			if commit := sim.Replica(id).Core.Status().Commit; commit < entries {
				t.Errorf("loss of %d percent: commit %d on replica %d, want %d", lossPercent, commit, id, entries)
			}
		}
		if needed := 2 * entries; lossPercent == 0 && sent > needed {
			t.Errorf("%d entries sent, want %d", sent, needed)
		}
	}
}
