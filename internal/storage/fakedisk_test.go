package storage

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"sort"
)

var errDead = errors.New("the machine has stopped")

// fakeDisk is a folder in memory that loses what was not synced. Names live in
// current until SyncFolder copies them to durable; bytes count as durable up
// to the synced length of their file.
type fakeDisk struct {
	current map[string]*fakeFile
	durable map[string]*fakeFile
	locked  bool
	ops     int           // operations that change the disk so far
	fail    map[int]error // error of the operation with that number
	dieAt   int           // from this operation on everything fails; 0 for never
}

type fakeFile struct {
	disk   *fakeDisk
	data   []byte
	synced []byte
}

func newFakeDisk() *fakeDisk {
	return &fakeDisk{current: map[string]*fakeFile{}, durable: map[string]*fakeFile{}, fail: map[int]error{}}
}

// afterPowerLoss returns the disk as the next start finds it: of the unsynced
// bytes of each file a random part was written, and each unsynced change of a
// name is kept or lost independently.
func (d *fakeDisk) afterPowerLoss(random *rand.Rand) *fakeDisk {
	next := newFakeDisk()
	for _, name := range d.allNames() {
		file := d.durable[name]
		if random.IntN(2) == 0 {
			file = d.current[name]
		}
		if file == nil {
			continue
		}
		data := append([]byte(nil), file.synced...)
		if extra := len(file.data) - len(data); extra > 0 {
			data = append(data, file.data[len(data):len(data)+random.IntN(extra+1)]...)
		}
		next.current[name] = &fakeFile{disk: next, data: data, synced: data}
	}
	next.syncNames()
	return next
}

// afterKill returns the disk as the next process finds it while the machine
// runs on: everything written is there, and what was not synced still is not.
func (d *fakeDisk) afterKill() *fakeDisk {
	next := newFakeDisk()
	copies := map[*fakeFile]*fakeFile{}
	copyNames := func(to, from map[string]*fakeFile) {
		for name, file := range from {
			if copies[file] == nil {
				copies[file] = &fakeFile{disk: next, data: append([]byte(nil), file.data...), synced: append([]byte(nil), file.synced...)}
			}
			to[name] = copies[file]
		}
	}
	copyNames(next.current, d.current)
	copyNames(next.durable, d.durable)
	return next
}

// allNames returns the names of before and after the unsynced changes.
func (d *fakeDisk) allNames() []string {
	names := maps.Clone(d.durable)
	maps.Copy(names, d.current)
	return sortedNames(names)
}

func sortedNames(files map[string]*fakeFile) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (d *fakeDisk) step() error {
	d.ops++
	if d.dieAt > 0 && d.ops >= d.dieAt {
		return errDead
	}
	return d.fail[d.ops]
}

func (d *fakeDisk) syncNames() {
	d.durable = map[string]*fakeFile{}
	for name, file := range d.current {
		d.durable[name] = file
	}
}

func (d *fakeDisk) Lock() error {
	if d.locked {
		return ErrLocked
	}
	d.locked = true
	return nil
}

func (d *fakeDisk) Unlock() error { d.locked = false; return nil }

func (d *fakeDisk) List() ([]string, error) { return sortedNames(d.current), nil }

func (d *fakeDisk) Read(name string) ([]byte, error) {
	file, ok := d.current[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), file.data...), nil
}

func (d *fakeDisk) Create(name string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	file := &fakeFile{disk: d}
	d.current[name] = file
	return file, nil
}

func (d *fakeDisk) Truncate(name string, size int64) error {
	if err := d.step(); err != nil {
		return err
	}
	file := d.current[name]
	file.data = file.data[:size]
	file.synced = append([]byte(nil), file.data...)
	return nil
}

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.current[to] = d.current[from]
	delete(d.current, from)
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.current, name)
	return nil
}

func (d *fakeDisk) SyncFile(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	file := d.current[name]
	file.synced = append([]byte(nil), file.data...)
	return nil
}

func (d *fakeDisk) SyncFolder() error {
	if err := d.step(); err != nil {
		return err
	}
	d.syncNames()
	return nil
}

func (f *fakeFile) Write(data []byte) (int, error) {
	err := f.disk.step()
	n := len(data)
	if err != nil {
		n /= 2 // an interrupted write leaves a part behind
	}
	f.data = append(f.data, data[:n]...)
	return n, err
}

func (f *fakeFile) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.synced = append([]byte(nil), f.data...)
	return nil
}

func (f *fakeFile) Truncate(size int64) error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.data = f.data[:size]
	return nil
}

func (f *fakeFile) Close() error { return nil }
