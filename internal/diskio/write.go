package diskio

import (
	"errors"

	"golang.org/x/sys/unix"
)

const (
	// maxUnsyncedBytes limits the data written between two syncs of a large
	// file, because a sync of another file waits until the disk has written it.
	maxUnsyncedBytes = 1 << 20
	// TemporarySuffix is the suffix of the names of incomplete files.
	TemporarySuffix = ".tmp"
)

// SyncError reports a failed sync. Whatever the cause, the content of the file is
// unknown afterwards, so IsFull returns false for it.
type SyncError struct{ Cause error }

// Error implements error.
func (e SyncError) Error() string { return "sync: " + e.Cause.Error() }

// IsFull reports whether err means that the file system has no space left.
func IsFull(err error) bool {
	var syncErr SyncError
	if errors.As(err, &syncErr) {
		return false
	}
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}

// CreateFile creates a file with the given content and replaces an existing file
// of that name. When it returns, the file is durable and open for appending.
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

// WriteFile creates a file as CreateFile does and closes it.
func WriteFile(disk Disk, name string, data []byte) error {
	file, err := CreateFile(disk, name, data)
	if err != nil {
		return err
	}
	return file.Close()
}
