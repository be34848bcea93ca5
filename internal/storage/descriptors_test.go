package storage

import (
	"syscall"
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
)

// shortDisk has no file descriptor for every second operation that opens a file.
type shortDisk struct {
	diskio.Disk
	operations, failures int
}

func (d *shortDisk) open() error {
	d.operations++
	if d.operations%2 == 0 {
		return nil
	}
	d.failures++
	return syscall.EMFILE
}

func (d *shortDisk) Lock() error {
	if err := d.open(); err != nil {
		return err
	}
	return d.Disk.Lock()
}

func (d *shortDisk) List() ([]string, error) {
	if err := d.open(); err != nil {
		return nil, err
	}
	return d.Disk.List()
}

func (d *shortDisk) Read(name string) ([]byte, error) {
	if err := d.open(); err != nil {
		return nil, err
	}
	return d.Disk.Read(name)
}

func (d *shortDisk) Create(name string) (diskio.File, error) {
	if err := d.open(); err != nil {
		return nil, err
	}
	return d.Disk.Create(name)
}

func (d *shortDisk) SyncFile(name string) error {
	if err := d.open(); err != nil {
		return err
	}
	return d.Disk.SyncFile(name)
}

func (d *shortDisk) SyncFolder() error {
	if err := d.open(); err != nil {
		return err
	}
	return d.Disk.SyncFolder()
}

// Guards against a process that ends, or refuses an append, because its connections have used up the file
// descriptors when a segment or a snapshot is to be opened.
func TestLackOfDescriptorsFailsNoWrite(t *testing.T) {
	faults := faultdisk.New()
	disk := &shortDisk{Disk: faults}
	opts := testOptions(faults)
	opts.Disk, opts.SegmentBytes = disk, 1
	store := openWithIdentity(t, opts)
	for index := uint64(1); index <= 4; index++ {
		request := Append{Seq: index, HardState: &replog.HardState{Term: 1}, Entries: entries(index, index, 1)}
		if err := handleAndComplete(t, store, request); err != nil {
			t.Fatalf("append %d: %v", index, err)
		}
	}
	if err := store.handleGroup([]Request{SaveSnapshot{*snapshotAt(3, 1)}}); err != nil {
		t.Fatal(err)
	}
	if err := store.completeSnapshot(<-store.snapshotResults); err != nil {
		t.Fatal(err)
	}
	if saved := <-store.completions; saved.Err != nil {
		t.Fatalf("snapshot: %v", saved.Err)
	}
	if disk.failures < 10 {
		t.Errorf("only %d operations had no descriptor", disk.failures)
	}
	_, recovered, err := Open(testOptions(faults.AfterKill()))
	if err != nil || len(recovered.Entries) == 0 || recovered.Entries[len(recovered.Entries)-1].Index != 4 {
		t.Errorf("recovered %+v, error %v", recovered, err)
	}
}
