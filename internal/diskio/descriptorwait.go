package diskio

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// IsOutOfDescriptors reports whether err means that the process or the system has no file descriptor left.
func IsOutOfDescriptors(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)
}

// Delays between two attempts to open a file.
const (
	minDescriptorDelay = 5 * time.Millisecond
	maxDescriptorDelay = 100 * time.Millisecond
)

// descriptorWait is a Disk whose operations wait for a file descriptor.
type descriptorWait struct {
	Disk
	onWait func(err error)
}

// AwaitDescriptors returns a disk whose operations wait until the process has a file descriptor for them,
// instead of failing: a connection that ends returns one, and a write that has failed ends the process.
// onWait is called before the first wait of each operation. Operations are safe to repeat, because they
// fail in this way only before they change the folder.
func AwaitDescriptors(disk Disk, onWait func(err error)) Disk {
	return descriptorWait{disk, onWait}
}

func (d descriptorWait) await(operation func() error) error {
	err := operation()
	if !IsOutOfDescriptors(err) {
		return err
	}
	d.onWait(err)
	for delay := minDescriptorDelay; IsOutOfDescriptors(err); delay = min(2*delay, maxDescriptorDelay) {
		time.Sleep(delay)
		err = operation()
	}
	return err
}

func (d descriptorWait) Lock() error { return d.await(d.Disk.Lock) }

func (d descriptorWait) List() (names []string, err error) {
	err = d.await(func() error {
		names, err = d.Disk.List()
		return err
	})
	return names, err
}

func (d descriptorWait) Read(name string) (data []byte, err error) {
	err = d.await(func() error {
		data, err = d.Disk.Read(name)
		return err
	})
	return data, err
}

func (d descriptorWait) Create(name string) (file File, err error) {
	err = d.await(func() error {
		file, err = d.Disk.Create(name)
		return err
	})
	return file, err
}

func (d descriptorWait) Truncate(name string, size int64) error {
	return d.await(func() error { return d.Disk.Truncate(name, size) })
}

func (d descriptorWait) SyncFile(name string) error {
	return d.await(func() error { return d.Disk.SyncFile(name) })
}

func (d descriptorWait) SyncFolder() error { return d.await(d.Disk.SyncFolder) }
