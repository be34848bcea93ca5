package replica

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/acceptance"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bootclock"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// task is the state of the replica task. Only the goroutine of the task uses it.
type task struct {
	opts        Options
	store       *storage.Store
	sender      *replication.Sender
	client      *http.Client // for the queries at the first start
	logMessages chan []replog.Message
	calls       chan call
	done        chan struct{}
	announcer   *replication.Announcer
	peers       peers
	recovered   storage.Recovered
	clock       clockJumpDetector
	hasIdentity bool // the data folder has an identity
	joined      bool // the data folder was empty when the replica joined a formed group
	formed      bool // an entry of a formed group was stored

	core         *replog.Core
	status       replog.Status // after the last processed effects
	coreDeadline time.Time
	loggedRole   replog.Role
	loggedLeader replog.ReplicaID

	state        *state.State
	applied      uint64
	cellFile     *cellconfig.File // the cell file in force; nil before the first one
	formerTerms  []formerTerms    // replaced lease terms under which leases may still run
	membersIndex uint64           // index of the last change of the entry processes

	inbox     inbox
	disk      diskQueue
	snapshots snapshotProgress
	proposals proposals
	reads     reads
	feeds     feedPolls
	jobWaits  jobWaits
	workFeed  workFeed
	waits     queueWaits
	uncounted acceptance.Uncounted // jobs that waits do not count
	jobMemory jobMemory
	leader    *leaderState // nil if this replica does not lead
	stopping  *plannedStop

	nextHousekeeping      time.Time
	reportedViolations    int // violations of the cell state that were logged
	reportedLogViolations map[replog.Invariant]int

	queueConfig queueConfig
}

func newTask(r *Replica, recovered storage.Recovered, client *http.Client) (*task, error) {
	t := &task{
		opts: r.opts, store: r.store, sender: r.sender, announcer: r.announcer, client: client,
		logMessages: r.logMessages, calls: r.calls, done: r.done,
		peers: newPeers(r.opts), recovered: recovered,
		hasIdentity: recovered.Identity != nil,
		joined:      recovered.Identity != nil && recovered.Identity.Joined,
		formed:      recovered.Identity != nil && recovered.Identity.Formed,
		state:       state.New(), reportedLogViolations: map[replog.Invariant]int{},
		snapshots: snapshotProgress{encoded: make(chan encodedSnapshot, 1), policy: snapshotPolicy(r.opts).Staggered(uint64(r.opts.ID)%snapshotPhases, snapshotPhases)},
		disk:      diskQueue{logBytes: recovered.LogBytes},
		jobMemory: newJobMemory(r.opts),
	}
	t.proposals.pending = map[uint64]pendingProposal{}
	t.reads.pending = map[uint64]readCall{}
	t.feeds.pending = map[cell.EntryName]*pendingFeed{}
	t.feeds.changedWorkers = map[cell.WorkerName]bool{}
	t.workFeed.updates = r.opts.WorkUpdates
	if t.hasIdentity && !t.joined && !isInitialVoter(r.opts) {
		return nil, ErrNotInitialVoter
	}
	if recovered.Snapshot != nil {
		if err := t.restore(*recovered.Snapshot, time.Now()); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// run forms or joins the group if the folder is empty and then serves messages until ctx ends or
// the replica is told to stop.
func (t *task) run(ctx context.Context) error {
	defer t.shutDown()
	t.updateAnnouncer()
	if err := t.acquireIdentity(ctx); err != nil {
		return err
	}
	if ctx.Err() != nil || t.stopping != nil {
		return nil
	}
	if err := t.startLog(time.Now()); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		t.receive(ctx, timer)
		if ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		boot, err := bootclock.Now()
		if err != nil {
			return merry.Wrap(ErrNoClock, merry.WithCause(err))
		}
		if t.clock.jumped(now, boot) {
			t.opts.Logger.Log(eventClockJumped)
			t.core.ClockJumped(now)
		}
		if err := t.runIteration(now); err != nil {
			return err
		}
		if t.stopping != nil && t.mayEnd(now) {
			return nil
		}
		timer.Reset(time.Until(t.nextDeadline()))
	}
}

func (t *task) startLog(now time.Time) error {
	// A replica that joined knows the membership only from its log. With the initial voters
	// instead, it could vote with an empty log if the settings list it as a voter.
	var voters []replog.ReplicaID
	for _, peer := range t.opts.Voters {
		if !t.joined {
			voters = append(voters, peer.ID)
		}
	}
	core, err := replog.New(replog.Config{
		ID: t.opts.ID, Membership: replog.Membership{Voters: voters},
		ElectionTimeoutMin: t.opts.ElectionTimeoutMin, ElectionTimeoutMax: t.opts.ElectionTimeoutMax,
		HeartbeatInterval: t.opts.HeartbeatInterval, MaxDriftPPM: t.opts.MaxClockDriftPPM,
		MaxBatchBytes: maxBatchBytes, MaxInflight: maxInflightAppends, MaxPending: maxPendingCommands, Seed: t.opts.Seed,
		HardState: t.recovered.HardState, Snapshot: t.recovered.Snapshot, Entries: t.recovered.Entries,
	}, now)
	if err != nil {
		return err
	}
	t.core = core
	t.status = core.Status()
	t.followMembership()
	t.recovered = storage.Recovered{}
	t.opts.Logger.Log(eventStarted, zap.Uint64("replica", uint64(t.opts.ID)), zap.Uint64("applied", t.applied))
	return nil
}

// inbox holds the messages taken from the mailboxes for one iteration.
type inbox struct {
	logMessages     []replog.Message
	calls           []call
	completions     []storage.Completion
	announceResults []replication.AnnounceResult
}

// maxMessagesPerIteration bounds the messages that are taken before the effects of the log are
// processed.
const maxMessagesPerIteration = 512

// receive blocks until there is a message or a deadline has passed. It only collects messages;
// runIteration handles them with a time that is read after their arrival.
func (t *task) receive(ctx context.Context, timer *time.Timer) {
	updates, update := t.workFeed.next()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case updates <- update:
		t.workFeed.markSent()
	case messages := <-t.logMessages:
		t.inbox.logMessages = append(t.inbox.logMessages, messages...)
	case c := <-t.calls:
		t.inbox.calls = append(t.inbox.calls, c)
	case completion := <-t.store.Completions():
		t.inbox.completions = append(t.inbox.completions, completion)
	case result := <-t.announcer.Results():
		t.inbox.announceResults = append(t.inbox.announceResults, result)
	case encoded := <-t.snapshots.encoded:
		t.snapshots.ready = &encoded
	}
	t.receiveWaiting()
}

// receiveWaiting collects the other waiting messages, so that one write and one message to each
// follower serve all of them.
func (t *task) receiveWaiting() {
	for range maxMessagesPerIteration {
		select {
		case messages := <-t.logMessages:
			t.inbox.logMessages = append(t.inbox.logMessages, messages...)
		case c := <-t.calls:
			t.inbox.calls = append(t.inbox.calls, c)
		case completion := <-t.store.Completions():
			t.inbox.completions = append(t.inbox.completions, completion)
		default:
			return
		}
	}
}

// runIteration handles the collected messages and the work that is due.
func (t *task) runIteration(now time.Time) error {
	t.sendTimeoutNow()
	t.handleCompletions(now)
	messages := t.inbox.logMessages
	t.inbox.logMessages = nil
	for _, m := range messages {
		t.core.Step(now, m)
	}
	t.core.Tick(now)
	t.status = t.core.Status()
	t.followMembership()
	calls := t.inbox.calls
	t.inbox.calls = nil
	for _, c := range calls {
		t.handle(now, c)
	}
	for _, result := range t.inbox.announceResults {
		t.learnPeers(now, result)
	}
	t.inbox.announceResults = nil
	t.tick(now)
	for again := true; again; again = t.proposeQueued(now) {
		if err := t.processEffects(now); err != nil {
			return err
		}
	}
	t.publishLeaseEnd(now)
	t.sendTimeoutNow()
	t.answerFeeds(now)
	t.answerJobWaits(now)
	t.takeSnapshot(now)
	return nil
}

func (t *task) handle(now time.Time, c call) {
	switch c := c.(type) {
	case proposeCall:
		t.handlePropose(now, c)
	case localReadCall:
		c.send(t.answerQuery(c.query))
	case readCall:
		t.handleRead(now, c)
	case renewCall:
		t.handleRenew(now, c)
	case feedCall:
		t.handleFeed(now, c)
	case announceCall:
		t.handleAnnouncement(now, c)
	case contactsCall:
		t.handleContacts(c)
	case waitsCall:
		t.receiveWaits(c.queueWaits)
	case statusCall:
		c.send(t.report())
	case stopCall:
		t.handleStop(now, c)
	}
}

// tick runs the work that is due without a message.
func (t *task) tick(now time.Time) {
	t.retryAppends(now)
	if t.leader != nil {
		t.leaderTick(now)
	}
	t.considerTransfer(now)
	if !now.Before(t.nextHousekeeping) {
		t.nextHousekeeping = now.Add(housekeepingInterval)
		t.housekeeping(now)
	}
}

// nextDeadline returns when tick has work to do without a message.
func (t *task) nextDeadline() time.Time {
	deadlines := []time.Time{t.nextHousekeeping, t.disk.retryAt, t.feeds.nextDeadline(), t.jobWaits.nextDeadline()}
	if len(t.disk.unsynced) < maxUnsyncedAppends {
		deadlines = append(deadlines, t.coreDeadline)
	}
	if t.leader != nil && !t.proposalsBlocked() {
		deadlines = append(deadlines, t.leader.nextDeadline())
	}
	if t.stopping != nil {
		deadlines = append(deadlines, t.stopping.deadline)
	}
	return earliest(deadlines...)
}

// earliest returns the earliest of the nonzero times, or zero.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, at := range times {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (t *task) report() Report {
	return Report{
		Status: replication.Status{
			ID: t.opts.ID, Formed: t.formed,
			Term: t.status.Term, Commit: t.status.Commit, Leader: t.status.Leader,
		},
		Role: t.status.Role, Membership: t.status.Membership, LeaderAddress: t.peers.directory.Address(t.status.Leader), Addresses: t.replicaAddresses(), Applied: t.applied,
		Leading: t.leader != nil, LeaseEnd: t.status.LeaseEnd,
	}
}

// housekeeping updates gauges and reports violated invariants.
func (t *task) housekeeping(now time.Time) {
	if t.peers.directory.Forget(now) {
		t.updatePeers()
	}
	t.reportMissingAddresses()
	t.reportJobMemory(now)
	t.opts.Metrics.SetGauge(metricTerm, float64(t.status.Term))
	t.opts.Metrics.SetGauge(metricAppliedIndex, float64(t.applied))
	leader := 0.0
	if t.leader != nil {
		leader = 1
	}
	t.opts.Metrics.SetGauge(metricIsLeader, leader)
	all := t.state.Violations()
	for _, violation := range all[t.reportedViolations:] {
		t.opts.Metrics.Add(metricViolations, string(violation.Check), 1)
		t.opts.Logger.Log(eventInvariantViolated, zap.String("check", string(violation.Check)), zap.String("detail", violation.Detail))
	}
	t.reportedViolations = len(all)
	for check, count := range t.core.Violations() {
		if added := count - t.reportedLogViolations[check]; added > 0 {
			t.opts.Metrics.Add(metricViolations, string(check), int64(added))
			t.opts.Logger.Log(eventInvariantViolated, zap.String("check", string(check)))
		}
		t.reportedLogViolations[check] = count
	}
}

// shutDown answers the calls that are still waiting.
func (t *task) shutDown() {
	for _, c := range t.inbox.calls {
		c.refuse(ErrStopped)
	}
	for _, c := range t.proposals.queued {
		c.refuse(ErrStopped)
	}
	for _, pending := range t.proposals.pending {
		pending.complete(proposeResult{}, ErrOutcomeUnknown)
	}
	for _, c := range t.reads.pending {
		c.refuse(ErrStopped)
	}
	for _, wait := range t.jobWaits.pending {
		wait.call.send(readResult{answer: t.answerQuery(wait.call.query), index: t.applied})
	}
	t.feeds.refuseAll(ErrStopped)
	if t.stopping != nil {
		t.stopping.call.send(struct{}{})
	}
	t.opts.Logger.Log(eventStopped, zap.Uint64("replica", uint64(t.opts.ID)))
	close(t.done)
}

// restore replaces the state with a snapshot.
func (t *task) restore(snapshot replog.Snapshot, now time.Time) error {
	decoded, err := codec.DecodeSnapshot(snapshot.Data)
	if err != nil {
		return err
	}
	restored, err := state.Restore(decoded)
	if err != nil {
		return err
	}
	t.state, t.applied, t.snapshots.lastIndex = restored, snapshot.Index, snapshot.Index
	t.reportedViolations = 0
	t.membersIndex = snapshot.Index
	t.recordQueueConfig()
	for _, record := range decoded.Records {
		t.activateCellFile(record, now)
	}
	return nil
}
