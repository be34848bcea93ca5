package storage

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/walcodec"
)

// createWhole creates a file with the given content under its final name. The
// file is durable when it returns and open for appending.
func createWhole(disk Disk, name string, data []byte) (File, error) {
	temporary := name + temporaryEnd
	file, err := disk.Create(temporary)
	if err != nil {
		return nil, err
	}
	if _, err := file.Write(data); err != nil {
		return nil, errors.Join(err, file.Close(), disk.Remove(temporary))
	}
	if err := file.Sync(); err != nil {
		return nil, errors.Join(syncError{err}, file.Close())
	}
	if err := disk.Rename(temporary, name); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	if err := disk.SyncFolder(); err != nil {
		return nil, errors.Join(syncError{err}, file.Close())
	}
	return file, nil
}

func writeWhole(disk Disk, name string, data []byte) error {
	file, err := createWhole(disk, name, data)
	if err != nil {
		return err
	}
	return file.Close()
}

// serveSnapshot saves a snapshot of the replica's own state. Where the disk is
// full the log is kept as it is, and nothing is lost.
func (s *Store) serveSnapshot(snapshot replog.Snapshot) error {
	err := s.saveSnapshot(snapshot)
	if err == nil {
		err = s.log.roll()
	}
	if err == nil {
		err = s.removeCovered(snapshot.Index)
	}
	if err != nil && !diskFull(err) {
		return merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	if err != nil {
		s.opts.Logger.Log(eventSnapshotNot, zap.Uint64("index", snapshot.Index), zap.Error(err))
		s.opts.Metrics.Add(metricRefusals, "snapshot-disk-full", 1)
		err = ErrDiskFull
	}
	s.completions <- Completion{Snapshot: snapshot.Index, Err: err}
	return nil
}

// serveInstall stores a snapshot of the leader, which replaces the log, and
// the rest of its append.
func (s *Store) serveInstall(request Append) error {
	if len(s.inOrder([]Append{request})) == 0 {
		return nil
	}
	err := s.markFormed([]Append{request})
	if err == nil {
		err = s.install(request)
	}
	if err != nil && !diskFull(err) {
		return merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	s.answer([]Append{request}, err)
	return nil
}

func (s *Store) install(request Append) error {
	snapshot := *request.Install
	if err := s.saveSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.log.roll(); err != nil {
		return err
	}
	reset := &walcodec.Position{Index: snapshot.Index, Term: snapshot.Term}
	if err := s.log.writeBatch(walcodec.Batch{Reset: reset}); err != nil {
		return err
	}
	if err := s.log.write([]Append{{HardState: request.HardState, Entries: request.Entries}}); err != nil {
		return err
	}
	// Everything before the reset is replaced, whatever its index.
	return s.removeCovered(^uint64(0))
}

func (s *Store) saveSnapshot(snapshot replog.Snapshot) error {
	name := fmt.Sprintf(snapshotFormat, snapshot.Index)
	if err := writeWhole(s.disk, name, walcodec.EncodeSnapshot(snapshot)); err != nil {
		return err
	}
	s.opts.Logger.Log(eventSnapshot, zap.Uint64("index", snapshot.Index), zap.Int("bytes", len(snapshot.Data)))
	if n := len(s.snapshots); n == 0 || s.snapshots[n-1] != name {
		s.snapshots = append(s.snapshots, name)
	}
	return nil
}

// removeCovered removes what the newest snapshot replaces: segments up to
// index and older snapshots.
func (s *Store) removeCovered(index uint64) error {
	if err := s.log.removeCovered(index); err != nil {
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
		return syncError{err}
	}
	return nil
}
