package replog_test

import (
	"errors"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

var testConfig = replog.Config{
	ElectionTimeoutMin: 400 * time.Millisecond, ElectionTimeoutMax: 800 * time.Millisecond,
	HeartbeatInterval: 100 * time.Millisecond, MaxDriftPPM: 1000,
	MaxBatchBytes: 1000, MaxInflight: 8, MaxPending: 600, Seed: 1,
}

// newTestGroup starts three replicas and waits until their leader is ready. sent counts the
// messages of each type.
func newTestGroup(t *testing.T, snapshotEvery uint64, sent map[replog.MessageType]int) (*logsim.Sim, *logsim.Replica) {
	t.Helper()
	return startTestGroup(t, func(o *logsim.Options) {
		o.Config, o.SnapshotEvery = testConfig, snapshotEvery
		o.Delays = func(m replog.Message) []time.Duration {
			sent[m.Type]++
			return []time.Duration{time.Millisecond}
		}
	})
}

// startTestGroup starts three replicas and waits until their leader is ready.
func startTestGroup(t *testing.T, setOptions func(*logsim.Options)) (*logsim.Sim, *logsim.Replica) {
	t.Helper()
	x := newRun(1, setOptions)
	x.maxLeaderLifetime, x.driftPPM = 0, 0
	for range 3 {
		x.addReplica(replog.Membership{Voters: []replog.ReplicaID{1, 2, 3}})
	}
	t.Cleanup(func() {
		if !x.noViolation() {
			t.Error(x.check.firstViolation)
		}
	})
	x.sim.RunUntil(time.Second)
	if x.sim.Leader() == nil {
		t.Fatal("no leader")
	}
	return x.sim, x.sim.Leader()
}

// Guards against a replica that cannot catch up after it missed hundreds of entries. It receives
// them from the leader's log, or in a snapshot if the log was compacted.
func TestCatchUp(t *testing.T) {
	const missed = 500
	for snapshotEvery, wantSnapshots := range map[uint64]int{0: 0, 100: 1} {
		sent := map[replog.MessageType]int{}
		sim, leader := newTestGroup(t, snapshotEvery, sent)
		follower := sim.Replica(leader.ID%3 + 1)
		follower.Crash(func(int) int { return 0 })
		sim.RunUntil(3 * time.Second)
		for range missed {
			if err := leader.Propose(write{}.encode(), func(logsim.Outcome) {}); err != nil {
				t.Fatal(err)
			}
			sim.RunUntil(sim.Now() + 5*time.Millisecond)
		}
		follower.Start()
		sim.RunUntil(sim.Now() + 300*time.Millisecond)
		commit := follower.Core.Status().Commit
		if commit < missed || sent[replog.MessageSnapshot] != wantSnapshots {
			t.Errorf("snapshot every %d: commit %d, %d snapshots sent", snapshotEvery, commit, sent[replog.MessageSnapshot])
		}
	}
}

// Guards against a leader that accepts invalid proposals or membership changes, delays reads under
// a valid lease, or transfers leadership only after an election timeout.
func TestLeaderCalls(t *testing.T) {
	sim, leader := newTestGroup(t, 0, map[replog.MessageType]int{})
	target := leader.ID%3 + 1
	leader.Do(func(c *replog.Core, now time.Time) {
		if err := c.ReadBarrier(now, 1<<40); err != nil || len(c.Effects().Reads) != 1 {
			t.Errorf("read under the lease not completed immediately, error %v", err)
		}
		if _, _, err := c.Propose(now, make([][]byte, testConfig.MaxPending+1)); !errors.Is(err, replog.ErrOverloaded) {
			t.Errorf("proposals above MaxPending: error %v", err)
		}
		if err := c.ChangeMembership(now, replog.Membership{Voters: []replog.ReplicaID{1, 2, 3, 4}}); !errors.Is(err, replog.ErrInvalidChange) {
			t.Errorf("adding a voter that is not a learner: error %v", err)
		}
		if err := c.TransferLeadership(now, target); err != nil {
			t.Error(err)
		}
		if _, _, err := c.Propose(now, [][]byte{nil}); !errors.Is(err, replog.ErrTransferring) || !errors.Is(err, replog.ErrNotLeader) {
			t.Errorf("proposal during a transfer: error %v", err)
		}
	})
	sim.RunUntil(sim.Now() + 50*time.Millisecond)
	if got := sim.Leader(); got.ID != target || !got.Core.Status().Ready {
		t.Errorf("leader %d after the transfer, want %d", got.ID, target)
	}
}

// Guards against a vote by a replica that may have lost its log. A replica with an empty log must
// reject vote requests unless it is a voter of the initial membership.
func TestEmptyLogVotes(t *testing.T) {
	for id, want := range map[replog.ReplicaID]bool{3: true, 4: false} {
		cfg := testConfig
		cfg.ID, cfg.Membership = id, replog.Membership{Voters: []replog.ReplicaID{1, 2, 3}}
		core, err := replog.New(cfg, time.Unix(0, 0))
		if err != nil {
			t.Fatal(err)
		}
		core.Step(time.Unix(1, 0), replog.Message{Type: replog.MessageVote, From: 1, To: id, Term: 1})
		responses := core.Effects().AfterSync
		if len(responses) != 1 || responses[0].Reject == want {
			t.Errorf("replica %d: responses %+v, want vote granted: %v", id, responses, want)
		}
	}
}
