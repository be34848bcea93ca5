package replog_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

// slowLinks are links on which messages wait for each other and are lost if they take too long.
type slowLinks struct {
	bytesPerSecond int
	timeout        time.Duration
	sim            *logsim.Sim
	busyUntil      map[replog.ReplicaID]time.Duration // by receiver
	sentBytes      int
}

func (l *slowLinks) delays(m replog.Message) []time.Duration {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	l.sentBytes += size
	now := time.Duration(0)
	if l.sim != nil {
		now = l.sim.Now()
	}
	arrival := max(l.busyUntil[m.To], now) + time.Duration(size)*time.Second/time.Duration(l.bytesPerSecond)
	if arrival-now > l.timeout {
		return nil
	}
	l.busyUntil[m.To] = arrival
	return []time.Duration{arrival - now + time.Millisecond}
}

// Guards against a replica that never catches up, and against a leader that sends it the same entries
// again and again, because appends of the largest size do not arrive in time (rule LOST on the large site).
func TestSlowReplicaCatchesUp(t *testing.T) {
	const missed, entryBytes = 400, 10_000
	links := &slowLinks{bytesPerSecond: 500_000, timeout: time.Second, busyUntil: map[replog.ReplicaID]time.Duration{}}
	sim, leader := startTestGroup(t, func(o *logsim.Options) {
		o.Config = testConfig
		o.Config.MaxBatchBytes, o.Config.MaxInflight = 1<<20, 64
		o.Delays, o.SnapshotEvery = links.delays, 0
	})
	links.sim = sim
	follower := sim.Replica(leader.ID%3 + 1)
	follower.Crash(func(int) int { return 0 })
	sim.RunUntil(3 * time.Second)
	command := append(write{}.encode(), bytes.Repeat([]byte(" "), entryBytes)...)
	for range missed {
		if err := leader.Propose(command, func(logsim.Outcome) {}); err != nil {
			t.Fatal(err)
		}
		sim.RunUntil(sim.Now() + 30*time.Millisecond)
	}
	links.sentBytes = 0
	follower.Start()
	sim.RunUntil(sim.Now() + 30*time.Second)
	if commit := follower.Core.Status().Commit; commit < missed {
		t.Errorf("commit %d on the replica after 30 s, want %d", commit, missed)
	}
	if limit := 4 * missed * entryBytes; links.sentBytes > limit {
		t.Errorf("%d bytes sent for a backlog of %d", links.sentBytes, missed*entryBytes)
	}
}
