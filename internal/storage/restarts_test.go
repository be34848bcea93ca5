package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
)

// Restarts a store on one folder several times with random faults: refusals by a
// full disk, kills and losses of power, also during recovery. Every recovery must
// return the completed requests and everything that an earlier recovery returned.
// Tests with a single stop do not find faults that need several restarts.
func TestRepeatedRestarts(t *testing.T) {
	const restarts = 12
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(testSeed, seed))
		disk := faultdisk.New()
		states := []model{{}}
		identityCreated := false
		for restart := range restarts {
			at := fmt.Sprintf("seed %d, restart %d", seed, restart)
			disk = interruptRecovery(t, at, disk, random)
			store, recovered, err := Open(testOptions(disk))
			if err != nil {
				t.Fatalf("%s: %v; files %v", at, err, listNames(t, disk))
			}
			got := recoveredModel(recovered)
			if !slices.ContainsFunc(states, func(m model) bool { return m.String() == got.String() }) {
				var want []string
				for _, m := range states {
					want = append(want, m.String())
				}
				t.Fatalf("%s:\n got %s\nwant one of\n%s", at, got, strings.Join(want, "\n"))
			}
			if err := checkReplicaStarts(recovered); err != nil {
				t.Fatalf("%s: %v", at, err)
			}
			disk.StopAt(disk.OperationCount() + 1 + random.IntN(120))
			state := got
			if store.identity == nil {
				if identityCreated {
					t.Fatalf("%s: the identity is gone", at)
				}
				if err := createIdentity(store); err != nil {
					states = []model{state}
					disk = diskAfterStop(disk, random)
					continue
				}
				identityCreated = true
			}
			states = runStoreUntilStop(t, at, store, disk, state, random)
			disk = diskAfterStop(disk, random)
		}
	}
}

// interruptRecovery stops the machine during a recovery with a probability of one
// third. It returns the disk for the next start.
func interruptRecovery(t *testing.T, at string, disk *faultdisk.Disk, random *rand.Rand) *faultdisk.Disk {
	t.Helper()
	if random.IntN(3) > 0 {
		return disk
	}
	disk.StopAt(1 + random.IntN(8))
	if _, _, err := Open(testOptions(disk)); err != nil && !errors.Is(err, ErrFailed) {
		t.Fatalf("%s, interrupted recovery: %v", at, err)
	}
	return diskAfterStop(disk, random)
}

func diskAfterStop(disk *faultdisk.Disk, random *rand.Rand) *faultdisk.Disk {
	if random.IntN(2) == 0 {
		return disk.AfterKill()
	}
	return disk.AfterPowerLoss(random)
}

// runStoreUntilStop sends requests until the machine stops and returns the states
// that the next recovery may return. A refused snapshot adds states, because its
// file may exist nevertheless.
func runStoreUntilStop(t *testing.T, at string, store *Store, disk *faultdisk.Disk, state model, random *rand.Rand) []model {
	possible := []model{state}
	for seq := uint64(1); ; {
		if random.IntN(6) == 0 {
			disk.FailAt(disk.OperationCount()+1+random.IntN(6), syscall.ENOSPC)
		}
		request := nextRequest(state, seq, random)
		appended, isAppend := request.(Append)
		var before, after []model
		for _, m := range possible {
			before = append(before, m)
			after = append(after, m.apply(request))
			if isAppend && appended.Install != nil {
				voted := m
				voted.hardState = *appended.HardState
				before = append(before, voted, model{hardState: *appended.HardState, snapshot: appended.Install.Index})
			}
		}
		for refused := true; refused; {
			if err := handleRequest(store, request); err != nil {
				if !errors.Is(err, ErrFailed) {
					t.Fatalf("%s: %v", at, err)
				}
				return append(before, after...)
			}
			refused = (<-store.completions).Err != nil
			if refused && !isAppend {
				after = append(before, after...)
				break
			}
		}
		possible = after
		state = state.apply(request)
		if isAppend {
			seq++
		}
	}
}

func nextRequest(state model, seq uint64, random *rand.Rand) Request {
	last := state.last()
	term := max(state.hardState.Term, 1)
	switch random.IntN(10) {
	case 0:
		if len(state.entries) > 1 {
			i := random.IntN(len(state.entries))
			return SaveSnapshot{*snapshotAt(state.entries[i].Index, state.entries[i].Term)}
		}
	case 1:
		index := last + 1 + random.Uint64N(20)
		if random.IntN(2) == 0 && len(state.entries) > 3 {
			index = state.snapshot + 1 + random.Uint64N(uint64(len(state.entries)))
		}
		return Append{Seq: seq, HardState: &replog.HardState{Term: term + 1}, Install: snapshotAt(index, term+1), Entries: entries(index+1, index+random.Uint64N(3), term+1)}
	case 2:
		return Append{Seq: seq, HardState: &replog.HardState{Term: term + 1, Vote: replog.ReplicaID(1 + random.IntN(5))}}
	case 3:
		if len(state.entries) > 2 {
			from := state.snapshot + 2 + random.Uint64N(uint64(len(state.entries)-1))
			return Append{Seq: seq, HardState: &replog.HardState{Term: term + 1}, Entries: entries(from, from+random.Uint64N(4), term+1)}
		}
	}
	hard := replog.HardState{Term: term, Vote: state.hardState.Vote}
	return Append{Seq: seq, HardState: &hard, Entries: entries(last+1, last+1+random.Uint64N(4), term)}
}
