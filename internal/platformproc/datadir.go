package platformproc

import (
	"errors"
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
	"github.com/godwitlink/godwitlink/internal/replica"
)

// Log events.
var (
	eventReplaced   = eventlog.Declare(4307, zapcore.ErrorLevel, "the log of the control replica is lost, it joins its group under a new id")
	eventKept       = eventlog.Declare(4308, zapcore.ErrorLevel, "a damaged log folder of a former id is kept")
	eventNotKept    = eventlog.Declare(4309, zapcore.WarnLevel, "a damaged log folder is no longer kept")
	eventNotRemoved = eventlog.Declare(4310, zapcore.WarnLevel, "a damaged log folder cannot be removed")
)

var metricDamaged = metrics.Declare("storage_damaged_folders", metrics.KindGauge, "damaged log folders of former ids that are kept on the disk")

// dataDir is the data folder of a control replica: node.toml and the folders
// of its logs.
type dataDir struct {
	settings *ControlSettings
	logger   *eventlog.Logger
	metrics  *metrics.Set
}

// replace stores the identity that follows a lost one. The former one is in
// force until the new one is durable, and only then is the new folder used.
func (d dataDir) replace(former node, cause error) (node, error) {
	present, err := logFolders(d.settings.DataDir)
	if err != nil {
		return node{}, err
	}
	next := replacement(former, present, newJoinedID(), cause.Error())
	if err := writeNode(d.settings.DataDir, next); err != nil {
		return node{}, err
	}
	d.logger.Log(eventReplaced, zap.Uint64("former", former.ID), zap.Uint64("replica", next.ID), zap.String("log_folder", next.Log), zap.Error(cause))
	return next, nil
}

// replaceEmptied stores another identity where the group has said that the log
// of this one was lost. The process ends with the error, and its next start
// joins.
func (d dataDir) replaceEmptied(self node, ended error) error {
	if !errors.Is(ended, replica.ErrMustJoin) {
		return ended
	}
	_, err := d.replace(self, ended)
	return errors.Join(ended, err)
}

// load reads the identity. It makes one where the disk is empty, and replaces
// one that cannot be read while a log is there.
func (d dataDir) load() (node, error) {
	dir := d.settings.DataDir
	disk, err := diskio.NewFolder(dir)
	if err != nil {
		return node{}, merry.Wrap(ErrNode, merry.WithCause(err))
	}
	// A process that was killed may have renamed node.toml without a sync.
	if err := disk.SyncFolder(); err != nil {
		return node{}, merry.Wrap(ErrNode, merry.WithCause(err))
	}
	known, err := readNode(dir)
	if err == nil || !errors.Is(err, errNodeLost) {
		return known, err
	}
	present, listErr := logFolders(dir)
	if listErr != nil {
		return node{}, listErr
	}
	if errors.Is(err, fs.ErrNotExist) && !slices.ContainsFunc(present, func(f logFolder) bool { return f.bytes > 0 }) {
		made := newNode(d.settings)
		return made, writeNode(dir, made)
	}
	return d.replace(node{}, err)
}

// makeRoom removes the damaged folders that are not to be kept, and returns the
// bytes that the log may use. node.toml may go on naming a folder that is gone.
func (d dataDir) makeRoom(self node) (int64, error) {
	present, err := logFolders(d.settings.DataDir)
	if err != nil {
		return 0, err
	}
	for _, name := range outdated(self, present) {
		d.remove(name, "a newer one is kept")
	}
	kept := self.keptBytes(present)
	limit, enough := logLimit(d.settings.DiskMB, kept)
	if !enough && d.remove(self.Damaged.Folder, "the log needs its room") {
		kept = 0
		limit, _ = logLimit(d.settings.DiskMB, kept)
	}
	if kept == 0 {
		d.metrics.SetGauge(metricDamaged, 0)
		return limit, nil
	}
	d.metrics.SetGauge(metricDamaged, 1)
	d.logger.Log(eventKept, zap.Uint64("former", self.Damaged.ID), zap.Uint64("replica", self.ID),
		zap.String("folder", self.Damaged.Folder), zap.String("cause", self.Damaged.Cause), zap.Int64("bytes", kept))
	return limit, nil
}

// remove deletes a log folder. One that cannot be removed only takes room, so
// the replica goes on.
func (d dataDir) remove(name, reason string) bool {
	if err := os.RemoveAll(filepath.Join(d.settings.DataDir, name)); err != nil {
		d.logger.Log(eventNotRemoved, zap.String("folder", name), zap.Error(err))
		return false
	}
	d.logger.Log(eventNotKept, zap.String("folder", name), zap.String("reason", reason))
	return true
}

// logFolders returns the log folders with their sizes, by number.
func logFolders(dir string) ([]logFolder, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, merry.Wrap(ErrNode, merry.WithCause(err))
	}
	var folders []logFolder
	for _, entry := range entries {
		number, ok := folderNumber(entry.Name())
		if !ok || !entry.IsDir() {
			continue
		}
		bytes, err := folderBytes(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, merry.Wrap(ErrNode, merry.WithCause(err))
		}
		folders = append(folders, logFolder{number: number, bytes: bytes})
	}
	slices.SortFunc(folders, func(a, b logFolder) int { return a.number - b.number })
	return folders, nil
}

func folderBytes(path string) (int64, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return 0, err
	}
	sum := int64(0)
	for _, entry := range entries {
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, err
		}
		sum += info.Size()
	}
	return sum, nil
}

// newJoinedID draws an id for a replica that joins.
func newJoinedID() uint64 { return firstJoinedID + rand.Uint64N(maxJoinedID-firstJoinedID) }
