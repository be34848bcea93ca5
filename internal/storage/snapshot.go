package storage

import (
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/walcodec"
	"github.com/godwitlink/godwitlink/internal/diskio"
)

// snapshotResult is sent by the goroutine that writes a snapshot.
type snapshotResult struct {
	index uint64
	err   error
}

// handleSaveSnapshot starts saving a snapshot of the replica's own state. A
// goroutine writes it concurrently with the log, because appends must not wait
// for it. A snapshot with a later term than the stored hard state is refused,
// because a replica cannot start with it.
func (s *Store) handleSaveSnapshot(snapshot replog.Snapshot) error {
	if s.savingSnapshot {
		s.complete(Completion{Snapshot: snapshot.Index, Err: ErrBusy})
		return nil
	}
	if err := s.writeRefusedState(snapshot.Term); err != nil {
		return err
	}
	if snapshot.Term > s.wal.hardState.Term {
		s.opts.Metrics.Add(metricRefusals, "snapshot-disk-full", 1)
		s.complete(Completion{Snapshot: snapshot.Index, Err: ErrDiskFull})
		return nil
	}
	s.savingSnapshot = true
	go func() { s.snapshotResults <- snapshotResult{index: snapshot.Index, err: s.writeSnapshot(snapshot)} }()
	return nil
}

// writeRefusedState writes the hard state of the refused appends, whatever the size of
// the log, if a snapshot of the given term needs it. A log at its limit could not be cut
// otherwise after a change of the term.
func (s *Store) writeRefusedState(term uint64) error {
	if s.refusedState == nil || term <= s.wal.hardState.Term {
		return nil
	}
	err := s.wal.writeBatchWithLimit(noLimit, walcodec.Batch{HardState: s.refusedState})
	if err != nil && !isDiskFull(err) {
		return merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	return nil
}

// completeSnapshot removes the files that a saved snapshot covers. If the disk is
// full the log stays as it is, and no data is lost.
func (s *Store) completeSnapshot(result snapshotResult) error {
	s.savingSnapshot = false
	err := result.err
	if err == nil {
		err = s.compactLog(result.index)
	}
	if err != nil && !isDiskFull(err) {
		return merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	if err != nil {
		s.opts.Logger.Log(eventSnapshotNotSaved, zap.Uint64("index", result.index), zap.Error(err))
		s.opts.Metrics.Add(metricRefusals, "snapshot-disk-full", 1)
		err = ErrDiskFull
	}
	s.complete(Completion{Snapshot: result.index, Err: err})
	return nil
}

func (s *Store) compactLog(index uint64) error {
	name := snapshotName(index)
	if n := len(s.snapshots); n > 0 && s.snapshots[n-1] > name {
		// A newer snapshot was installed in the meantime.
		return s.disk.Remove(name)
	}
	s.addSnapshot(name)
	if err := s.wal.startSegment(); err != nil {
		return err
	}
	return s.removeCoveredFiles(index)
}

// handleInstall stores the leader's snapshot, which replaces the log, and then the
// entries of the same append.
func (s *Store) handleInstall(request Append) error {
	if len(s.acceptConsecutive([]Append{request})) == 0 {
		return nil
	}
	err := s.markFormed([]Append{request})
	if err == nil {
		err = s.install(request)
	}
	if err != nil && !isDiskFull(err) {
		return merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	durable := 1
	if err != nil {
		durable = 0
	}
	s.completeAppends([]Append{request}, durable, err)
	return nil
}

// install writes the hard state before the snapshot, because a replica cannot
// start with a snapshot of a later term. The size limit does not apply to the
// records that replace the log; otherwise a follower whose log is at the limit
// could never install a snapshot.
func (s *Store) install(request Append) error {
	snapshot := *request.Install
	if request.HardState != nil {
		if err := s.wal.writeBatchWithLimit(noLimit, walcodec.Batch{HardState: request.HardState}); err != nil {
			return err
		}
	}
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	s.addSnapshot(snapshotName(snapshot.Index))
	if err := s.wal.startSegment(); err != nil {
		return err
	}
	reset := &walcodec.Position{Index: snapshot.Index, Term: snapshot.Term}
	if err := s.wal.writeBatchWithLimit(noLimit, walcodec.Batch{Reset: reset}); err != nil {
		return err
	}
	// The reset replaces all earlier segments, whatever their indexes.
	if err := s.removeCoveredFiles(^uint64(0)); err != nil {
		return err
	}
	if len(request.Entries) == 0 {
		return nil
	}
	_, err := s.wal.write([]Append{{Entries: request.Entries}})
	return err
}

func snapshotName(index uint64) string { return fmt.Sprintf(snapshotFormat, index) }

// writeSnapshot makes a snapshot file durable. It runs outside the task, so it
// uses no field that the task changes.
func (s *Store) writeSnapshot(snapshot replog.Snapshot) error {
	if err := diskio.WriteFile(s.disk, snapshotName(snapshot.Index), walcodec.EncodeSnapshot(snapshot)); err != nil {
		return err
	}
	s.opts.Logger.Log(eventSnapshotSaved, zap.Uint64("index", snapshot.Index), zap.Int("bytes", len(snapshot.Data)))
	return nil
}

// addSnapshot appends a snapshot file to the list as the newest one. When a
// refused install is repeated, its file may already be in the list before that
// of a later snapshot. The earlier element is deleted, because otherwise
// removing older snapshots would remove this file.
func (s *Store) addSnapshot(name string) {
	s.snapshots = slices.DeleteFunc(s.snapshots, func(stored string) bool { return stored == name })
	s.snapshots = append(s.snapshots, name)
}

// removeCoveredFiles removes the segments up to index and all but the newest
// snapshot.
func (s *Store) removeCoveredFiles(index uint64) error {
	if err := s.wal.removeCoveredSegments(index); err != nil {
		return err
	}
	for len(s.snapshots) > 1 {
		if err := s.disk.Remove(s.snapshots[0]); err != nil {
			return err
		}
		s.snapshots = s.snapshots[1:]
	}
	return s.syncFolder()
}

func (s *Store) syncFolder() error {
	if err := s.disk.SyncFolder(); err != nil {
		return diskio.SyncError{Cause: err}
	}
	return nil
}
