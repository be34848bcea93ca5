// Package faultdisk is a disk in memory for tests that loses what was not
// synced, as a machine does that loses power.
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

// ErrDead is the error of every operation after the machine has stopped.
var ErrDead = errors.New("the machine has stopped")

// Disk is one folder. Names live in current until SyncFolder copies them to
// durable; the changes of a file since its last sync are kept apart. The mutex
// stands for the kernel: a store writes snapshots beside its log.
type Disk struct {
	mutex   sync.Mutex
	current map[string]*file
	durable map[string]*file
	locked  bool
	ops     int
	fail    map[int]error
	dieAt   int
	refuse  error
	syncs   time.Duration // what a sync takes
	hung    chan struct{} // closed when the disk answers again; nil where it does
}

type file struct {
	disk   *Disk
	data   []byte
	synced []byte
	since  []change // after the last sync
}

// change is a write at an offset, or a cut at it where data is nil.
type change struct {
	at   int
	data []byte
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{current: map[string]*file{}, durable: map[string]*file{}, fail: map[int]error{}}
}

// Ops returns the number of operations that changed the disk so far.
func (d *Disk) Ops() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.ops
}

// FailAt lets the operation with a number fail, counted as by Ops.
func (d *Disk) FailAt(op int, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fail[op] = err
}

// DieAt lets every operation from a number on fail with ErrDead.
func (d *Disk) DieAt(op int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.dieAt = op
}

// Die lets every operation from now on fail with ErrDead.
func (d *Disk) Die() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.dieAt = d.ops + 1
}

// Dead reports whether the next operation fails because of DieAt or Die.
func (d *Disk) Dead() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.dieAt > 0 && d.ops+1 >= d.dieAt
}

// RefuseWrites lets writes and new files fail with err until it is called with
// nil, as a full disk does.
func (d *Disk) RefuseWrites(err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refuse = err
}

// Hang keeps every operation that changes the disk waiting until it is called
// with false.
func (d *Disk) Hang(hang bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case hang && d.hung == nil:
		d.hung = make(chan struct{})
	case !hang && d.hung != nil:
		close(d.hung)
		d.hung = nil
	}
}

// begin locks the disk once it answers.
func (d *Disk) begin() {
	d.mutex.Lock()
	for d.hung != nil {
		hung := d.hung
		d.mutex.Unlock()
		<-hung
		d.mutex.Lock()
	}
}

// AfterPowerLoss returns the disk as the next start finds it. Each change of a
// name or a file since the last sync is kept, lost or, where it is a write,
// torn, independently of the others; at some losses all changes of files are
// lost.
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
		for _, c := range found.since {
			if !allLost {
				data = c.survive(data, random)
			}
		}
		next.current[name] = &file{disk: next, data: data, synced: slices.Clone(data)}
	}
	next.durable = maps.Clone(next.current)
	return next
}

// survive returns what a loss of power leaves of a change: nothing, all of it,
// or of a write only its front or its end.
func (c change) survive(data []byte, random *rand.Rand) []byte {
	fate := random.IntN(4)
	switch {
	case fate == 0:
		return data
	case c.data == nil:
		return data[:min(c.at, len(data))]
	}
	from, to := 0, len(c.data)
	switch {
	case to == 0:
	case fate == 1:
		to = random.IntN(to)
	case fate == 2:
		from = random.IntN(to)
	}
	if missing := c.at + to - len(data); missing > 0 {
		data = append(data, make([]byte, missing)...)
	}
	copy(data[c.at+from:], c.data[from:to])
	return data
}

// AfterKill returns the disk as the next process finds it while the machine
// runs on: everything written is there, and what was not synced still is not.
func (d *Disk) AfterKill() *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next := New()
	copies := map[*file]*file{}
	copyNames := func(to, from map[string]*file) {
		for name, found := range from {
			if copies[found] == nil {
				copies[found] = &file{
					disk: next, data: slices.Clone(found.data), synced: slices.Clone(found.synced), since: slices.Clone(found.since),
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

func (d *Disk) step() error {
	d.ops++
	if d.dieAt > 0 && d.ops >= d.dieAt {
		return ErrDead
	}
	return d.fail[d.ops]
}

// write is step for an operation that needs room.
func (d *Disk) write() error {
	if err := d.step(); err != nil {
		return err
	}
	return d.refuse
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
	d.begin()
	defer d.mutex.Unlock()
	if err := d.write(); err != nil {
		return nil, err
	}
	made := &file{disk: d}
	d.current[name] = made
	return made, nil
}

// perform carries out an operation on the names or a file of the disk.
func (d *Disk) perform(operation func()) error {
	d.begin()
	defer d.mutex.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	operation()
	return nil
}

// performSync is perform for a sync, which takes its time before it has an
// effect.
func (d *Disk) performSync(sync func()) error {
	time.Sleep(d.syncs)
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

// Write implements diskio.File. An interrupted write leaves a part behind.
func (f *file) Write(data []byte) (int, error) {
	f.disk.begin()
	defer f.disk.mutex.Unlock()
	err := f.disk.write()
	n := len(data)
	if err != nil {
		n /= 2
	}
	if n > 0 {
		f.since = append(f.since, change{at: len(f.data), data: slices.Clone(data[:n])})
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

func (f *file) sync() { f.synced, f.since = slices.Clone(f.data), nil }

func (f *file) truncate(size int64) {
	f.since = append(f.since, change{at: int(size)})
	f.data = f.data[:size]
}
