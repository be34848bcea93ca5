// Package faultdisk provides an in-memory disk for tests. It can fail
// operations, and it loses unsynced data at a simulated loss of power.
package faultdisk

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/godwitlink/godwitlink/internal/diskio"
)

// ErrStopped is the error of every operation after the machine has stopped.
var ErrStopped = errors.New("the machine has stopped")

// Disk is one folder in memory. SyncFolder copies the names in current to
// durable. Each file records its changes since its last sync. The mutex is
// needed because a store writes snapshots concurrently with its log.
type Disk struct {
	mutex      sync.Mutex
	current    map[string]*file
	durable    map[string]*file
	locked     bool
	operations int
	failures   map[int]error
	stopAt     int
	writeErr   error
	syncDelay  time.Duration // duration of a sync
	resumed    chan struct{} // closed when operations continue after Hang; nil if not hanging
}

type file struct {
	disk     *Disk
	data     []byte
	synced   []byte
	unsynced []change // since the last sync
}

// change is a write at an offset, or a truncation to it if data is nil.
type change struct {
	offset int
	data   []byte
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{current: map[string]*file{}, durable: map[string]*file{}, failures: map[int]error{}}
}

// OperationCount returns the number of operations that changed the disk so far.
func (d *Disk) OperationCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.operations
}

// FailAt makes the operation with the given number fail with err. Operations are
// counted as by OperationCount.
func (d *Disk) FailAt(op int, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failures[op] = err
}

// StopAt makes every operation from the given number on fail with ErrStopped.
func (d *Disk) StopAt(op int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopAt = op
}

// Stop makes every operation from now on fail with ErrStopped.
func (d *Disk) Stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopAt = d.operations + 1
}

// Stopped reports whether the next operation fails because of StopAt or Stop.
func (d *Disk) Stopped() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stopAt > 0 && d.operations+1 >= d.stopAt
}

// FailWrites makes writes and the creation of files fail with err, as on a full
// disk, until it is called with nil.
func (d *Disk) FailWrites(err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.writeErr = err
}

// Hang with true blocks every operation that changes the disk until Hang is
// called with false.
func (d *Disk) Hang(hang bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case hang && d.resumed == nil:
		d.resumed = make(chan struct{})
	case !hang && d.resumed != nil:
		close(d.resumed)
		d.resumed = nil
	}
}

// lockWhenResumed locks the mutex once the disk is not hanging.
func (d *Disk) lockWhenResumed() {
	d.mutex.Lock()
	for d.resumed != nil {
		resumed := d.resumed
		d.mutex.Unlock()
		<-resumed
		d.mutex.Lock()
	}
}

// AfterPowerLoss returns the disk as the next process finds it after a loss of
// power. Each unsynced change of a name or a file is kept or lost independently
// of the others, and a write may also be torn. In one of four calls all unsynced
// changes of files are lost.
func (d *Disk) AfterPowerLoss(random *rand.Rand) *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	names := maps.Clone(d.durable)
	maps.Copy(names, d.current)
	next := New()
	allLost := random.IntN(4) == 0
	for _, name := range sortedNames(names) {
		found := d.durable[name]
		if random.IntN(2) == 0 {
			found = d.current[name]
		}
		if found == nil {
			continue
		}
		data := slices.Clone(found.synced)
		for _, c := range found.unsynced {
			if !allLost {
				data = c.applyAfterPowerLoss(data, random)
			}
		}
		next.current[name] = &file{disk: next, data: data, synced: slices.Clone(data)}
	}
	next.durable = maps.Clone(next.current)
	return next
}

// applyAfterPowerLoss applies to data the part of a change that a loss of power
// leaves: none of it, all of it, or only the start or the end of a write.
func (c change) applyAfterPowerLoss(data []byte, random *rand.Rand) []byte {
	outcome := random.IntN(4)
	switch {
	case outcome == 0:
		return data
	case c.data == nil:
		return data[:min(c.offset, len(data))]
	}
	from, to := 0, len(c.data)
	switch {
	case to == 0:
	case outcome == 1:
		to = random.IntN(to)
	case outcome == 2:
		from = random.IntN(to)
	}
	if missing := c.offset + to - len(data); missing > 0 {
		data = append(data, make([]byte, missing)...)
	}
	copy(data[c.offset+from:], c.data[from:to])
	return data
}

// AfterKill returns the disk as the next process finds it after the process was
// killed and the machine kept running. All written data is present, and unsynced
// data is still unsynced.
func (d *Disk) AfterKill() *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next := New()
	copies := map[*file]*file{}
	copyNames := func(to, from map[string]*file) {
		for name, found := range from {
			if copies[found] == nil {
				copies[found] = &file{
					disk: next, data: slices.Clone(found.data), synced: slices.Clone(found.synced), unsynced: slices.Clone(found.unsynced),
				}
			}
			to[name] = copies[found]
		}
	}
	copyNames(next.current, d.current)
	copyNames(next.durable, d.durable)
	return next
}

func sortedNames(files map[string]*file) []string {
	return slices.Sorted(maps.Keys(files))
}

func (d *Disk) countOperation() error {
	d.operations++
	if d.stopAt > 0 && d.operations >= d.stopAt {
		return ErrStopped
	}
	return d.failures[d.operations]
}

// countWrite is countOperation for an operation that needs free space.
func (d *Disk) countWrite() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	return d.writeErr
}

// Lock implements diskio.Disk.
func (d *Disk) Lock() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.locked {
		return diskio.ErrLocked
	}
	d.locked = true
	return nil
}

// Unlock implements diskio.Disk.
func (d *Disk) Unlock() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.locked = false
	return nil
}

// List implements diskio.Disk.
func (d *Disk) List() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return sortedNames(d.current), nil
}

// Read implements diskio.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.current[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(found.data), nil
}

// Create implements diskio.Disk.
func (d *Disk) Create(name string) (diskio.File, error) {
	d.lockWhenResumed()
	defer d.mutex.Unlock()
	if err := d.countWrite(); err != nil {
		return nil, err
	}
	created := &file{disk: d}
	d.current[name] = created
	return created, nil
}

// perform runs an operation on the names or on a file of the disk.
func (d *Disk) perform(operation func()) error {
	d.lockWhenResumed()
	defer d.mutex.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	operation()
	return nil
}

// performSync is perform for a sync, which takes syncDelay before it has an
// effect.
func (d *Disk) performSync(sync func()) error {
	time.Sleep(d.syncDelay)
	return d.perform(sync)
}

// Truncate implements diskio.Disk.
func (d *Disk) Truncate(name string, size int64) error {
	return d.perform(func() { d.current[name].truncate(size) })
}

// Rename implements diskio.Disk.
func (d *Disk) Rename(from, to string) error {
	return d.perform(func() {
		d.current[to] = d.current[from]
		delete(d.current, from)
	})
}

// Remove implements diskio.Disk.
func (d *Disk) Remove(name string) error {
	return d.perform(func() { delete(d.current, name) })
}

// SyncFile implements diskio.Disk.
func (d *Disk) SyncFile(name string) error {
	return d.performSync(func() { d.current[name].sync() })
}

// SyncFolder implements diskio.Disk.
func (d *Disk) SyncFolder() error {
	return d.performSync(func() { d.durable = maps.Clone(d.current) })
}

// Write implements diskio.File. A failed write leaves the first half of the data.
func (f *file) Write(data []byte) (int, error) {
	f.disk.lockWhenResumed()
	defer f.disk.mutex.Unlock()
	err := f.disk.countWrite()
	n := len(data)
	if err != nil {
		n /= 2
	}
	if n > 0 {
		f.unsynced = append(f.unsynced, change{offset: len(f.data), data: slices.Clone(data[:n])})
	}
	f.data = append(f.data, data[:n]...)
	return n, err
}

// Sync implements diskio.File.
func (f *file) Sync() error {
	return f.disk.performSync(f.sync)
}

// Truncate implements diskio.File.
func (f *file) Truncate(size int64) error {
	return f.disk.perform(func() { f.truncate(size) })
}

// Close implements diskio.File.
func (f *file) Close() error { return nil }

func (f *file) sync() { f.synced, f.unsynced = slices.Clone(f.data), nil }

func (f *file) truncate(size int64) {
	f.unsynced = append(f.unsynced, change{offset: int(size)})
	f.data = f.data[:size]
}
