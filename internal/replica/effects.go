package replica

import (
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// diskQueue tracks the writes that the storage task has not completed.
type diskQueue struct {
	lastSeq     uint64 // sequence number of the last append
	unsynced    []unsyncedAppend
	lastSyncAt  time.Time // completion of the last append
	outstanding int       // submitted requests without a completion
	full        bool      // the disk refused an append; new commands are refused
	retryAt     time.Time // when to repeat the refused appends; zero if none is scheduled
	logBytes    int64     // stored size of the log
	logFull     bool      // the log is so large that new commands are refused
}

// unsyncedAppend is an append that is not synced, with the messages to send after its sync.
type unsyncedAppend struct {
	request     storage.Append
	mark        uint64
	submittedAt time.Time
	committedAt time.Time // when a quorum of other replicas committed it; zero before
	afterSync   []replog.Message
}

// processEffects carries out the effects of the log until there are none. While too many writes
// are outstanding it leaves them in the log.
func (t *task) processEffects(now time.Time) error {
	for len(t.disk.unsynced) < maxUnsyncedAppends {
		effects := t.core.Effects()
		t.coreDeadline = effects.Deadline
		if effects.Empty() {
			break
		}
		if err := t.applyEffects(now, effects); err != nil {
			return err
		}
	}
	t.updateRole(now)
	return nil
}

func (t *task) applyEffects(now time.Time, e replog.Effects) error {
	t.sender.Send(t.withholdTimeoutNow(e.Messages))
	t.persist(now, e)
	if e.Snapshot != nil {
		if err := t.installSnapshot(*e.Snapshot, now); err != nil {
			return err
		}
	}
	for _, entry := range e.Committed {
		if err := t.applyEntry(now, entry); err != nil {
			return err
		}
	}
	for _, read := range e.Reads {
		t.finishRead(now, read)
	}
	return nil
}

func (t *task) persist(now time.Time, e replog.Effects) {
	if e.HardState == nil && e.Snapshot == nil && len(e.Entries) == 0 {
		t.sendAfterSync(e.AfterSync)
		return
	}
	t.formed = t.formed || e.Snapshot != nil || len(e.Entries) > 0
	t.disk.lastSeq++
	request := storage.Append{Seq: t.disk.lastSeq, HardState: e.HardState, Install: e.Snapshot, Entries: e.Entries}
	t.disk.unsynced = append(t.disk.unsynced, unsyncedAppend{request: request, mark: e.Mark, submittedAt: now, afterSync: e.AfterSync})
	if !t.disk.full {
		t.submit(request)
	}
}

// sendAfterSync sends messages once the last outstanding write is synced.
func (t *task) sendAfterSync(messages []replog.Message) {
	if len(messages) == 0 {
		return
	}
	if n := len(t.disk.unsynced); n > 0 {
		last := &t.disk.unsynced[n-1]
		last.afterSync = append(last.afterSync, messages...)
		return
	}
	t.sender.Send(messages)
}

// submit never blocks: at most maxUnsyncedAppends appends and one snapshot are outstanding, and
// the mailbox of the storage task has room for more.
func (t *task) submit(request storage.Request) {
	t.disk.outstanding++
	t.store.Requests() <- request
}

func (t *task) handleCompletions(now time.Time) {
	completions := t.inbox.completions
	t.inbox.completions = nil
	for _, c := range completions {
		t.disk.outstanding--
		t.disk.logBytes = c.LogBytes
		switch {
		case c.Snapshot != 0:
			t.snapshotSaved(now, c)
		case c.Err != nil:
			t.setDiskFull(true)
		default:
			t.appendSynced(now)
		}
	}
	if t.disk.full && t.disk.outstanding == 0 && t.disk.retryAt.IsZero() {
		t.disk.retryAt = now.Add(diskRetryInterval)
	}
	t.setLogFull(refusesCommands(t.disk.logBytes, t.opts.Storage.LimitBytes))
}

// setLogFull records whether the log is too large for new commands.
func (t *task) setLogFull(full bool) {
	if full == t.disk.logFull {
		return
	}
	t.disk.logFull = full
	event := eventLogHasRoom
	if full {
		event = eventLogFull
	}
	t.opts.Logger.Log(event, zap.Int64("bytes", t.disk.logBytes), zap.Int64("limit", t.opts.Storage.LimitBytes),
		zap.Uint64("applied", t.applied), zap.Uint64("last_snapshot", t.snapshots.lastIndex), zap.Bool("snapshot_in_progress", t.snapshots.inProgress))
}

// appendSynced handles the completion of the oldest append. Appends complete in order.
func (t *task) appendSynced(now time.Time) {
	t.disk.lastSyncAt = now
	first := t.disk.unsynced[0]
	t.disk.unsynced = t.disk.unsynced[1:]
	t.core.Persisted(now, first.mark)
	t.sender.Send(first.afterSync)
	if len(t.disk.unsynced) == 0 {
		t.setDiskFull(false)
	}
}

func (t *task) setDiskFull(full bool) {
	if full == t.disk.full {
		return
	}
	t.disk.full = full
	event := eventDiskSpaceAvailable
	if full {
		event = eventDiskFull
	}
	t.opts.Logger.Log(event, zap.Int("waiting", len(t.disk.unsynced)))
}

// retryAppends submits the refused appends again, in order.
func (t *task) retryAppends(now time.Time) {
	if t.disk.retryAt.IsZero() || now.Before(t.disk.retryAt) {
		return
	}
	t.disk.retryAt = time.Time{}
	t.opts.Metrics.Add(metricRetries, "disk-full", 1)
	for _, pending := range t.disk.unsynced {
		t.submit(pending.request)
	}
}

// snapshotProgress tracks the snapshot of the local state that is being encoded or written.
type snapshotProgress struct {
	encoded    chan encodedSnapshot
	ready      *encodedSnapshot
	inProgress bool
	saving     replog.Snapshot // submitted to the storage task
	lastIndex  uint64          // index of the last snapshot that was saved or installed
	notBefore  time.Time       // when the next snapshot may be taken after one that failed
	// policy is staggered between the replicas for the first snapshot after a start. Copying the
	// state blocks the replica task; commits continue as long as only one replica does so at a time.
	policy replog.SnapshotPolicy
}

// snapshotPhases is the number of different phases. It allows for 5 replicas.
const snapshotPhases = 5

func snapshotPolicy(opts Options) replog.SnapshotPolicy {
	bytes := int64(maxLogBytesBySnapshot)
	if opts.LogMemoryBytes > 0 {
		bytes = min(bytes, opts.LogMemoryBytes)
	}
	if limit := opts.Storage.LimitBytes; limit > 0 {
		bytes = min(bytes, limit*snapshotLogPercent/100)
	}
	return replog.SnapshotPolicy{Entries: opts.SnapshotEveryEntries, LogBytes: bytes}
}

// refusesCommands reports whether a log of this size takes no new commands. The rest of the limit is
// for the entries that the group has accepted already, and for votes and terms: without them the log
// could be neither committed nor cut.
func refusesCommands(logBytes, limit int64) bool {
	return limit > 0 && logBytes >= limit*refuseLogPercent/100
}

// takeSnapshot starts a snapshot if one is due, and submits an encoded snapshot to the storage task.
func (t *task) takeSnapshot(now time.Time) {
	if ready := t.snapshots.ready; ready != nil {
		t.snapshots.ready = nil
		t.saveSnapshot(now, *ready)
	}
	use := replog.LogUse{Applied: t.applied, LastSnapshot: t.snapshots.lastIndex, Bytes: t.disk.logBytes, Refused: t.disk.full}
	if t.snapshots.inProgress || now.Before(t.snapshots.notBefore) || !t.snapshots.policy.Due(use) {
		return
	}
	t.snapshots.policy = snapshotPolicy(t.opts)
	snapshot, err := t.core.SnapshotAt(t.applied)
	if err != nil {
		t.snapshotFailed(now, err)
		return
	}
	if len(snapshot.Membership.Voters) == 0 {
		// A replica that joined has not applied the entry that added it yet. Other replicas refuse
		// a snapshot without voters.
		return
	}
	t.snapshots.inProgress = true
	content := t.state.Snapshot()
	// Encoding would block the task for longer than heartbeats may be delayed.
	go func() {
		var err error
		snapshot.Data, err = codec.EncodeSnapshot(content)
		t.snapshots.encoded <- encodedSnapshot{snapshot: snapshot, err: err}
	}()
}

func (t *task) saveSnapshot(now time.Time, encoded encodedSnapshot) {
	if encoded.err != nil {
		t.snapshotFailed(now, encoded.err)
		return
	}
	if encoded.snapshot.Index < t.snapshots.lastIndex {
		// A newer snapshot was installed meanwhile.
		t.snapshots.inProgress = false
		return
	}
	t.snapshots.saving = encoded.snapshot
	t.submit(storage.SaveSnapshot{Snapshot: encoded.snapshot})
}

func (t *task) snapshotFailed(now time.Time, err error) {
	t.snapshots.inProgress = false
	t.snapshots.notBefore = now.Add(snapshotRetryInterval)
	t.opts.Metrics.Add(metricRetries, "snapshot", 1)
	t.opts.Logger.Log(eventSnapshotFailed, zap.Error(err), zap.Int64("log_bytes", t.disk.logBytes))
}

func (t *task) snapshotSaved(now time.Time, c storage.Completion) {
	saved := t.snapshots.saving
	t.snapshots.saving = replog.Snapshot{}
	if c.Err != nil {
		t.snapshotFailed(now, c.Err)
		return
	}
	t.snapshots.inProgress = false
	t.snapshots.lastIndex = max(t.snapshots.lastIndex, saved.Index)
	if t.disk.full {
		t.snapshots.notBefore = now.Add(snapshotRetryInterval)
		if t.disk.outstanding == 0 {
			t.disk.retryAt = now // the snapshot may have made room
		}
	}
	if err := t.core.Compact(saved); err != nil {
		t.opts.Logger.Log(eventSnapshotFailed, zap.Error(err))
	}
}

// installSnapshot replaces the state with the leader's snapshot. Pending commands up to its index
// are either part of it or were replaced; the snapshot does not show which.
func (t *task) installSnapshot(snapshot replog.Snapshot, now time.Time) error {
	if err := t.restore(snapshot, now); err != nil {
		return err
	}
	t.proposals.failUpTo(snapshot.Index)
	t.opts.Logger.Log(eventSnapshotInstalled, zap.Uint64("index", snapshot.Index), zap.Int("bytes", len(snapshot.Data)))
	return nil
}

// applyEntry applies a committed entry. The leader decodes each command before it proposes it, so
// a command that cannot be decoded was written by another version of the program. The replica then
// stops, because skipping the command would make its state differ from that of the others.
func (t *task) applyEntry(now time.Time, entry replog.Entry) error {
	t.applied = entry.Index
	pending, known := t.proposals.remove(entry.Index)
	if known && pending.term != entry.Term {
		pending.complete(proposeResult{}, t.notLeaderError())
		known = false
	}
	if entry.Kind != replog.EntryCommand {
		return nil
	}
	command := pending.command
	if !known {
		var err error
		command, err = codec.DecodeCommand(entry.Data)
		if err != nil {
			t.opts.Logger.Log(eventUndecodableEntry, zap.Uint64("index", entry.Index), zap.Error(err))
			return merry.Wrap(ErrUnknownCommand, merry.WithCause(err), merry.AppendMessagef("entry %d", entry.Index))
		}
	}
	command.Term = entry.Term
	result, events := t.state.Apply(entry.Index, command)
	t.opts.Metrics.Add(metricCommands, "", 1)
	if result.Refusal != state.RefusalNone {
		t.opts.Metrics.Add(metricCommandRefusals, string(result.Refusal), 1)
	}
	t.updateAfterApply(now, entry.Index, command, result, events)
	if command.Workload != nil {
		t.jobWaits.changed = true
		t.recordQueueConfig()
	}
	t.publishApplied(command, pending.tag)
	if known {
		pending.complete(proposeResult{result: result, index: entry.Index}, nil)
	}
	return nil
}
