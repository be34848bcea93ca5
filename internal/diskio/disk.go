package diskio

// File is a file of the data folder that is open for appending.
type File interface {
	Write(data []byte) (int, error) // appends data to the file
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Disk provides the file operations on one folder. File names have no path.
type Disk interface {
	// Lock gives this process exclusive use of the folder until Unlock. It
	// returns ErrLocked if another process holds the lock.
	Lock() error
	Unlock() error
	List() ([]string, error)
	Read(name string) ([]byte, error) // fs.ErrNotExist if there is no such file
	Create(name string) (File, error) // an empty file; replaces an existing one
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	SyncFile(name string) error
	SyncFolder() error
}
