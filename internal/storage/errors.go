package storage

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/internal/diskio"
)

// Errors of the data folder.
var (
	// ErrDiskFull refuses an append. The same append may be repeated.
	ErrDiskFull = merry.Sentinel("the disk is full")
	// ErrBusy refuses a snapshot while another one is written.
	ErrBusy = merry.Sentinel("another snapshot is being written")
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
	// OtherVersion is set where another version of the program may have
	// written the file: its checksums agree, or its format is unknown.
	OtherVersion bool
}

// Error names the file and the offset.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// isDiskFull reports whether err says that there is no room left, on the disk or
// below Options.LimitBytes.
func isDiskFull(err error) bool { return diskio.IsFull(err) || errors.Is(err, ErrDiskFull) }
