package diskio

import (
	"errors"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Permissions of the data folder and its files. Only the owner has access,
// because commands may contain the answers to callers.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

const lockFileName = "lock"

// folder is a Disk on a folder of the file system.
type folder struct {
	path string
	lock *os.File
}

// NewFolder returns a Disk on a folder and creates the folder if it does not
// exist. The parent is synced in both cases, because a killed process may have
// created the folder without syncing the parent.
func NewFolder(path string) (Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	if err := syncPath(filepath.Dir(path)); err != nil {
		return nil, err
	}
	return &folder{path: path}, nil
}

func (f *folder) join(name string) string { return filepath.Join(f.path, name) }

func (f *folder) Lock() error {
	file, err := os.OpenFile(f.join(lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		closeErr := file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return errors.Join(ErrLocked, closeErr)
		}
		return errors.Join(err, closeErr)
	}
	f.lock = file
	return nil
}

func (f *folder) Unlock() error {
	if f.lock == nil {
		return nil
	}
	lock := f.lock
	f.lock = nil
	return lock.Close()
}

func (f *folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Name() != lockFileName {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

func (f *folder) Read(name string) ([]byte, error) { return os.ReadFile(f.join(name)) }

func (f *folder) Create(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
}

func (f *folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.join(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	return errors.Join(file.Truncate(size), file.Close())
}

func (f *folder) Rename(from, to string) error { return os.Rename(f.join(from), f.join(to)) }

func (f *folder) Remove(name string) error { return os.Remove(f.join(name)) }

func (f *folder) SyncFile(name string) error { return syncPath(f.join(name)) }

func (f *folder) SyncFolder() error { return syncPath(f.path) }

// syncPath syncs a file, including data that other processes have written, or
// the names in a folder.
func syncPath(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}
