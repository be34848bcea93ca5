package platformproc

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events.
var (
	eventIdentityReplaced  = eventlog.Declare(4307, zapcore.ErrorLevel, "the log of the control replica is lost, it joins its group under a new id")
	eventDamagedKept       = eventlog.Declare(4308, zapcore.ErrorLevel, "a damaged log folder of a former id is kept")
	eventDamagedRemoved    = eventlog.Declare(4309, zapcore.WarnLevel, "a damaged log folder is no longer kept")
	eventDamagedNotRemoved = eventlog.Declare(4310, zapcore.WarnLevel, "a damaged log folder cannot be removed")
)

var metricDamagedFolders = metrics.Declare("storage_damaged_folders", metrics.KindGauge, "damaged log folders of former ids that are kept on the disk")

// dataDir is the data folder of a control replica. It contains node.toml and the log folders.
type dataDir struct {
	settings *ControlSettings
	logger   *eventlog.Logger
	metrics  *metrics.Set
}

// replaceIdentity stores the identity that replaces a lost one. The former identity stays in force
// until the new one is durable; the new folder is used only afterwards.
func (d dataDir) replaceIdentity(former identity, cause error) (identity, error) {
	folders, err := logFolders(d.settings.DataDir)
	if err != nil {
		return identity{}, err
	}
	next := replacementIdentity(former, folders, newJoinedID(), cause.Error())
	if err := writeIdentity(d.settings.DataDir, next); err != nil {
		return identity{}, err
	}
	d.logger.Log(eventIdentityReplaced, zap.Uint64("former", former.ID), zap.Uint64("replica", next.ID), zap.String("log_folder", next.Log), zap.Error(cause))
	return next, nil
}

// loadIdentity reads the identity of the replica. It creates one if the disk is empty, and replaces
// an identity that cannot be read if a log exists.
func (d dataDir) loadIdentity() (identity, error) {
	dir := d.settings.DataDir
	disk, err := diskio.NewFolder(dir)
	if err != nil {
		return identity{}, merry.Wrap(ErrIdentity, merry.WithCause(err))
	}
	// The process may have been killed after it renamed node.toml and before it synced the folder.
	if err := disk.SyncFolder(); err != nil {
		return identity{}, merry.Wrap(ErrIdentity, merry.WithCause(err))
	}
	known, err := readIdentity(dir)
	if err == nil || !errors.Is(err, errIdentityLost) {
		return known, err
	}
	folders, listErr := logFolders(dir)
	if listErr != nil {
		return identity{}, listErr
	}
	if errors.Is(err, fs.ErrNotExist) && !slices.ContainsFunc(folders, func(f logFolder) bool { return f.bytes > 0 }) {
		created := newIdentity(d.settings)
		return created, writeIdentity(dir, created)
	}
	return d.replaceIdentity(identity{}, err)
}

// freeLogSpace removes the log folders that must not be kept, and returns the number of bytes that
// the log may use. node.toml may still name a folder that was removed.
func (d dataDir) freeLogSpace(self identity) (int64, error) {
	folders, err := logFolders(d.settings.DataDir)
	if err != nil {
		return 0, err
	}
	for _, name := range outdatedFolders(self, folders) {
		d.removeLogFolder(name, "a newer damaged folder is kept")
	}
	damagedBytes := self.damagedFolderBytes(folders)
	limit, enough := logLimit(d.settings.DiskMB, damagedBytes)
	if !enough && d.removeLogFolder(self.Damaged.Folder, "the log needs the disk space") {
		damagedBytes = 0
		limit, _ = logLimit(d.settings.DiskMB, damagedBytes)
	}
	if damagedBytes == 0 {
		d.metrics.SetGauge(metricDamagedFolders, 0)
		return limit, nil
	}
	d.metrics.SetGauge(metricDamagedFolders, 1)
	d.logger.Log(eventDamagedKept, zap.Uint64("former", self.Damaged.ID), zap.Uint64("replica", self.ID),
		zap.String("folder", self.Damaged.Folder), zap.String("cause", self.Damaged.Cause), zap.Int64("bytes", damagedBytes))
	return limit, nil
}

// removeLogFolder deletes a log folder. A failure is only logged: the folder uses disk space but
// does not affect the replica.
func (d dataDir) removeLogFolder(name, reason string) bool {
	if err := os.RemoveAll(filepath.Join(d.settings.DataDir, name)); err != nil {
		d.logger.Log(eventDamagedNotRemoved, zap.String("folder", name), zap.Error(err))
		return false
	}
	d.logger.Log(eventDamagedRemoved, zap.String("folder", name), zap.String("reason", reason))
	return true
}

// logFolders returns the log folders and their sizes in the order of their numbers.
func logFolders(dir string) ([]logFolder, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, merry.Wrap(ErrIdentity, merry.WithCause(err))
	}
	var folders []logFolder
	for _, entry := range entries {
		number, ok := folderNumber(entry.Name())
		if !ok || !entry.IsDir() {
			continue
		}
		bytes, err := folderBytes(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, merry.Wrap(ErrIdentity, merry.WithCause(err))
		}
		folders = append(folders, logFolder{number: number, bytes: bytes})
	}
	slices.SortFunc(folders, func(a, b logFolder) int { return a.number - b.number })
	return folders, nil
}

// folderSizes lists the log folders with their sizes, or the error of listing them.
func (d dataDir) folderSizes() []string {
	folders, err := logFolders(d.settings.DataDir)
	if err != nil {
		return []string{eventlog.ErrorText(err)}
	}
	sizes := make([]string, 0, len(folders))
	for _, folder := range folders {
		sizes = append(sizes, fmt.Sprintf("%s:%d", folderName(folder.number), folder.bytes))
	}
	return sizes
}

func folderBytes(path string) (int64, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for _, entry := range entries {
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, err
		}
		total += info.Size()
	}
	return total, nil
}

// newJoinedID returns a random id for a replica that joins a group.
func newJoinedID() uint64 { return firstJoinedID + rand.Uint64N(maxJoinedID-firstJoinedID) }
