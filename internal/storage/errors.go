package storage

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Errors of the data folder.
var (
	// ErrDiskFull refuses an append. The same append may be repeated.
	ErrDiskFull = merry.Sentinel("the disk is full")
	// ErrBusy refuses a snapshot while another one is written.
	ErrBusy = merry.Sentinel("another snapshot is being written")
	// ErrLocked says that another process uses the folder.
	ErrLocked = merry.Sentinel("another process uses the data folder")
	// ErrFailed ends the task: a write or a sync failed, and the content of
	// the folder is unknown until it is recovered by the next start.
	ErrFailed = merry.Sentinel("the data folder cannot be written")
	// ErrOtherReplica says that the folder belongs to another replica id.
	ErrOtherReplica = merry.Sentinel("the data folder belongs to another replica")
	// ErrIncomplete says that files of the folder are missing.
	ErrIncomplete = merry.Sentinel("the data folder is incomplete")
)

// DamageError says that a file holds something that the task did not write.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file and the offset.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}
