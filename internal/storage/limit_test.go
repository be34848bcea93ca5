package storage

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
)

// Checks that a follower whose log has reached its size limit can install a
// snapshot, which is the only way to shrink that log.
func TestInstallAtTheLimit(t *testing.T) {
	disk := faultdisk.New()
	opts := testOptions(disk)
	opts.LimitBytes = 1000
	store := openWithIdentity(t, opts)
	seq := uint64(1)
	for ; ; seq++ {
		if err := handleAndComplete(t, store, Append{Seq: seq, HardState: &replog.HardState{Term: 1}, Entries: entries(seq, seq, 1)}); err != nil {
			break
		}
	}
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
