package diskio

import (
	"errors"

	"golang.org/x/sys/unix"
)

const (
	// maxUnsyncedBytes bounds what is written between two syncs of a large file,
	// because a sync of another file waits for what the disk is writing.
	maxUnsyncedBytes = 1 << 20
	// TemporarySuffix ends the name of a file that is not complete.
	TemporarySuffix = ".tmp"
)

// SyncError says that a sync failed. The content of the file is unknown after
// it, whatever the cause, so IsFull does not hold for it.
type SyncError struct{ Cause error }

// Error names the cause.
func (e SyncError) Error() string { return "sync: " + e.Cause.Error() }

// IsFull reports whether err says that the file system has no room left.
func IsFull(err error) bool {
	var syncErr SyncError
	if errors.As(err, &syncErr) {
		return false
	}
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}

// CreateFile creates a file with the given content under its final name, in
// place of one that has the name. The file is durable when it returns and open
// for appending.
func CreateFile(disk Disk, name string, data []byte) (File, error) {
	temporary := name + TemporarySuffix
	file, err := disk.Create(temporary)
	if err != nil {
		return nil, err
	}
	for first := true; first || len(data) > 0; first = false {
		part := data[:min(len(data), maxUnsyncedBytes)]
		data = data[len(part):]
		if _, err := file.Write(part); err != nil {
			return nil, errors.Join(err, file.Close(), disk.Remove(temporary))
		}
		if err := file.Sync(); err != nil {
			return nil, errors.Join(SyncError{err}, file.Close())
		}
	}
	if err := disk.Rename(temporary, name); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	if err := disk.SyncFolder(); err != nil {
		return nil, errors.Join(SyncError{err}, file.Close())
	}
	return file, nil
}

// WriteFile is CreateFile for a file that is not appended to.
func WriteFile(disk Disk, name string, data []byte) error {
	file, err := CreateFile(disk, name, data)
	if err != nil {
		return err
	}
	return file.Close()
}
