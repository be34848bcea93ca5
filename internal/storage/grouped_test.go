package storage

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
)

var (
	groupedSeed = flag.Uint64("grouped.seed", 0, "first seed of TestRefusedGroupsLoseNothing")
	groupedRuns = flag.Uint64("grouped.runs", 800, "number of runs of TestRefusedGroupsLoseNothing, with consecutive seeds")
)

// Checks that after a full disk has refused groups of requests the folder can be
// recovered, has all completed appends and has no entry that was never written.
// Each seed restarts the store several times after a kill or a loss of power.
func TestRefusedGroupsLoseNothing(t *testing.T) {
	const restarts = 12
	for seed := *groupedSeed; seed < *groupedSeed+*groupedRuns; seed++ {
		random := rand.New(rand.NewPCG(testSeed, seed))
		disk := faultdisk.New()
		client := newGroupClient(openWithIdentity(t, testOptions(disk)), disk, Recovered{}, random)
		for restart := range restarts {
			at := fmt.Sprintf("seed %d, restart %d", seed, restart)
			disk = interruptRecovery(t, at, diskAfterStop(disk, random), random)
			store, recovered, err := Open(groupedOptions(disk, random))
			if err != nil {
				t.Fatalf("%s: %v; files %v", at, err, listNames(t, disk))
			}
			if store.identity == nil {
				t.Fatalf("%s: the identity is gone", at)
			}
			if err := errors.Join(checkReplicaStarts(recovered), client.checkKept(recovered)); err != nil {
				t.Fatalf("%s: %v", at, err)
			}
			disk.StopAt(disk.OperationCount() + 1 + random.IntN(150))
			client = newGroupClient(store, disk, recovered, random)
			if err := client.run(); err != nil && !errors.Is(err, ErrFailed) {
				t.Fatalf("%s: %v", at, err)
			}
		}
	}
}

func groupedOptions(disk *faultdisk.Disk, random *rand.Rand) Options {
	opts := testOptions(disk)
	opts.EntriesPerSync = random.IntN(4)
	opts.SegmentBytes = []int64{1, testSegmentBytes, testSegmentBytes, 2000}[random.IntN(4)]
	if random.IntN(4) == 0 {
		opts.LimitBytes = 500 + random.Int64N(3000)
	}
	return opts
}

// groupClient uses a store as the replica task does: it sends appends before
// earlier ones are completed, repeats refused ones in order, and saves one
// snapshot at a time. A client lasts until the next kill or loss of power.
type groupClient struct {
	random         *rand.Rand
	disk           *faultdisk.Disk
	store          *Store
	states         []model // state before the first append of this client, then after each append
	completed      int     // number of completed appends
	uncompleted    []Append
	mailbox        []Request
	pending        int // requests sent to the store and not completed
	diskFull       bool
	commit         uint64
	snapshots      []replog.Snapshot // recovered, taken and installed
	savingSnapshot bool
	snapshotResult *snapshotResult // written, but not yet passed to completeSnapshot
}

func newGroupClient(store *Store, disk *faultdisk.Disk, recovered Recovered, random *rand.Rand) *groupClient {
	c := &groupClient{random: random, disk: disk, store: store, states: []model{recoveredModel(recovered)}}
	if recovered.Snapshot != nil {
		c.commit, c.snapshots = recovered.Snapshot.Index, []replog.Snapshot{*recovered.Snapshot}
	}
	return c
}

// run uses the store until the machine stops, or for 400 steps.
func (c *groupClient) run() error {
	defer c.takeCompletions()
	for range 400 {
		if err := c.step(); err != nil {
			return err
		}
		if c.random.IntN(2) == 0 {
			c.takeCompletions()
		}
	}
	return nil
}

func (c *groupClient) step() error {
	switch c.random.IntN(10) {
	case 0, 1, 2:
		c.sendAppend()
	case 3:
		if last := c.state().last(); last > c.commit {
			c.commit += 1 + c.random.Uint64N(last-c.commit)
		}
	case 4:
		c.takeSnapshot()
	case 5:
		return c.finishSnapshot()
	case 6:
		c.repeatRefused()
	case 7:
		c.changeFreeSpace()
	default:
		return c.handleGroup()
	}
	return nil
}

func (c *groupClient) state() model { return c.states[len(c.states)-1] }

func (c *groupClient) submit(request Request) {
	c.pending++
	c.mailbox = append(c.mailbox, request)
}

func (c *groupClient) sendAppend() {
	if len(c.uncompleted) >= 20 {
		return
	}
	request := c.nextAppend()
	request.Seq = uint64(len(c.states))
	if request.Install != nil {
		c.commit, c.snapshots = request.Install.Index, append(c.snapshots, *request.Install)
	}
	c.states = append(c.states, c.state().apply(request))
	c.uncompleted = append(c.uncompleted, request)
	if !c.diskFull {
		c.submit(request)
	}
}

func (c *groupClient) nextAppend() Append {
	last, stored := c.state().last(), c.state().hardState
	term := max(stored.Term, 1)
	request := Append{Entries: c.entriesFrom(last+1, term)}
	switch c.random.IntN(12) {
	case 0:
		index := c.commit + 1 + c.random.Uint64N(20)
		// A leader does not send a snapshot of its own term that ends at an entry the
		// follower already has.
		if index <= last || c.random.IntN(2) == 0 {
			term++
		}
		request = Append{Install: snapshotAt(index, term), Entries: entries(index+1, index+c.random.Uint64N(3), term)}
	case 1:
		return Append{HardState: &replog.HardState{Term: term + 1, Vote: replog.ReplicaID(1 + c.random.IntN(5))}}
	case 2, 3, 4, 5:
		term++
		request = Append{Entries: c.entriesFrom(c.commit+1+c.random.Uint64N(last-c.commit+1), term)}
	}
	if term != stored.Term {
		request.HardState = &replog.HardState{Term: term}
	}
	return request
}

func (c *groupClient) entriesFrom(first, term uint64) []replog.Entry {
	return entries(first, first+c.random.Uint64N(5), term)
}

func (c *groupClient) takeSnapshot() {
	entry, exists := c.state().entry(c.commit)
	if c.diskFull || c.savingSnapshot || !exists {
		return
	}
	if n := len(c.snapshots); n > 0 && c.snapshots[n-1].Index >= c.commit {
		return
	}
	taken := *snapshotAt(entry.Index, entry.Term)
	c.savingSnapshot, c.snapshots = true, append(c.snapshots, taken)
	c.submit(SaveSnapshot{taken})
}

// finishSnapshot passes a written snapshot to the store, which may have handled
// other requests since the snapshot was written.
func (c *groupClient) finishSnapshot() error {
	if c.snapshotResult == nil {
		return nil
	}
	saved := *c.snapshotResult
	c.snapshotResult = nil
	return c.store.completeSnapshot(saved)
}

func (c *groupClient) repeatRefused() {
	if !c.diskFull || c.pending > 0 {
		return
	}
	for _, request := range c.uncompleted {
		c.submit(request)
	}
}

func (c *groupClient) changeFreeSpace() {
	switch c.random.IntN(6) {
	case 0, 1, 2:
		c.disk.FailAt(c.disk.OperationCount()+1+c.random.IntN(12), syscall.ENOSPC)
	case 3:
		c.disk.FailWrites(syscall.ENOSPC)
	default:
		c.disk.FailWrites(nil)
	}
}

// handleGroup passes a group of requests to the store. A SaveSnapshot is always the
// last of its group: its file is written concurrently with later requests, and
// the result for a seed must not depend on the scheduling.
func (c *groupClient) handleGroup() error {
	size := min(1+c.random.IntN(8), len(c.mailbox))
	isSnapshot := func(request Request) bool { _, is := request.(SaveSnapshot); return is }
	if i := slices.IndexFunc(c.mailbox[:size], isSnapshot); i >= 0 {
		size = i + 1
	}
	group := c.mailbox[:size]
	c.mailbox = c.mailbox[size:]
	err := c.store.handleGroup(group)
	if c.store.savingSnapshot && c.snapshotResult == nil {
		saved := <-c.store.snapshotResults
		c.snapshotResult = &saved
	}
	return err
}

func (c *groupClient) takeCompletions() {
	for len(c.store.completions) > 0 {
		completion := <-c.store.completions
		c.pending--
		switch {
		case completion.Snapshot != 0:
			c.savingSnapshot = false
		case completion.Err != nil:
			c.diskFull = true
		default:
			c.completed++
			c.uncompleted = c.uncompleted[1:]
			c.diskFull = c.diskFull && len(c.uncompleted) > 0
		}
	}
}

// checkKept returns an error if completed appends are missing after a restart or
// if the folder holds an entry that no append had. Appends that were not
// completed may be present in part.
func (c *groupClient) checkKept(recovered Recovered) error {
	got, possible := recoveredModel(recovered), c.states[c.completed:]
	if !slices.ContainsFunc(possible, func(m model) bool { return m.hardState == got.hardState }) {
		return fmt.Errorf("hard state %v, completed %v", got.hardState, possible[0].hardState)
	}
	if err := c.checkSnapshot(recovered.Snapshot); err != nil {
		return err
	}
	if err := checkNotInvented(got, possible); err != nil {
		return err
	}
	return checkNotLost(recovered, possible)
}

func (c *groupClient) checkSnapshot(found *replog.Snapshot) error {
	if found == nil {
		found = &replog.Snapshot{}
	}
	if completed := c.states[c.completed].snapshot; found.Index < completed {
		return fmt.Errorf("snapshot %d, completed %d", found.Index, completed)
	}
	isFound := func(s replog.Snapshot) bool {
		return s.Index == found.Index && s.Term == found.Term && bytes.Equal(s.Data, found.Data)
	}
	if found.Index > 0 && !slices.ContainsFunc(c.snapshots, isFound) {
		return fmt.Errorf("snapshot %d of term %d, which was never sent", found.Index, found.Term)
	}
	return nil
}

func checkNotInvented(got model, possible []model) error {
	for i, entry := range got.entries {
		if index := got.snapshot + 1 + uint64(i); entry.Index != index {
			return fmt.Errorf("entry %d at the place of %d", entry.Index, index)
		}
		if !slices.ContainsFunc(possible, func(m model) bool { return m.holds(entry) }) {
			return fmt.Errorf("entry %d is %q, which is in no state since the last completed append", entry.Index, entry.Data)
		}
	}
	return nil
}

// checkNotLost checks the entries of the first possible state, which holds the
// completed appends. A later append replaces all entries from its first index
// on, so the check ends at the first entry that was replaced.
func checkNotLost(recovered Recovered, possible []model) error {
	got, completed := recoveredModel(recovered), possible[0]
	if covered, exists := completed.entry(got.snapshot); exists && covered.Term != recovered.Snapshot.Term {
		return nil
	}
	for _, entry := range completed.entries {
		switch {
		case entry.Index <= got.snapshot:
		case entry.Index > got.last():
			if !slices.ContainsFunc(possible, func(m model) bool { return m.last() < entry.Index }) {
				return fmt.Errorf("entry %d was completed; snapshot %d, last entry %d", entry.Index, got.snapshot, got.last())
			}
		case !got.holds(entry):
			return nil
		}
	}
	return nil
}

// entry returns the entry at index unless the snapshot covers it.
func (m model) entry(index uint64) (replog.Entry, bool) {
	if index <= m.snapshot || index > m.last() {
		return replog.Entry{}, false
	}
	return m.entries[index-m.snapshot-1], true
}

func (m model) holds(entry replog.Entry) bool {
	own, exists := m.entry(entry.Index)
	return exists && own.Term == entry.Term && bytes.Equal(own.Data, entry.Data)
}
