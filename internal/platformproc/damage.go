package platformproc

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// logFolder is a folder in the data folder that holds the current log or a former one.
type logFolder struct {
	number int
	bytes  int64
}

// The first log is in the folder "log", the log of the second identity in "log-2", and so on.
// Numbers are never reused, so a log never finds files of another log in its folder.
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

// folderNumber returns the number in the name of a log folder. ok is false for any other name.
func folderNumber(name string) (number int, ok bool) {
	if name == firstLogFolder {
		return 1, true
	}
	digits, _ := strings.CutPrefix(name, laterLogFolderPrefix)
	number, err := strconv.Atoi(digits)
	return number, err == nil && number > 1 && name == folderName(number)
}

// mustReplaceIdentity reports whether the error means that the log can never be used again under
// its replica id. I/O errors may be temporary. An unknown format version does not count as damage:
// otherwise all replicas would discard their logs at once after a downgrade. A log that belongs to
// another id than the one in node.toml was not written under the current identity, so the replica
// must not vote with it under either id.
func mustReplaceIdentity(err error) bool {
	var damage *storage.DamageError
	if errors.As(err, &damage) {
		return !damage.OtherVersion
	}
	return errors.Is(err, storage.ErrIncomplete) || errors.Is(err, storage.ErrOtherReplica) || errors.Is(err, replica.ErrMustJoin)
}

// replacementIdentity returns the identity that replaces one whose log is lost. The new identity
// joins the group instead of continuing as a founder, because the group may rely on what the former
// id has voted for and stored. former is the zero value if node.toml is lost; in that case the
// non-empty log folder with the highest number is taken as the one that was in use. An empty log
// folder is not kept, so that it does not displace a damaged folder that is kept.
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

// damagedFolderBytes returns the size of the damaged folder that is kept, or 0 if there is none.
func (i identity) damagedFolderBytes(folders []logFolder) int64 {
	if i.Damaged == nil {
		return 0
	}
	damagedNumber, _ := folderNumber(i.Damaged.Folder)
	for _, folder := range folders {
		if folder.number == damagedNumber {
			return folder.bytes
		}
	}
	return 0
}

// outdatedFolders returns the log folders that are older than the damaged folder that is kept.
func outdatedFolders(self identity, folders []logFolder) []string {
	var names []string
	if self.Damaged == nil {
		return nil
	}
	damagedNumber, _ := folderNumber(self.Damaged.Folder)
	for _, folder := range folders {
		if folder.number < damagedNumber {
			names = append(names, folderName(folder.number))
		}
	}
	return names
}

const (
	// logDiskPercent is the share of the disk that the log may use. A damaged folder that is kept
	// is subtracted from the disk size first. The remainder is for snapshots.
	logDiskPercent = 50
	// minLogDiskPercent is the minimum share of the whole disk that the log may use: half of its
	// share without a damaged folder. A damaged folder that leaves less is not kept.
	minLogDiskPercent = 25
)

// logLimit returns the number of bytes that the log may use if a damaged folder of the given size
// is kept, and whether this is enough to keep the folder. A limit of 0 means no limit.
func logLimit(diskMB, damagedBytes int64) (limit int64, enough bool) {
	diskBytes := diskMB << 20
	limit, minLimit := (diskBytes-damagedBytes)*logDiskPercent/100, diskBytes*minLogDiskPercent/100
	return max(limit, minLimit), limit >= minLimit || diskBytes == 0
}
