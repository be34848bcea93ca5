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
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

const testSeed = 11

// testSegmentBytes is so small that a few dozen appends fill several segments.
const testSegmentBytes = 300

func testOptions(disk diskio.Disk) Options {
	return Options{Disk: disk, Replica: 1, Logger: eventlog.Nop(), Metrics: metrics.New(), SegmentBytes: testSegmentBytes}
}

func entries(first, last, term uint64) []replog.Entry {
	var all []replog.Entry
	for i := first; i <= last; i++ {
		all = append(all, replog.Entry{Index: i, Term: term, Kind: replog.EntryCommand, Data: fmt.Appendf(nil, "command %d of term %d", i, term)})
	}
	return all
}

func snapshotAt(index, term uint64) *replog.Snapshot {
	return &replog.Snapshot{Index: index, Term: term, Data: fmt.Appendf(nil, "state at %d", index)}
}

// workload returns requests that include appends that replace the end of the
// log, snapshots that remove segments, and an installed snapshot that replaces
// the log.
func workload() []Request {
	requests := []Request{
		Append{HardState: &replog.HardState{Term: 1, Vote: 1}},
		Append{Entries: entries(1, 4, 1)},
		Append{Entries: entries(5, 9, 1)},
		Append{Entries: entries(10, 14, 1)},
		SaveSnapshot{*snapshotAt(8, 1)},
		Append{HardState: &replog.HardState{Term: 2, Vote: 2}, Entries: entries(12, 15, 2)},
		Append{Entries: entries(16, 20, 2)},
		SaveSnapshot{*snapshotAt(15, 2)},
		Append{HardState: &replog.HardState{Term: 3}, Install: snapshotAt(30, 3), Entries: entries(31, 33, 3)},
		Append{Entries: entries(34, 38, 3)},
		SaveSnapshot{*snapshotAt(36, 3)},
		Append{HardState: &replog.HardState{Term: 4}, Entries: entries(37, 37, 4)},
	}
	seq := uint64(0)
	for i, request := range requests {
		if request, ok := request.(Append); ok {
			seq++
			request.Seq = seq
			requests[i] = request
		}
	}
	return requests
}

// model is the state that recovery of a folder is expected to return.
type model struct {
	hardState replog.HardState
	snapshot  uint64
	entries   []replog.Entry // after the snapshot
}

func (m model) apply(request Request) model {
	switch request := request.(type) {
	case SaveSnapshot:
		m.entries = m.entries[request.Snapshot.Index-m.snapshot:]
		m.snapshot = request.Snapshot.Index
	case Append:
		if request.HardState != nil {
			m.hardState = *request.HardState
		}
		if request.Install != nil {
			m.snapshot, m.entries = request.Install.Index, nil
		}
		if len(request.Entries) > 0 {
			keep := request.Entries[0].Index - m.snapshot - 1
			m.entries = append(m.entries[:keep:keep], request.Entries...)
		}
	}
	return m
}

func (m model) last() uint64 { return m.snapshot + uint64(len(m.entries)) }

func (m model) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v snapshot %d:", m.hardState, m.snapshot)
	for _, entry := range m.entries {
		fmt.Fprintf(&b, " %d/%d=%s", entry.Index, entry.Term, entry.Data)
	}
	return b.String()
}

func recoveredModel(r Recovered) model {
	m := model{hardState: r.HardState, entries: r.Entries}
	if r.Snapshot != nil {
		m.snapshot = r.Snapshot.Index
	}
	return m
}

// Checks that a replica can start with the recovered log, whichever operation the
// process was stopped at.
func TestRecoveredLogStarts(t *testing.T) {
	for stopAt := 1; ; stopAt++ {
		disk := faultdisk.New()
		disk.StopAt(stopAt)
		if _, pending := runUntilStop(t, disk); pending == nil {
			return
		}
		_, recovered, err := Open(testOptions(disk.AfterKill()))
		if err != nil {
			t.Fatal(err)
		}
		if err := checkReplicaStarts(recovered); err != nil {
			t.Errorf("stop at %d: %v", stopAt, err)
		}
	}
}

// allowedStates returns the states that recovery may return if the machine stopped
// while request was being handled.
func allowedStates(before model, request Request) []string {
	states := []string{before.String(), before.apply(request).String()}
	if install, ok := request.(Append); ok && install.Install != nil {
		// The hard state is written first, because the log must not have a later
		// term than the hard state.
		voted := before
		if install.HardState != nil {
			voted.hardState = *install.HardState
		}
		installed := model{hardState: voted.hardState, snapshot: install.Install.Index}
		states = append(states, voted.String(), installed.String())
	}
	return states
}

// Stops the machine at every write, sync, rename and removal of a workload.
// Recovery must return all completed requests and at most the one that was being
// handled, and the recovered store must accept further appends.
func TestRecoversFromStopAtEveryOperation(t *testing.T) {
	for seed := range uint64(32) {
		for stopAt := 1; ; stopAt++ {
			disk := faultdisk.New()
			disk.StopAt(stopAt)
			before, pending := runUntilStop(t, disk)
			if pending == nil {
				break
			}
			random := rand.New(rand.NewPCG(testSeed, seed))
			restarted := disk.AfterPowerLoss(random)
			store, recovered, err := Open(testOptions(restarted))
			if err != nil {
				t.Fatalf("stop at %d, seed %d: %v", stopAt, seed, err)
			}
			checkAllowed(t, fmt.Sprintf("stop at %d, seed %d", stopAt, seed), recovered, before, pending)
			checkAppendAfterRestart(t, restarted, store, recoveredModel(recovered))
		}
	}
}

// Checks that recovery syncs what it returns. Otherwise a process that was killed
// before a sync ended would, after its restart, rely on an entry, a term or a
// vote that the next loss of power removes.
func TestRecoveredStateSurvivesPowerLoss(t *testing.T) {
	for seed := range uint64(32) {
		for stopAt := 1; ; stopAt++ {
			disk := faultdisk.New()
			disk.StopAt(stopAt)
			if _, pending := runUntilStop(t, disk); pending == nil {
				break
			}
			killed := disk.AfterKill()
			store, recovered, err := Open(testOptions(killed))
			if err != nil {
				t.Fatalf("kill at %d, seed %d: %v", stopAt, seed, err)
			}
			state := recoveredModel(recovered)
			random := rand.New(rand.NewPCG(testSeed, seed))
			at := fmt.Sprintf("kill at %d, seed %d, loss of power after the start", stopAt, seed)
			checkRecovers(t, at, killed.AfterPowerLoss(random), state)
			state = appendNext(t, store, state)
			at = fmt.Sprintf("kill at %d, seed %d, loss of power after an append", stopAt, seed)
			checkRecovers(t, at, killed.AfterPowerLoss(random), state)
		}
	}
}

// Stops the machine at every operation of a recovery and then lets it lose power.
// The next recovery must still return all completed requests.
func TestRecoversFromStopInRecovery(t *testing.T) {
	for seed := range uint64(16) {
		for stopAt := 1; ; stopAt++ {
			disk := faultdisk.New()
			disk.StopAt(stopAt)
			before, pending := runUntilStop(t, disk)
			if pending == nil {
				break
			}
			for stop := 1; ; stop++ {
				random := rand.New(rand.NewPCG(testSeed+seed, uint64(stop)))
				second := disk.AfterKill()
				if random.IntN(2) == 0 {
					second = disk.AfterPowerLoss(random)
				}
				second.StopAt(stop)
				if _, _, err := Open(testOptions(second)); err == nil {
					break // the recovery ended before this operation
				}
				at := fmt.Sprintf("stop at %d, then at %d of the recovery, seed %d", stopAt, stop, seed)
				_, recovered, err := Open(testOptions(second.AfterPowerLoss(random)))
				if err != nil {
					t.Fatalf("%s: %v", at, err)
				}
				checkAllowed(t, at, recovered, before, pending)
			}
		}
	}
}

func checkAllowed(t *testing.T, at string, recovered Recovered, before model, pending Request) {
	t.Helper()
	got, want := recoveredModel(recovered).String(), allowedStates(before, pending)
	if !slices.Contains(want, got) {
		t.Fatalf("%s:\n got %s\nwant one of %s", at, got, strings.Join(want, "\n"))
	}
}

func checkRecovers(t *testing.T, at string, disk *faultdisk.Disk, want model) {
	t.Helper()
	_, recovered, err := Open(testOptions(disk))
	if err != nil {
		t.Errorf("%s: %v", at, err)
		return
	}
	if got := recoveredModel(recovered).String(); got != want.String() {
		t.Errorf("%s:\n got %s\nwant %s", at, got, want)
	}
}

// runUntilStop runs the workload until the machine stops. It returns the state
// after all completed requests and the request that was not completed, or nil if
// the whole workload was completed.
func runUntilStop(t *testing.T, disk *faultdisk.Disk) (model, Request) {
	t.Helper()
	state := model{}
	store, _, err := Open(testOptions(disk))
	if errors.Is(err, ErrFailed) {
		return state, CreateIdentity{}
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := createIdentity(store); err != nil {
		return state, CreateIdentity{}
	}
	for _, request := range workload() {
		if err := handleRequest(store, request); err != nil {
			if !errors.Is(err, ErrFailed) {
				t.Fatalf("error %v is not ErrFailed", err)
			}
			return state, request
		}
		<-store.completions
		state = state.apply(request)
	}
	return state, nil
}

// checkAppendAfterRestart appends to a recovered store, restarts it and checks
// the recovered state.
func checkAppendAfterRestart(t *testing.T, disk *faultdisk.Disk, store *Store, state model) {
	t.Helper()
	state = appendNext(t, store, state)
	store.Close()
	checkRecovers(t, "after the restart", disk, state)
}

// appendNext appends entries if the store has an identity and returns the
// resulting state.
func appendNext(t *testing.T, store *Store, state model) model {
	t.Helper()
	if store.identity == nil {
		return state
	}
	next := state.last() + 1
	request := Append{Seq: 1, HardState: &replog.HardState{Term: 9}, Entries: entries(next, next+2, 9)}
	if err := store.handleGroup([]Request{request}); err != nil {
		t.Fatal(err)
	}
	return state.apply(request)
}

// Checks that a failed sync ends the task with ErrFailed, because the content of
// the file is unknown, and that a sync that fails with ENOSPC is not treated as a
// full disk.
func TestFailedSyncIsFatal(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		disk := faultdisk.New()
		store, _, err := Open(testOptions(disk))
		if err != nil {
			t.Fatal(err)
		}
		if err := store.handleGroup([]Request{Append{Seq: 1, HardState: &replog.HardState{Term: 1}}}); err != nil {
			t.Fatal(err)
		}
		disk.FailAt(disk.OperationCount()+2, cause) // after the write of the record
		err = store.handleGroup([]Request{Append{Seq: 2, HardState: &replog.HardState{Term: 2}}})
		if !errors.Is(err, ErrFailed) {
			t.Errorf("%v: error %v, want ErrFailed", cause, err)
		}
	}
}

// Checks that a full disk does not end the task or lose a completed append, and
// that later appends are refused until the refused one has been repeated.
func TestFullDiskRefusesUntilRoom(t *testing.T) {
	disk := faultdisk.New()
	store := openWithIdentity(t, testOptions(disk))
	first := Append{Seq: 1, Entries: entries(1, 2, 1)}
	second := Append{Seq: 2, Entries: entries(3, 4, 1)}
	third := Append{Seq: 3, Entries: entries(5, 6, 1)}
	if err := handleAndComplete(t, store, first); err != nil {
		t.Fatal(err)
	}
	disk.FailAt(disk.OperationCount()+1, syscall.ENOSPC)
	if err := handleAndComplete(t, store, second); !errors.Is(err, ErrDiskFull) {
		t.Fatalf("error %v, want ErrDiskFull", err)
	}
	if err := handleAndComplete(t, store, third); !errors.Is(err, ErrDiskFull) {
		t.Fatalf("append after a refused one: error %v, want ErrDiskFull", err)
	}
	for _, request := range []Append{second, third} {
		if err := handleAndComplete(t, store, request); err != nil {
			t.Fatalf("append %d with room again: %v", request.Seq, err)
		}
	}
	store.Close()
	_, recovered, err := Open(testOptions(disk))
	if err != nil || len(recovered.Entries) != 6 {
		t.Fatalf("%d entries, error %v, want 6", len(recovered.Entries), err)
	}
}

// Checks that the truncation after a refused write is durable. Otherwise the
// partial record could reappear after a loss of power in a segment that is no
// longer the last one.
func TestCutOfRefusedWriteIsDurable(t *testing.T) {
	for seed := range uint64(100) {
		disk := faultdisk.New()
		store := openWithIdentity(t, testOptions(disk))
		second := Append{Seq: 2, Entries: entries(5, 9, 1)}
		if err := handleAndComplete(t, store, Append{Seq: 1, HardState: &replog.HardState{Term: 1}, Entries: entries(1, 4, 1)}); err != nil {
			t.Fatal(err)
		}
		disk.FailAt(disk.OperationCount()+1, syscall.ENOSPC)
		if err := handleAndComplete(t, store, second); !errors.Is(err, ErrDiskFull) {
			t.Fatalf("error %v, want ErrDiskFull", err)
		}
		if err := errors.Join(handleAndComplete(t, store, SaveSnapshot{*snapshotAt(3, 1)}), handleAndComplete(t, store, second)); err != nil {
			t.Fatal(err)
		}
		want := model{hardState: replog.HardState{Term: 1}, snapshot: 3, entries: entries(4, 9, 1)}
		checkRecovers(t, fmt.Sprintf("seed %d", seed), disk.AfterPowerLoss(rand.New(rand.NewPCG(testSeed, seed))), want)
	}
}

// Checks that LimitBytes is enforced and that EntriesPerSync drops no entries.
func TestOptionsOfWriting(t *testing.T) {
	disk := faultdisk.New()
	opts := testOptions(disk)
	opts.EntriesPerSync = 1
	opts.LimitBytes = 600
	store := openWithIdentity(t, opts)
	if err := store.handleGroup([]Request{Append{Seq: 1, Entries: entries(1, 5, 1)}, Append{Seq: 2, Entries: entries(6, 60, 1)}}); err != nil {
		t.Fatal(err)
	}
	if first, second := <-store.completions, <-store.completions; first.Err != nil || !errors.Is(second.Err, ErrDiskFull) {
		t.Fatalf("group above the limit: %v and %v, want nil and ErrDiskFull", first.Err, second.Err)
	}
	store.Close()
	_, recovered, err := Open(testOptions(disk))
	if err != nil || len(recovered.Entries) < 5 {
		t.Fatalf("%d entries, error %v, want at least 5", len(recovered.Entries), err)
	}
}

// Checks that a snapshot of the replica's own state does not replace a newer
// snapshot that was installed while the older one was being written.
func TestInstalledSnapshotOutlivesOlderOne(t *testing.T) {
	disk := faultdisk.New()
	store := openWithIdentity(t, testOptions(disk))
	saved := snapshotResult{index: 4, err: store.writeSnapshot(*snapshotAt(4, 1))}
	requests := []Request{
		Append{Seq: 1, HardState: &replog.HardState{Term: 2}, Entries: entries(1, 6, 1)},
		Append{Seq: 2, Install: snapshotAt(30, 2)},
	}
	if err := errors.Join(store.handleGroup(requests), store.completeSnapshot(saved)); err != nil {
		t.Fatal(err)
	}
	store.Close()
	_, recovered, err := Open(testOptions(disk))
	if err != nil || recovered.Snapshot == nil || recovered.Snapshot.Index != 30 {
		t.Fatalf("snapshot %+v, error %v, want index 30", recovered.Snapshot, err)
	}
	if names := strings.Join(listNames(t, disk), " "); strings.Contains(names, snapshotName(4)) {
		t.Errorf("the older snapshot was not removed: %s", names)
	}
}

func listNames(t *testing.T, disk diskio.Disk) []string {
	t.Helper()
	names, err := disk.List()
	if err != nil {
		t.Fatal(err)
	}
	return names
}
