package storage

import (
	"errors"
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
)

// fillToTheLimit appends entries until one is refused, and returns its sequence number and index.
func fillToTheLimit(t *testing.T, store *Store) uint64 {
	t.Helper()
	for seq := uint64(1); ; seq++ {
		if err := handleAndComplete(t, store, Append{Seq: seq, HardState: &replog.HardState{Term: 1}, Entries: entries(seq, seq, 1)}); err != nil {
			return seq
		}
	}
}

// Checks that a follower whose log has reached its size limit can install a
// snapshot, which is the only way to shrink that log.
func TestInstallAtTheLimit(t *testing.T) {
	disk := faultdisk.New()
	opts := testOptions(disk)
	opts.LimitBytes = 1000
	store := openWithIdentity(t, opts)
	fillToTheLimit(t, store)
	// After a restart the refused append need not be repeated first.
	store.Close()
	opts.Disk = disk.AfterKill()
	store, _, err := Open(opts)
	if err != nil {
		t.Fatal(err)
	}
	for try := 0; try == 0 || try < 3 && err != nil; try++ {
		err = handleAndComplete(t, store, Append{Seq: 1, HardState: &replog.HardState{Term: 2}, Install: snapshotAt(100, 2)})
		t.Logf("try %d: %v, log of %d bytes", try, err, store.wal.sizeBytes())
	}
	if err != nil {
		t.Errorf("install of a snapshot: %v", err)
	}
}

// Guards against a group that is larger than the rest of the log's limit and is refused as a whole at
// every attempt, although a part of it fits.
func TestGroupIsStoredAsFarAsItFits(t *testing.T) {
	opts := testOptions(faultdisk.New())
	opts.LimitBytes = 1000
	store := openWithIdentity(t, opts)
	var group []Request
	for seq := uint64(1); seq <= 60; seq++ {
		group = append(group, Append{Seq: seq, Entries: entries(seq, seq, 1)})
	}
	if err := store.handleGroup(group); err != nil {
		t.Fatal(err)
	}
	stored := 0
	for range group {
		if (<-store.completions).Err == nil {
			stored++
		}
	}
	if stored == 0 || stored == len(group) {
		t.Errorf("%d of %d appends stored, want a part", stored, len(group))
	}
}

// Guards against a log at its limit that cannot be cut, because the hard state that its snapshot needs
// was refused with the entries behind it.
func TestSnapshotOfARefusedTerm(t *testing.T) {
	disk := faultdisk.New()
	opts := testOptions(disk)
	opts.LimitBytes = 1000
	store := openWithIdentity(t, opts)
	seq := fillToTheLimit(t, store)
	refused := Append{Seq: seq, HardState: &replog.HardState{Term: 2, Vote: 2}, Entries: entries(seq, seq, 2)}
	if err := handleAndComplete(t, store, refused); !errors.Is(err, ErrDiskFull) {
		t.Fatalf("append of the new term: %v, want ErrDiskFull", err)
	}
	if err := handleAndComplete(t, store, SaveSnapshot{*snapshotAt(seq, 2)}); err != nil {
		t.Fatalf("snapshot of the new term: %v", err)
	}
	if _, recovered, err := Open(testOptions(disk.AfterKill())); err != nil || checkReplicaStarts(recovered) != nil {
		t.Errorf("recovered %+v, error %v, start %v", recovered.HardState, err, checkReplicaStarts(recovered))
	}
	if err := handleAndComplete(t, store, refused); err != nil {
		t.Errorf("repeated append: %v", err)
	}
}
