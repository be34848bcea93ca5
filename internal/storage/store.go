package storage

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/walcodec"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// MailboxSize is the capacity of the channels of requests and completions. As
// long as a client has at most this many requests without a completion, neither
// the client nor the task blocks.
const MailboxSize = 256

// Options of a Store.
type Options struct {
	Disk    diskio.Disk
	Replica replog.ReplicaID
	Logger  *eventlog.Logger
	Metrics *metrics.Set

	SegmentBytes int64 // size above which a segment is closed
	LimitBytes   int64 // log size above which appends are refused; 0 for no limit
	// EntriesPerSync limits the entries of one write and sync; 0 is no limit.
	// Benchmarks use 1 to compare group commit with one sync per entry.
	EntriesPerSync int
}

// DefaultSegmentBytes keeps the time to read a segment at startup below 0.1 s
// and the number of files that one day of log entries needs small.
const DefaultSegmentBytes = 16 << 20

// Request is an Append, a SaveSnapshot or a CreateIdentity.
type Request interface{ request() }

// Append makes log entries and the hard state durable. Appends are numbered
// from 1 without gaps. After a refusal with ErrDiskFull the refused append must
// be repeated before any later one.
type Append struct {
	Seq       uint64
	HardState *replog.HardState
	Install   *replog.Snapshot // snapshot of the leader, which replaces the log
	Entries   []replog.Entry   // replace all entries from their first index on
}

// SaveSnapshot stores a snapshot of the replica's own state and removes the
// segments that it covers. Appends continue in the meantime. Only one snapshot
// is saved at a time.
type SaveSnapshot struct{ Snapshot replog.Snapshot }

// CreateIdentity writes the identity file of an empty folder. Afterwards the replica may
// vote with this folder. If Joined is set, it joins an existing group and may
// vote only once it has stored entries of that group.
type CreateIdentity struct{ Joined bool }

func (Append) request()         {}
func (SaveSnapshot) request()   {}
func (CreateIdentity) request() {}

// Completion is the result of a request.
type Completion struct {
	Seq      uint64 // sequence number of an Append, otherwise 0
	Snapshot uint64 // index of the snapshot of a SaveSnapshot, otherwise 0
	Err      error  // nil, ErrDiskFull or ErrBusy
	LogBytes int64  // stored size of the log after the request
}

// Store is the task that owns a data folder.
type Store struct {
	opts            Options
	disk            diskio.Disk
	requests        chan Request
	completions     chan Completion
	wal             writer
	nextSeq         uint64
	diskFull        bool
	refusedState    *replog.HardState // newest hard state of the refused appends; nil if none
	identity        *walcodec.Identity
	snapshots       []string // file names, oldest first
	savingSnapshot  bool     // a goroutine is writing a snapshot
	snapshotResults chan snapshotResult
}

// Open locks and recovers the folder. A damaged folder is not changed; the
// error is then a *DamageError or ErrIncomplete.
func Open(opts Options) (*Store, Recovered, error) {
	disk := diskio.AwaitDescriptors(opts.Disk, func(err error) {
		opts.Logger.Log(eventDescriptorWait, zap.Error(err))
		opts.Metrics.Add(metricFileWaits, "", 1)
	})
	opts.Disk = disk
	if err := disk.Lock(); err != nil {
		return nil, Recovered{}, merry.Wrap(err)
	}
	store, recovered, err := open(opts)
	if err != nil {
		return nil, Recovered{}, errors.Join(err, disk.Unlock())
	}
	return store, recovered, nil
}

func open(opts Options) (*Store, Recovered, error) {
	c, err := recoverFolder(opts)
	if err != nil {
		opts.Logger.Log(eventRecoveryFailed, append(c.logFields(), zap.Error(err))...)
		return nil, Recovered{}, err
	}
	store := &Store{
		opts:            opts,
		disk:            opts.Disk,
		requests:        make(chan Request, MailboxSize),
		completions:     make(chan Completion, MailboxSize),
		wal:             newWriter(opts, c),
		nextSeq:         1,
		identity:        c.Identity,
		snapshots:       c.snapshots,
		snapshotResults: make(chan snapshotResult, 1),
	}
	opts.Logger.Log(eventRecovered, c.logFields()...)
	c.LogBytes = store.wal.sizeBytes()
	return store, c.Recovered, nil
}

// recoverFolder reads a folder, repairs it and syncs the result. After an error
// the result holds the part that was read.
func recoverFolder(opts Options) (folderContents, error) {
	c, err := readFolder(opts.Disk)
	if err != nil {
		return c, err
	}
	if c.Identity != nil && c.Identity.Replica != opts.Replica {
		return c, merry.Appendf(ErrOtherReplica, "replica %d, not %d", c.Identity.Replica, opts.Replica)
	}
	if err := repair(opts, c); err != nil {
		return c, merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	if err := syncRecovered(opts.Disk, c); err != nil {
		return c, merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	return c, nil
}

// repair truncates a torn record and removes the files left over from an
// interrupted start, snapshot or removal.
func repair(opts Options, c folderContents) error {
	for _, name := range slices.Concat(c.temporaryFiles, c.staleSegments) {
		if err := opts.Disk.Remove(name); err != nil {
			return err
		}
	}
	if !c.Torn {
		return nil
	}
	last := c.segments[len(c.segments)-1]
	opts.Logger.Log(eventTornRecordCut, zap.String("file", segmentName(last.number)), zap.Int64("offset", last.size))
	return opts.Disk.Truncate(segmentName(last.number), last.size)
}

// syncRecovered syncs the recovered files and names before the replica relies on
// them. A process that was killed between a write and its sync leaves records
// and file names that look the same as synced ones when they are read.
func syncRecovered(disk diskio.Disk, c folderContents) error {
	for _, segment := range c.segments {
		if err := disk.SyncFile(segmentName(segment.number)); err != nil {
			return err
		}
	}
	return disk.SyncFolder()
}

// Requests is the mailbox of the task.
func (s *Store) Requests() chan<- Request { return s.requests }

// Completions delivers one completion for each request. Those of appends are
// in the order of the appends.
func (s *Store) Completions() <-chan Completion { return s.completions }

// Run handles requests until ctx ends. If the folder cannot be written it
// returns an error that wraps ErrFailed; the process must then end.
func (s *Store) Run(ctx context.Context) error {
	defer s.close()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case first := <-s.requests:
			err = s.handleGroup(s.receiveGroup(first))
		case result := <-s.snapshotResults:
			err = s.completeSnapshot(result)
		}
		if err != nil {
			s.opts.Logger.Log(eventWriteFailed, zap.Error(err))
			return err
		}
	}
}

// Close releases a store on which Run was not called.
func (s *Store) Close() { s.close() }

func (s *Store) close() {
	if s.savingSnapshot {
		<-s.snapshotResults
	}
	s.wal.close()
	if err := s.disk.Unlock(); err != nil {
		s.opts.Logger.Log(eventWriteFailed, zap.Error(err))
	}
}

// receiveGroup returns first and the requests that are waiting behind it. They are
// handled as one group.
func (s *Store) receiveGroup(first Request) []Request {
	group := []Request{first}
	for len(group) < MailboxSize {
		select {
		case next := <-s.requests:
			group = append(group, next)
		default:
			return group
		}
	}
	return group
}

// handleGroup writes consecutive appends together and handles each other request
// alone.
func (s *Store) handleGroup(group []Request) error {
	var appends []Append
	for _, request := range group {
		switch request := request.(type) {
		case Append:
			if request.Install == nil {
				appends = append(appends, request)
				continue
			}
			if err := s.handleAppends(appends); err != nil {
				return err
			}
			appends = nil
			if err := s.handleInstall(request); err != nil {
				return err
			}
		case SaveSnapshot:
			if err := s.handleAppends(appends); err != nil {
				return err
			}
			appends = nil
			if err := s.handleSaveSnapshot(request.Snapshot); err != nil {
				return err
			}
		case CreateIdentity:
			if err := s.handleCreateIdentity(request); err != nil {
				return err
			}
		}
	}
	return s.handleAppends(appends)
}

func (s *Store) handleCreateIdentity(request CreateIdentity) error {
	err := s.writeIdentity(walcodec.Identity{Replica: s.opts.Replica, Joined: request.Joined})
	if err != nil && !isDiskFull(err) {
		return merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	if err != nil {
		err = ErrDiskFull
	}
	s.complete(Completion{Err: err})
	return nil
}

func (s *Store) complete(c Completion) {
	c.LogBytes = s.wal.sizeBytes()
	s.completions <- c
}

func (s *Store) handleAppends(appends []Append) error {
	accepted := s.acceptConsecutive(appends)
	if len(accepted) == 0 {
		return nil
	}
	started := time.Now()
	durable := 0
	err := s.markFormed(accepted)
	if err == nil {
		durable, err = s.wal.write(accepted)
	}
	if err != nil && !isDiskFull(err) {
		return merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	s.opts.Metrics.Observe(metricSyncDelay, time.Since(started))
	s.completeAppends(accepted, durable, err)
	return nil
}

// acceptConsecutive returns the appends whose numbers continue the sequence and
// refuses the rest, which follow a refused append.
func (s *Store) acceptConsecutive(appends []Append) []Append {
	for i, request := range appends {
		if request.Seq != s.nextSeq+uint64(i) {
			s.refuseAppends(appends[i:])
			return appends[:i]
		}
	}
	return appends
}

// completeAppends completes the first durable appends and, after an error, refuses the others. A
// durable append must not be repeated: later ones may have replaced its entries, and only entries
// that are known to be durable are committed and let a snapshot make room for the others.
func (s *Store) completeAppends(appends []Append, durable int, err error) {
	s.nextSeq += uint64(durable)
	s.opts.Metrics.Add(metricAppends, "", int64(durable))
	for _, request := range appends[:durable] {
		s.complete(Completion{Seq: request.Seq})
	}
	s.setDiskFull(err != nil, err)
	if err == nil {
		s.refusedState = nil
	}
	s.refuseAppends(appends[durable:])
}

func (s *Store) refuseAppends(appends []Append) {
	if len(appends) == 0 {
		return
	}
	s.opts.Metrics.Add(metricRefusals, "disk-full", int64(len(appends)))
	for _, request := range appends {
		if hard := request.HardState; hard != nil && (s.refusedState == nil || hard.Term >= s.refusedState.Term) {
			s.refusedState = hard
		}
		s.complete(Completion{Seq: request.Seq, Err: ErrDiskFull})
	}
}

func (s *Store) setDiskFull(full bool, err error) {
	if full == s.diskFull {
		return
	}
	s.diskFull = full
	if full {
		s.opts.Logger.Log(eventDiskFull, zap.String("segment", segmentName(s.wal.activeInfo.number)), zap.Error(err))
		return
	}
	s.opts.Logger.Log(eventDiskHasRoom)
}

// markFormed records in the identity file that the replica belongs to a formed
// group. This happens before the first entry is stored.
func (s *Store) markFormed(appends []Append) error {
	if s.identity == nil || s.identity.Formed {
		return nil
	}
	for _, request := range appends {
		if len(request.Entries) > 0 || request.Install != nil {
			formed := *s.identity
			formed.Formed = true
			return s.writeIdentity(formed)
		}
	}
	return nil
}

func (s *Store) writeIdentity(identity walcodec.Identity) error {
	if err := diskio.WriteFile(s.disk, identityFileName, walcodec.EncodeIdentity(identity)); err != nil {
		return err
	}
	s.identity = &identity
	return nil
}
