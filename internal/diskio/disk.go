package diskio

// File is an open file of the data folder.
type File interface {
	Write(data []byte) (int, error) // appends
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Disk is the file operations that the task needs, on one folder. Names have
// no path.
type Disk interface {
	// Lock keeps other processes out of the folder until Unlock. It returns
	// ErrLocked where another process holds it.
	Lock() error
	Unlock() error
	List() ([]string, error)
	Read(name string) ([]byte, error) // fs.ErrNotExist where absent
	Create(name string) (File, error) // empty, for appending
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	SyncFile(name string) error
	SyncFolder() error
}
