package platformproc

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// logFolder is a folder in the data folder that holds a log, or held one.
type logFolder struct {
	number int
	bytes  int64
}

// The first log is in the folder "log", that of the second identity in
// "log-2". A number is never used again, so that a log never meets the files
// of another one.
const (
	firstLogFolder       = "log"
	laterLogFolderPrefix = "log-"
)

func folderName(number int) string {
	if number == 1 {
		return firstLogFolder
	}
	return laterLogFolderPrefix + strconv.Itoa(number)
}

// folderNumber returns the number in the name of a log folder.
func folderNumber(name string) (number int, ok bool) {
	if name == firstLogFolder {
		return 1, true
	}
	digits, _ := strings.CutPrefix(name, laterLogFolderPrefix)
	number, err := strconv.Atoi(digits)
	return number, err == nil && number > 1 && name == folderName(number)
}

// mustReplaceIdentity reports whether a log can never be continued under its id. Input
// and output errors may pass. A format that this version does not know is no
// damage: after a return to an older version all replicas would give up their
// logs at once. A log of another id than that of node.toml was not written
// under that identity, so neither id may vote with it.
func mustReplaceIdentity(err error) bool {
	var damage *storage.DamageError
	if errors.As(err, &damage) {
		return !damage.OtherVersion
	}
	return errors.Is(err, storage.ErrIncomplete) || errors.Is(err, storage.ErrOtherReplica) || errors.Is(err, replica.ErrMustJoin)
}

// replacementIdentity is the identity that follows one whose log is lost. It joins: the
// group may count on what the former id has voted and stored. former is zero
// where node.toml is lost, and the newest log with content was then in use. A
// log without content is not kept, so that it does not push out a damaged one.
func replacementIdentity(former identity, folders []logFolder, id uint64, cause string) identity {
	usedNumber, highestNumber := former.logFolderNumber(), former.logFolderNumber()
	for _, folder := range folders {
		highestNumber = max(highestNumber, folder.number)
		if former.ID == 0 && folder.bytes > 0 {
			usedNumber = max(usedNumber, folder.number)
		}
	}
	next := identity{ID: id, Joined: true, Log: folderName(highestNumber + 1), Damaged: former.Damaged}
	if hasContent(folders, usedNumber) {
		next.Damaged = &damagedLog{Folder: folderName(usedNumber), ID: former.ID, Cause: cause}
	}
	return next
}

func hasContent(folders []logFolder, number int) bool {
	return slices.ContainsFunc(folders, func(f logFolder) bool { return f.number == number && f.bytes > 0 })
}

// damagedFolderBytes is the size of the damaged folder, 0 where none is kept.
func (n identity) damagedFolderBytes(folders []logFolder) int64 {
	if n.Damaged == nil {
		return 0
	}
	damagedNumber, _ := folderNumber(n.Damaged.Folder)
	for _, folder := range folders {
		if folder.number == damagedNumber {
			return folder.bytes
		}
	}
	return 0
}

// outdatedFolders returns the folders that are older than the kept damaged one.
func outdatedFolders(n identity, folders []logFolder) []string {
	var names []string
	if n.Damaged == nil {
		return nil
	}
	damagedNumber, _ := folderNumber(n.Damaged.Folder)
	for _, folder := range folders {
		if folder.number < damagedNumber {
			names = append(names, folderName(folder.number))
		}
	}
	return names
}

// Shares of the disk, in percent.
const (
	// logDiskPercent is the part that the log may use of what a kept damaged folder
	// leaves. The rest holds snapshots.
	logDiskPercent = 50
	// minLogDiskPercent is the part of the whole disk below which a damaged folder is
	// not kept: half of what the log has without one.
	minLogDiskPercent = 25
)

// logLimit returns the bytes that the log may use beside a kept folder, and
// whether they are enough to keep it. 0 is no limit.
func logLimit(diskMB, damagedBytes int64) (limit int64, enough bool) {
	diskBytes := diskMB << 20
	limit, minLimit := (diskBytes-damagedBytes)*logDiskPercent/100, diskBytes*minLogDiskPercent/100
	return max(limit, minLimit), limit >= minLimit || diskBytes == 0
}
