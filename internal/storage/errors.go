package storage

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/internal/diskio"
)

var (
	// ErrDiskFull is returned for an append that did not fit. The same append
	// may be repeated.
	ErrDiskFull = merry.Sentinel("the disk is full")
	// ErrBusy is returned for a snapshot while another one is being written.
	ErrBusy = merry.Sentinel("another snapshot is being written")
	// ErrFailed is returned after a failed write or sync. The content of the
	// folder is then unknown until the next start recovers it.
	ErrFailed = merry.Sentinel("the data folder cannot be written")
	// ErrOtherReplica is returned when the folder belongs to another replica id.
	ErrOtherReplica = merry.Sentinel("the data folder belongs to another replica")
	// ErrIncomplete is returned when files of the folder are missing.
	ErrIncomplete = merry.Sentinel("the data folder is incomplete")
)

// DamageError reports a file whose content is not what the task wrote.
type DamageError struct {
	File   string
	Offset int64
	Reason string
	// OtherVersion is set if another version of the program may have written
	// the file: its checksums match but it cannot be decoded, or its format is
	// unknown.
	OtherVersion bool
}

// Error returns the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// isDiskFull reports whether err means that no space is left, either on the disk
// or within Options.LimitBytes.
func isDiskFull(err error) bool { return diskio.IsFull(err) || errors.Is(err, ErrDiskFull) }
