package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/walcodec"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// maxBatchBytes is the size at which a batch takes no further entries. It is far
// below walcodec.MaxRecordBytes, because the last entry may take the batch beyond
// this size.
const maxBatchBytes = 16 << 20

// minBatchesInLimit is the least number of full batches that fit into a limited log.
const minBatchesInLimit = 8

// noLimit disables the check of the log's size.
const noLimit = 0

// restartHeadroomPercent is by how much a recovered log may grow at least, in percent of its limit. A
// replica whose log is at the limit could neither vote nor commit after a restart otherwise, and the
// log could never be cut.
const restartHeadroomPercent = 25

// writer appends records to the active segment.
type writer struct {
	disk         diskio.Disk
	metrics      *metrics.Set
	options      Options
	active       diskio.File // nil until the first write
	salt         uint64
	activeInfo   segmentInfo // describes the active segment
	limit        int64       // log size above which appends are refused; 0 for no limit
	closed       []segmentInfo
	nextNumber   uint64 // number of the next segment
	hardState    replog.HardState
	logEnd       walcodec.Position  // end of the log according to the records
	pendingReset *walcodec.Position // reset to record with the next entries; nil if none
	payload      []byte             // buffers reused for each record
	record       []byte
}

func newWriter(opts Options, c folderContents) writer {
	w := writer{
		disk: opts.Disk, metrics: opts.Metrics, options: opts,
		closed: c.segments, nextNumber: 1, hardState: c.HardState, logEnd: c.logEnd, pendingReset: c.pendingReset,
	}
	if n := len(c.segments); n > 0 {
		w.nextNumber = c.segments[n-1].number + 1
	}
	if opts.LimitBytes > 0 {
		w.limit = max(opts.LimitBytes, w.sizeBytes()+opts.LimitBytes*restartHeadroomPercent/100)
	}
	return w
}

func segmentName(number uint64) string { return fmt.Sprintf(segmentFormat, number) }

// write makes a group durable and returns how many of its appends became
// durable. If the disk is full the log is left as it was before the record that
// did not fit.
func (w *writer) write(group []Append) (durable int, err error) {
	for _, batch := range groupIntoBatches(group, w.maxBatchBytes(), w.options.EntriesPerSync) {
		if err := w.writeBatch(batch.Batch); err != nil {
			return durable, err
		}
		durable = batch.appends
	}
	return durable, nil
}

// maxBatchBytes returns the size at which a batch takes no further entries. A group that is larger
// than the rest of the limit is written as far as it fits.
func (w *writer) maxBatchBytes() int {
	if w.limit == noLimit {
		return maxBatchBytes
	}
	return int(min(maxBatchBytes, w.limit/minBatchesInLimit))
}

// groupBatch is a batch and the number of appends of the group that are durable
// once it is written.
type groupBatch struct {
	walcodec.Batch
	appends int
}

// groupIntoBatches merges the appends of a group into as few batches as the limits
// on size and number of entries allow.
func groupIntoBatches(group []Append, maxBytes, maxEntries int) []groupBatch {
	var all []groupBatch
	batch := walcodec.Batch{}
	size := 0
	for i, request := range group {
		if request.HardState != nil {
			batch.HardState = request.HardState
		}
		for _, entry := range request.Entries {
			if size >= maxBytes || (maxEntries > 0 && len(batch.Entries) >= maxEntries) {
				all = append(all, groupBatch{batch, i})
				batch, size = walcodec.Batch{}, 0
			}
			batch.Entries = append(batch.Entries, entry)
			size += len(entry.Data)
		}
	}
	return append(all, groupBatch{batch, len(group)})
}

func (w *writer) writeBatch(batch walcodec.Batch) error {
	return w.writeBatchWithLimit(w.limit, batch)
}

// writeBatchWithLimit makes a batch durable. It returns ErrDiskFull if the log
// would become larger than limit bytes.
func (w *writer) writeBatchWithLimit(limit int64, batch walcodec.Batch) error {
	if w.active == nil || w.activeInfo.size > w.options.SegmentBytes {
		if err := w.startSegment(); err != nil {
			return err
		}
	}
	if w.pendingReset != nil && batch.Reset == nil {
		batch.Reset = w.pendingReset
	}
	if batch.HardState != nil && batch.HardState.Term < w.hardState.Term {
		// A repeated append: writeRefusedState has stored a later hard state.
		batch.HardState = &w.hardState
	}
	w.payload = walcodec.AppendBatch(w.payload[:0], batch)
	w.record = walcodec.AppendRecord(w.record[:0], w.salt, w.activeInfo.size, w.payload)
	if err := w.appendRecord(limit); err != nil {
		return err
	}
	w.recordWritten(batch)
	return nil
}

func (w *writer) appendRecord(limit int64) error {
	if limit != noLimit && w.sizeBytes()+int64(len(w.record)) > limit {
		return ErrDiskFull
	}
	if _, err := w.active.Write(w.record); err != nil {
		// The written part is removed, because the header checksum of the next
		// record covers its offset.
		return errors.Join(err, w.truncateRefusedWrite(err))
	}
	if err := w.active.Sync(); err != nil {
		return diskio.SyncError{Cause: err}
	}
	w.activeInfo.size += int64(len(w.record))
	w.metrics.Add(metricSyncs, "", 1)
	w.metrics.Add(metricWrittenBytes, "", int64(len(w.record)))
	return nil
}

// truncateRefusedWrite removes the part that a write left when the disk became
// full. The removal is synced, because the next record may go to another
// segment and a torn record is tolerated only in the last one.
func (w *writer) truncateRefusedWrite(cause error) error {
	if !isDiskFull(cause) {
		return nil
	}
	if err := errors.Join(w.active.Truncate(w.activeInfo.size), w.active.Sync()); err != nil {
		return diskio.SyncError{Cause: err}
	}
	return nil
}

// sizeBytes returns the size of all segments.
func (w *writer) sizeBytes() int64 {
	sum := w.activeInfo.size
	for _, segment := range w.closed {
		sum += segment.size
	}
	return sum
}

func (w *writer) recordWritten(batch walcodec.Batch) {
	if batch.Reset != nil {
		w.logEnd, w.pendingReset = *batch.Reset, nil
	}
	if batch.HardState != nil {
		w.hardState = *batch.HardState
	}
	for _, entry := range batch.Entries {
		w.activeInfo.maxIndex = max(w.activeInfo.maxIndex, entry.Index)
		w.logEnd = walcodec.Position{Index: entry.Index, Term: entry.Term}
	}
}

// startSegment creates the next segment and makes it the active one. Its first
// record repeats the hard state, so that the earlier segments can be removed.
func (w *writer) startSegment() error {
	salt, err := newSalt()
	if err != nil {
		return err
	}
	first := walcodec.Batch{Base: &w.logEnd, HardState: &w.hardState}
	data := walcodec.AppendSegmentHeader(nil, walcodec.SegmentHeader{Number: w.nextNumber, Salt: salt})
	data = walcodec.AppendRecord(data, salt, int64(len(data)), walcodec.AppendBatch(nil, first))
	file, err := diskio.CreateFile(w.disk, segmentName(w.nextNumber), data)
	if err != nil {
		return err
	}
	w.close()
	w.active, w.salt = file, salt
	w.activeInfo = segmentInfo{number: w.nextNumber, size: int64(len(data))}
	w.nextNumber++
	return nil
}

// close closes the active segment. All of its content has been synced, so an
// error of closing is ignored.
func (w *writer) close() {
	if w.active == nil {
		return
	}
	_ = w.active.Close()
	w.active = nil
	w.closed = append(w.closed, w.activeInfo)
	w.activeInfo = segmentInfo{}
}

func newSalt() (uint64, error) {
	var b [8]byte
	_, err := rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]), err
}

// removeCoveredSegments removes the segments whose entries are all at or before
// index. It removes the oldest first, so that the remaining segments have no
// gap.
func (w *writer) removeCoveredSegments(index uint64) error {
	for len(w.closed) > 0 && w.closed[0].maxIndex <= index {
		if err := w.disk.Remove(segmentName(w.closed[0].number)); err != nil {
			return err
		}
		w.closed = w.closed[1:]
	}
	return nil
}
