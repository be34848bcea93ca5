package replica_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
	"github.com/godwitlink/godwitlink/internal/storage"
)

const (
	randomSeed  = 7
	randomKills = 6
	// retryInterval is the wait between feed calls while there is no leader.
	retryInterval = 50 * time.Millisecond
	// callerStride separates the keys of the callers.
	callerStride = 1_000_000
)

// Guards against lost or repeated commands and against replicas that differ. Replicas are killed
// and restarted at random while callers commit commands. Afterwards every answered command must be
// known, no invariant may be violated, and all folders must contain the same entries and states.
func TestRandomKills(t *testing.T) {
	group := startGroup(t, 3, func(o *replica.Options) { o.SnapshotEveryEntries = 300 })
	applyFile(t, group, cellFile(t, "turnos.toml"))
	joinEntryProcess(t, group)
	keepPollingFeed(t, group)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	answered := make([][]int, 4)
	for caller := range answered {
		callers.Go(func() { answered[caller] = commitUntil(t, group, stop, caller*callerStride) })
	}
	random := rand.New(rand.NewPCG(randomSeed, 0))
	for range randomKills {
		victim := random.IntN(3)
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
		if err := group.Kill(victim); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		if err := group.Restart(victim); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	callers.Wait()
	t.Logf("%d commands committed", len(slices.Concat(answered...)))
	for _, keys := range answered {
		callers.Go(func() { checkNotDispatchedAgain(t, group, keys) })
	}
	callers.Wait()
	compareFolders(t, group, func(i int) diskio.Disk {
		disk, err := diskio.NewFolder(group.Folder(i))
		if err != nil {
			t.Fatal(err)
		}
		return disk
	}, 0, 1, 2)
	checkViolations(t, group)
}

// checkViolations fails the test if a replica has counted a violated invariant.
func checkViolations(t *testing.T, group *localgroup.Group) {
	t.Helper()
	if text := group.Metrics.Text(); strings.Contains(text, "control_violations_total") {
		t.Errorf("violated invariants:\n%s", text)
	}
}

// keepPollingFeed polls the feed for the entry process of beginRequest until the test ends, so
// that the entry process stays a member.
func keepPollingFeed(t *testing.T, group *localgroup.Group) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); <-done })
	go func() {
		defer close(done)
		request := &rpcpb.FeedRequest{Entry: "entry-1", EntryIncarnation: 1, MaxWaitMillis: 500}
		for ctx.Err() == nil {
			// The poll fails while there is no leader.
			if response, err := group.Client().Feed(ctx, request); err == nil {
				request.MembersVersion, request.Generation = response.MembersVersion, 1
				continue
			}
			time.Sleep(retryInterval)
		}
	}()
}

// commitUntil commits commands one after the other until stop is closed, and returns the keys of
// the answered ones.
func commitUntil(t *testing.T, group *localgroup.Group, stop <-chan struct{}, first int) []int {
	var answered []int
	for i := first; ; i++ {
		select {
		case <-stop:
			return answered
		default:
		}
		if result, err := group.Client().Propose(callContext(t), beginRequest(i, 1)); err != nil || result.Request == nil || !result.Request.Dispatch {
			t.Errorf("command %d: %+v, error %v", i, result, err)
			return answered
		}
		answered = append(answered, i)
	}
}

// checkNotDispatchedAgain sends answered commands again as another attempt and checks that none is
// dispatched.
func checkNotDispatchedAgain(t *testing.T, group *localgroup.Group, keys []int) {
	for _, i := range keys {
		result, err := group.Client().Propose(callContext(t), beginRequest(i, 2))
		if err != nil || result.Request == nil || result.Request.Dispatch {
			t.Errorf("command %d may be dispatched again: %+v, error %v", i, result, err)
			return
		}
	}
}

// compareFolders stops the group and compares the stored entries and states of the replicas up to
// the index that all of them have applied.
func compareFolders(t *testing.T, group *localgroup.Group, disk func(int) diskio.Disk, replicas ...int) {
	t.Helper()
	report, err := group.Replica(leaderOf(t, group)).Report(callContext(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range replicas {
		awaitApplied(t, group, i, report.Applied)
	}
	if err := group.Close(); err != nil {
		t.Fatal(err)
	}
	entries := map[uint64]replog.Entry{}
	states := map[uint64][]byte{}
	for _, i := range replicas {
		recovered, err := storage.Inspect(disk(i))
		if err != nil {
			t.Fatal(err)
		}
		compareReplica(t, i, recovered, report.Applied, entries, states)
	}
}

func compareReplica(t *testing.T, i int, recovered storage.Recovered, last uint64, entries map[uint64]replog.Entry, states map[uint64][]byte) {
	t.Helper()
	current := state.New()
	if s := recovered.Snapshot; s != nil {
		decoded, err := codec.DecodeSnapshot(s.Data)
		if err != nil {
			t.Fatal(err)
		}
		if current, err = state.Restore(decoded); err != nil {
			t.Fatal(err)
		}
	}
	for _, entry := range recovered.Entries {
		if entry.Index > last {
			break
		}
		known, seen := entries[entry.Index]
		if seen && fmt.Sprint(known) != fmt.Sprint(entry) {
			t.Fatalf("replica %d differs at entry %d", i+1, entry.Index)
		}
		entries[entry.Index] = entry
		if entry.Kind != replog.EntryCommand {
			continue
		}
		command, err := codec.DecodeCommand(entry.Data)
		if err != nil {
			t.Fatal(err)
		}
		command.Term = entry.Term
		current.Apply(entry.Index, command)
	}
	encoded, err := codec.EncodeSnapshot(current.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	index := current.Snapshot().Index
	if known, seen := states[index]; seen && !bytes.Equal(known, encoded) {
		t.Errorf("replica %d has another state at entry %d", i+1, index)
	}
	states[index] = encoded
}
