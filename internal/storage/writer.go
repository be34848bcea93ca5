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

// maxGroupBytes closes a group commit. It is far below
// walcodec.MaxRecordBytes, because the last entry of a group may exceed it.
const maxGroupBytes = 16 << 20

// noLimit as the limit of the log's size allows every record.
const noLimit = 0

// writer appends records to the last segment.
type writer struct {
	disk      diskio.Disk
	metrics   *metrics.Set
	options   Options
	active    diskio.File // nil until the first write
	salt      uint64
	current   segmentInfo // of the active segment
	closed    []segmentInfo
	next      uint64 // number of the next segment
	hardState replog.HardState
	last      walcodec.Position  // end of the log as the records state it
	reset     *walcodec.Position // to be recorded with the next entries
	payload   []byte             // buffers used again for each record
	record    []byte
}

func newWriter(opts Options, c content) writer {
	w := writer{
		disk: opts.Disk, metrics: opts.Metrics, options: opts,
		closed: c.segments, next: 1, hardState: c.HardState, last: c.written, reset: c.reset,
	}
	if n := len(c.segments); n > 0 {
		w.next = c.segments[n-1].number + 1
	}
	return w
}

func segmentName(number uint64) string { return fmt.Sprintf(segmentFormat, number) }

// write makes a group durable and returns how many of its appends are. An error of
// a full disk leaves the log as it was before the record that did not fit.
func (w *writer) write(group []Append) (durable int, err error) {
	for _, batch := range batches(group, w.options.EntriesPerSync) {
		if err := w.writeBatch(batch.Batch); err != nil {
			return durable, err
		}
		durable = batch.appends
	}
	return durable, nil
}

// groupBatch is a batch and the number of appends of the group that end in it or
// in one before it.
type groupBatch struct {
	walcodec.Batch
	appends int
}

// batches joins the appends of a group to as few batches as the bounds allow.
func batches(group []Append, maxEntries int) []groupBatch {
	var all []groupBatch
	batch := walcodec.Batch{}
	size := 0
	for i, request := range group {
		if request.HardState != nil {
			batch.HardState = request.HardState
		}
		for _, entry := range request.Entries {
			if size >= maxGroupBytes || (maxEntries > 0 && len(batch.Entries) >= maxEntries) {
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
	return w.writeWithin(w.options.LimitBytes, batch)
}

// writeWithin makes a batch durable. It returns ErrDiskFull where the log would
// be larger than limit in bytes.
func (w *writer) writeWithin(limit int64, batch walcodec.Batch) error {
	if w.active == nil || w.current.size > w.options.SegmentBytes {
		if err := w.roll(); err != nil {
			return err
		}
	}
	if w.reset != nil && batch.Reset == nil {
		batch.Reset = w.reset
	}
	w.payload = walcodec.AppendBatch(w.payload[:0], batch)
	w.record = walcodec.AppendRecord(w.record[:0], w.salt, w.current.size, w.payload)
	if err := w.appendRecord(limit); err != nil {
		return err
	}
	w.written(batch)
	return nil
}

func (w *writer) appendRecord(limit int64) error {
	if limit != noLimit && w.total()+int64(len(w.record)) > limit {
		return ErrDiskFull
	}
	if _, err := w.active.Write(w.record); err != nil {
		// The part that was written is cut, so that the next record stands
		// where its header says.
		return errors.Join(err, w.cut(err))
	}
	if err := w.active.Sync(); err != nil {
		return diskio.SyncError{Cause: err}
	}
	w.current.size += int64(len(w.record))
	w.metrics.Add(metricSyncs, "", 1)
	w.metrics.Add(metricBytes, "", int64(len(w.record)))
	return nil
}

// cut removes what a refused write has left. It is durable when it returns,
// because the next record may go to another segment.
func (w *writer) cut(cause error) error {
	if !diskFull(cause) {
		return nil
	}
	if err := errors.Join(w.active.Truncate(w.current.size), w.active.Sync()); err != nil {
		return diskio.SyncError{Cause: err}
	}
	return nil
}

// total is the size of all segments in bytes.
func (w *writer) total() int64 {
	sum := w.current.size
	for _, segment := range w.closed {
		sum += segment.size
	}
	return sum
}

func (w *writer) written(batch walcodec.Batch) {
	if batch.Reset != nil {
		w.last, w.reset = *batch.Reset, nil
	}
	if batch.HardState != nil {
		w.hardState = *batch.HardState
	}
	for _, entry := range batch.Entries {
		w.current.maxIndex = max(w.current.maxIndex, entry.Index)
		w.last = walcodec.Position{Index: entry.Index, Term: entry.Term}
	}
}

// roll starts a segment. Its first record repeats the hard state, so that the
// segments before it can be removed.
func (w *writer) roll() error {
	salt, err := newSalt()
	if err != nil {
		return err
	}
	first := walcodec.Batch{Base: &w.last, HardState: &w.hardState}
	data := walcodec.AppendSegmentHeader(nil, walcodec.SegmentHeader{Number: w.next, Salt: salt})
	data = walcodec.AppendRecord(data, salt, int64(len(data)), walcodec.AppendBatch(nil, first))
	file, err := diskio.CreateFile(w.disk, segmentName(w.next), data)
	if err != nil {
		return err
	}
	w.close()
	w.active, w.salt = file, salt
	w.current = segmentInfo{number: w.next, size: int64(len(data))}
	w.next++
	return nil
}

// close closes the active segment. Everything in it has been synced, so an
// error of closing changes nothing.
func (w *writer) close() {
	if w.active == nil {
		return
	}
	_ = w.active.Close()
	w.active = nil
	w.closed = append(w.closed, w.current)
	w.current = segmentInfo{}
}

func newSalt() (uint64, error) {
	var b [8]byte
	_, err := rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]), err
}

// removeCovered removes the segments whose entries are all at or before index,
// from the oldest on, so that the rest has no gap.
func (w *writer) removeCovered(index uint64) error {
	for len(w.closed) > 0 && w.closed[0].maxIndex <= index {
		if err := w.disk.Remove(segmentName(w.closed[0].number)); err != nil {
			return err
		}
		w.closed = w.closed[1:]
	}
	return nil
}
