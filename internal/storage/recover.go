package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/walcodec"
	"github.com/godwitlink/godwitlink/internal/diskio"
)

// Names of the files in a data folder.
const (
	identityFileName = "identity"
	segmentFormat    = "segment-%016x.wal"
	snapshotFormat   = "snapshot-%016x.snap"
)

// Recovered is the replica state read from a data folder.
type Recovered struct {
	// Identity is nil if the folder is empty. The replica has then never voted
	// with this folder.
	Identity  *walcodec.Identity
	HardState replog.HardState
	Snapshot  *replog.Snapshot
	Entries   []replog.Entry // after the snapshot
	Torn      bool           // the last segment ends with a torn record
	LogBytes  int64          // stored size of the log
}

// segmentInfo describes the valid part of a segment file.
type segmentInfo struct {
	number   uint64
	size     int64
	maxIndex uint64 // largest index of its entries
}

// folderContents is the result of reading a data folder.
type folderContents struct {
	Recovered
	segments       []segmentInfo
	staleSegments  []string // removed segments that reappeared after a loss of power
	temporaryFiles []string
	snapshots      []string // file names, oldest first
	// logEnd is the end of the log according to the records. It differs from the
	// end of Entries if a snapshot was installed and the process ended before
	// the reset was recorded.
	logEnd       walcodec.Position
	pendingReset *walcodec.Position // reset to record before the next entries; nil if none
}

// logFields returns the fields of a log event that describe the folder. After an
// error they cover the part that was read before it.
func (c *folderContents) logFields() []zap.Field {
	var files []string
	for _, segment := range c.segments {
		files = append(files, fmt.Sprintf("%x:%d:%d", segment.number, segment.size, segment.maxIndex))
	}
	return []zap.Field{
		zap.Int("segments", len(c.segments)), zap.Int("entries", len(c.Entries)),
		zap.Uint64("last_index", c.logEnd.Index), zap.Uint64("term", c.HardState.Term),
		zap.Strings("segment_bytes_last", files), zap.Strings("snapshots", c.snapshots),
		zap.Strings("leftover", c.staleSegments), zap.Bool("torn", c.Torn), zap.Bool("identity", c.Identity != nil),
	}
}

// readFolder reads and checks all files without changing them. After an error
// the result holds the part that was read before it.
func readFolder(disk diskio.Disk) (folderContents, error) {
	names, err := disk.List()
	if err != nil {
		return folderContents{}, merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	sort.Strings(names)
	c := folderContents{}
	var segments []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, diskio.TemporarySuffix):
			c.temporaryFiles = append(c.temporaryFiles, name)
		case strings.HasPrefix(name, "segment-"):
			segments = append(segments, name)
		case strings.HasPrefix(name, "snapshot-"):
			c.snapshots = append(c.snapshots, name)
		}
	}
	if err := c.readIdentity(disk); err != nil {
		return c, err
	}
	if c.Identity == nil && len(segments)+len(c.snapshots) > 0 {
		return c, merry.Prependf(ErrIncomplete, "the file %s is missing", identityFileName)
	}
	if err := c.readSnapshot(disk); err != nil {
		return c, err
	}
	err = c.readLog(disk, segments)
	return c, err
}

func (c *folderContents) readIdentity(disk diskio.Disk) error {
	data, err := disk.Read(identityFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	identity, err := walcodec.DecodeIdentity(data)
	if err != nil {
		return newDamageError(identityFileName, err)
	}
	c.Identity = &identity
	return nil
}

func (c *folderContents) readSnapshot(disk diskio.Disk) error {
	if len(c.snapshots) == 0 {
		return nil
	}
	name := c.snapshots[len(c.snapshots)-1]
	data, err := disk.Read(name)
	if err != nil {
		return merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	snapshot, err := walcodec.DecodeSnapshot(data)
	if err != nil {
		return newDamageError(name, err)
	}
	if want := fmt.Sprintf(snapshotFormat, snapshot.Index); name != want {
		return newDamageError(name, &walcodec.DamageError{Reason: "the snapshot in it belongs to " + want})
	}
	c.Snapshot = &snapshot
	return nil
}

func (c *folderContents) readLog(disk diskio.Disk, names []string) error {
	c.staleSegments, names = splitAtLastGap(names)
	log := walcodec.Log{}
	for i, name := range names {
		info, err := c.readSegment(disk, name, i == len(names)-1, &log)
		c.segments = append(c.segments, info)
		c.HardState, c.logEnd = log.HardState, log.Last()
		if err != nil {
			return err
		}
	}
	position := walcodec.Position{}
	if c.Snapshot != nil {
		position = walcodec.Position{Index: c.Snapshot.Index, Term: c.Snapshot.Term}
	}
	kept, err := log.AttachSnapshot(position)
	if err != nil && len(c.staleSegments) > 0 {
		return merry.Prependf(ErrIncomplete, "a segment before %s is missing", names[0])
	}
	if err != nil {
		return merry.Prepend(ErrIncomplete, err.Error())
	}
	if !kept {
		c.pendingReset = &position
	}
	c.Entries = log.Entries()
	return nil
}

// splitAtLastGap returns the segments before and after the last gap in the
// segment numbers. The removals of segments become durable independently of
// each other, so after a loss of power an older segment may be present again
// while a newer one is gone. Attaching the log to the snapshot shows whether
// the segments after the gap are sufficient.
func splitAtLastGap(names []string) (before, after []string) {
	for i := len(names) - 1; i > 0; i-- {
		if names[i] != nextSegmentName(names[i-1]) {
			return names[:i], names[i:]
		}
	}
	return nil, names
}

// nextSegmentName returns the name of the segment after name, or "" if name is
// not the name of a segment.
func nextSegmentName(name string) string {
	var number uint64
	if _, err := fmt.Sscanf(name, segmentFormat, &number); err != nil {
		return ""
	}
	return segmentName(number + 1)
}

func (c *folderContents) readSegment(disk diskio.Disk, name string, isLast bool, log *walcodec.Log) (segmentInfo, error) {
	data, err := disk.Read(name)
	if err != nil {
		return segmentInfo{}, merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	segment, err := walcodec.ScanSegment(data, isLast)
	info := segmentInfo{number: segment.Header.Number, size: segment.Size}
	if err != nil {
		return info, newDamageError(name, err)
	}
	if want := fmt.Sprintf(segmentFormat, info.number); name != want {
		return info, newDamageError(name, &walcodec.DamageError{Reason: "the segment in it belongs to " + want})
	}
	c.Torn = c.Torn || segment.Torn
	for _, batch := range segment.Batches {
		if err := log.Apply(batch); err != nil {
			return info, newDamageError(name, &walcodec.DamageError{Offset: segment.Size, Reason: err.Error()})
		}
		for _, entry := range batch.Entries {
			info.maxIndex = max(info.maxIndex, entry.Index)
		}
	}
	return info, nil
}

// newDamageError returns a DamageError with the file name and the details that
// the codec found.
func newDamageError(name string, err error) error {
	var found *walcodec.DamageError
	if !errors.As(err, &found) {
		return merry.Wrap(&DamageError{File: name, Reason: err.Error()})
	}
	return merry.Wrap(&DamageError{File: name, Offset: found.Offset, Reason: found.Reason, OtherVersion: found.OtherVersion})
}

// Inspect reads a data folder without changing it. It fails if the folder is
// in use.
func Inspect(disk diskio.Disk) (Recovered, error) {
	if err := disk.Lock(); err != nil {
		return Recovered{}, merry.Wrap(err)
	}
	c, err := readFolder(disk)
	return c.Recovered, errors.Join(err, disk.Unlock())
}
