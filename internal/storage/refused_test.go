package storage

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
)

// checkReplicaStarts returns the error of starting a replica with a recovered
// log.
func checkReplicaStarts(r Recovered) error {
	_, err := replog.New(replog.Config{
		ID: 1, Membership: replog.Membership{Voters: []replog.ReplicaID{1}}, ElectionTimeoutMin: time.Second,
		ElectionTimeoutMax: 2 * time.Second, HeartbeatInterval: 100 * time.Millisecond, MaxBatchBytes: 1 << 20, MaxInflight: 1, MaxPending: 1,
		HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries,
	}, time.Unix(0, 0))
	return err
}

// Checks that no snapshot with a later term than the stored hard state is saved,
// because the replica could not start with it. The replica sends such a snapshot
// before it knows that the append in front of it was refused.
func TestSnapshotBehindARefusedAppend(t *testing.T) {
	for name, refuse := range map[string]func(*Options, *faultdisk.Disk){
		"limit": func(o *Options, _ *faultdisk.Disk) {},
		"disk":  func(_ *Options, d *faultdisk.Disk) { d.FailAt(d.OperationCount()+1, syscall.ENOSPC) },
	} {
		disk := faultdisk.New()
		opts := testOptions(disk)
		opts.SegmentBytes = 1 << 20
		if name == "limit" {
			opts.LimitBytes = 400
		}
		store := openWithIdentity(t, opts)
		if err := handleAndComplete(t, store, Append{Seq: 1, HardState: &replog.HardState{Term: 1, Vote: 1}, Entries: entries(1, 4, 1)}); err != nil {
			t.Fatal(err)
		}
		refuse(&opts, disk)
		err := store.handleGroup([]Request{
			Append{Seq: 2, HardState: &replog.HardState{Term: 2, Vote: 3}, Entries: entries(5, 14, 2)},
			SaveSnapshot{*snapshotAt(8, 2)},
		})
		if err == nil && store.savingSnapshot {
			err = store.completeSnapshot(<-store.snapshotResults)
		}
		if err != nil {
			t.Fatal(err)
		}
		first := <-store.completions
		second := <-store.completions
		t.Logf("%s: append %v, snapshot %v", name, first.Err, second.Err)
		if !errors.Is(first.Err, ErrDiskFull) {
			t.Fatalf("append: %v, want ErrDiskFull", first.Err)
		}
		_, recovered, err := Open(testOptions(disk.AfterKill()))
		if err != nil {
			t.Fatal(err)
		}
		if err := checkReplicaStarts(recovered); err != nil {
			t.Errorf("%s: hard state %+v, snapshot %d of term %d: %v", name, recovered.HardState, recovered.Snapshot.Index, recovered.Snapshot.Term, err)
		}
	}
}

// Checks that the log has no gap after a full disk has refused the later part of
// a group and the whole group is sent again.
func TestDurablePartOfARefusedGroupIsNotRepeated(t *testing.T) {
	disk := faultdisk.New()
	opts := testOptions(disk)
	opts.SegmentBytes, opts.EntriesPerSync = 1<<20, 1
	store := openWithIdentity(t, opts)
	group := []Append{
		{Seq: 1, HardState: &replog.HardState{Term: 1}, Entries: entries(1, 3, 1)},
		{Seq: 2, Entries: entries(4, 4, 1)},
		{Seq: 3, HardState: &replog.HardState{Term: 2}, Entries: entries(2, 3, 2)},
	}
	serve := func(appends ...Append) (refused []Append) {
		t.Helper()
		var requests []Request
		for _, request := range appends {
			requests = append(requests, request)
		}
		if err := store.handleGroup(requests); err != nil {
			t.Fatal(err)
		}
		for _, request := range appends {
			if c := <-store.completions; c.Err != nil {
				refused = append(refused, request)
			}
		}
		return refused
	}
	if refused := serve(group[0]); len(refused) > 0 {
		t.Fatal("the first append is refused")
	}
	disk.FailAt(disk.OperationCount()+5, syscall.ENOSPC) // the write of the second entry of append 3
	refused := serve(group[1:]...)
	if len(refused) == 0 {
		t.Fatal("nothing is refused")
	}
	if again := serve(refused...); len(again) > 0 {
		t.Fatalf("%d appends are refused with room again", len(again))
	}
	want := model{hardState: replog.HardState{Term: 2}, entries: append(entries(1, 1, 1), entries(2, 3, 2)...)}
	checkRecovers(t, "after the repeat", disk.AfterKill(), want)
}

// Checks that a repeated install does not remove its own snapshot file together
// with the older ones.
func TestRepeatedInstallKeepsItsSnapshot(t *testing.T) {
	disk := faultdisk.New()
	store := openWithIdentity(t, testOptions(disk))
	if err := handleAndComplete(t, store, Append{Seq: 1, HardState: &replog.HardState{Term: 1}, Entries: entries(1, 2, 1)}); err != nil {
		t.Fatal(err)
	}
	install := Append{Seq: 2, Install: snapshotAt(46, 1), Entries: entries(47, 48, 1)}
	for _, request := range []Request{install, SaveSnapshot{*snapshotAt(47, 1)}} {
		// The creation of the new segment fails. It follows the five operations of
		// the snapshot file.
		disk.FailAt(disk.OperationCount()+6, syscall.ENOSPC)
		if err := handleAndComplete(t, store, request); !errors.Is(err, ErrDiskFull) {
			t.Fatalf("error %v, want ErrDiskFull", err)
		}
	}
	if err := handleAndComplete(t, store, install); err != nil {
		t.Fatal(err)
	}
	want := model{hardState: replog.HardState{Term: 1}, snapshot: 46, entries: entries(47, 48, 1)}
	checkRecovers(t, "after the repeat", disk.AfterKill(), want)
}
