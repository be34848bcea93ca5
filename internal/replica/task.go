package replica

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// task is the replica task. Only its own goroutine uses it.
type task struct {
	opts      Options
	store     *storage.Store
	sender    *replication.Sender
	client    *http.Client // for the questions at the first start
	steps     chan []replog.Message
	calls     chan call
	done      chan struct{}
	announcer *replication.Announcer
	peers     peers
	recovered storage.Recovered
	clock     clockWatch
	admitted  bool // the folder has an identity
	joined    bool // the folder began empty beside a formed group
	formed    bool // an entry of a formed group was stored

	core         *replog.Core
	status       replog.Status // after the last effects
	coreDeadline time.Time
	loggedRole   replog.Role
	loggedLeader replog.ReplicaID

	state        *state.State
	applied      uint64
	file         *cellconfig.File // in force; nil before the first one
	retired      []formerTerms    // lease terms that may still be running
	membersIndex uint64           // index of the last change of the members

	mail      mail
	disk      diskQueue
	snapshots snapshotWork
	proposals proposals
	reads     reads
	feeds     feeds
	workFeed  workFeed
	leading   *leading // nil where this replica does not lead
	stopping  *stopping

	nextHousekeeping time.Time
	violations       int // of the state, counted so far
	logViolations    map[replog.Invariant]int
}

func newTask(r *Replica, recovered storage.Recovered, client *http.Client) (*task, error) {
	t := &task{
		opts: r.opts, store: r.store, sender: r.sender, announcer: r.announcer, client: client,
		steps: r.steps, calls: r.calls, done: r.done,
		peers: newPeers(r.opts), recovered: recovered,
		admitted: recovered.Identity != nil,
		joined:   recovered.Identity != nil && recovered.Identity.Joined,
		formed:   recovered.Identity != nil && recovered.Identity.Formed,
		state:    state.New(), logViolations: map[replog.Invariant]int{},
		snapshots: snapshotWork{encoded: make(chan encodedSnapshot, 1), phase: snapshotPhase(r.opts)},
	}
	t.proposals.waiting = map[uint64]waitingProposal{}
	t.reads.waiting = map[uint64]readCall{}
	t.feeds.waiting = map[cell.EntryName]*waitingFeed{}
	t.feeds.changed = map[cell.WorkerName]bool{}
	t.workFeed.out = r.opts.Work
	if t.admitted && !t.joined && !t.peers.settings[r.opts.ID] {
		return nil, ErrNotInitial
	}
	if recovered.Snapshot != nil {
		if err := t.restore(*recovered.Snapshot, time.Now()); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// run forms the group where the folder is empty and then serves messages until
// ctx ends or the replica was asked to stop.
func (t *task) run(ctx context.Context) error {
	defer t.end()
	t.announce()
	if err := t.admit(ctx); err != nil {
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
		t.wait(ctx, timer)
		if ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		if t.clock.jumped(now) {
			t.opts.Logger.Log(eventClockJumped)
			t.core.ClockJumped(now)
		}
		if err := t.turn(now); err != nil {
			return err
		}
		if t.stopping != nil && t.stopped(now) {
			return nil
		}
		timer.Reset(time.Until(t.nextDeadline()))
	}
}

func (t *task) startLog(now time.Time) error {
	// A replica that joined knows the membership only from its log. With the
	// initial voters instead, it could vote with an empty log where the
	// settings name it as one.
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
		MaxBatchBytes: maxBatchBytes, MaxInflight: maxInflight, MaxPending: maxPending, Seed: t.opts.Seed,
		HardState: t.recovered.HardState, Snapshot: t.recovered.Snapshot, Entries: t.recovered.Entries,
	}, now)
	if err != nil {
		return err
	}
	t.core = core
	t.recovered = storage.Recovered{}
	t.opts.Logger.Log(eventStarted, zap.Uint64("replica", uint64(t.opts.ID)), zap.Uint64("applied", t.applied))
	return nil
}

// mail is what a turn takes from the mailboxes.
type mail struct {
	steps       []replog.Message
	calls       []call
	completions []storage.Completion
	answers     []replication.Answer
}

// maxTurn bounds the messages of one kind that are taken before the effects of
// the log are carried out.
const maxTurn = 512

// wait blocks until there is a message or a deadline has passed. Messages are
// taken here and handled in turn, under a time read after their arrival.
func (t *task) wait(ctx context.Context, timer *time.Timer) {
	updates, update := t.workFeed.target()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case updates <- update:
		t.workFeed.sent()
	case messages := <-t.steps:
		t.mail.steps = append(t.mail.steps, messages...)
	case c := <-t.calls:
		t.mail.calls = append(t.mail.calls, c)
	case completion := <-t.store.Completions():
		t.mail.completions = append(t.mail.completions, completion)
	case answer := <-t.announcer.Answers():
		t.mail.answers = append(t.mail.answers, answer)
	case encoded := <-t.snapshots.encoded:
		t.snapshots.ready = &encoded
	}
	t.drain()
}

// drain takes what else is waiting, so that one write and one message to each
// follower serve all of it.
func (t *task) drain() {
	for range maxTurn {
		select {
		case messages := <-t.steps:
			t.mail.steps = append(t.mail.steps, messages...)
		case c := <-t.calls:
			t.mail.calls = append(t.mail.calls, c)
		case completion := <-t.store.Completions():
			t.mail.completions = append(t.mail.completions, completion)
		default:
			return
		}
	}
}

// turn handles the taken messages and the passing of time.
func (t *task) turn(now time.Time) error {
	t.handleCompletions(now)
	steps := t.mail.steps
	t.mail.steps = nil
	for _, m := range steps {
		t.core.Step(now, m)
	}
	t.core.Tick(now)
	t.status = t.core.Status()
	calls := t.mail.calls
	t.mail.calls = nil
	for _, c := range calls {
		t.handle(now, c)
	}
	for _, answer := range t.mail.answers {
		t.learnAll(answer)
	}
	t.mail.answers = nil
	t.work(now)
	for again := true; again; again = t.proposeHeld(now) {
		if err := t.flush(now); err != nil {
			return err
		}
	}
	t.workAuthority()
	t.answerFeeds(now)
	t.takeSnapshot()
	return nil
}

func (t *task) handle(now time.Time, c call) {
	switch c := c.(type) {
	case proposeCall:
		t.propose(now, c)
	case localCall:
		c.send(t.query(c.query))
	case readCall:
		t.read(now, c)
	case renewCall:
		t.renew(now, c)
	case feedCall:
		t.feed(now, c)
	case announceCall:
		t.announced(now, c)
	case statusCall:
		c.send(t.report())
	case stopCall:
		t.stop(now, c)
	}
}

// work does what is due without a message.
func (t *task) work(now time.Time) {
	t.retryDisk(now)
	if t.leading != nil {
		t.lead(now)
	}
	t.considerHandOver(now)
	if !now.Before(t.nextHousekeeping) {
		t.nextHousekeeping = now.Add(housekeepingInterval)
		t.housekeeping()
	}
}

// nextDeadline is when to wake without a message.
func (t *task) nextDeadline() time.Time {
	deadlines := []time.Time{t.nextHousekeeping, t.disk.retryAt, t.feeds.nextDeadline()}
	if len(t.disk.unsynced) < maxUnsynced {
		deadlines = append(deadlines, t.coreDeadline)
	}
	if t.leading != nil && !t.mayNotPropose() {
		deadlines = append(deadlines, t.leading.nextDeadline())
	}
	if t.stopping != nil {
		deadlines = append(deadlines, t.stopping.deadline)
	}
	return earliest(deadlines...)
}

// earliest returns the earliest of the times that are set.
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
		Role: t.status.Role, Membership: t.status.Membership, LeaderAt: t.peers.addresses[t.status.Leader], Addresses: t.replicaAddresses(), Applied: t.applied,
		Leading: t.leading != nil, LeaseEnd: t.status.LeaseEnd,
	}
}

// housekeeping updates gauges and counts violated invariants.
func (t *task) housekeeping() {
	t.checkAddresses()
	t.opts.Metrics.SetGauge(metricTerm, float64(t.status.Term))
	t.opts.Metrics.SetGauge(metricIndex, float64(t.applied))
	leader := 0.0
	if t.leading != nil {
		leader = 1
	}
	t.opts.Metrics.SetGauge(metricLeader, leader)
	all := t.state.Violations()
	for _, violation := range all[t.violations:] {
		t.opts.Metrics.Add(metricViolations, string(violation.Check), 1)
		t.opts.Logger.Log(eventViolation, zap.String("check", string(violation.Check)), zap.String("detail", violation.Detail))
	}
	t.violations = len(all)
	for check, count := range t.core.Violations() {
		if added := count - t.logViolations[check]; added > 0 {
			t.opts.Metrics.Add(metricViolations, string(check), int64(added))
			t.opts.Logger.Log(eventViolation, zap.String("check", string(check)))
		}
		t.logViolations[check] = count
	}
}

// end answers the calls that are still waiting.
func (t *task) end() {
	for _, c := range t.mail.calls {
		c.refuse(ErrStopped)
	}
	for _, c := range t.proposals.held {
		c.refuse(ErrStopped)
	}
	for _, waiting := range t.proposals.waiting {
		waiting.finish(proposed{}, ErrOutcomeUnknown)
	}
	for _, c := range t.reads.waiting {
		c.refuse(ErrStopped)
	}
	t.feeds.refuseAll(ErrStopped)
	if t.stopping != nil {
		t.stopping.call.send(struct{}{})
	}
	t.opts.Logger.Log(eventStopped, zap.Uint64("replica", uint64(t.opts.ID)))
	close(t.done)
}

// restore replaces the state by a snapshot.
func (t *task) restore(snapshot replog.Snapshot, now time.Time) error {
	decoded, err := codec.DecodeSnapshot(snapshot.Data)
	if err != nil {
		return err
	}
	restored, err := state.Restore(decoded)
	if err != nil {
		return err
	}
	t.state, t.applied, t.snapshots.index = restored, snapshot.Index, snapshot.Index
	t.violations = 0
	t.membersIndex = snapshot.Index
	for _, record := range decoded.Records {
		t.configChanged(record, now)
	}
	return nil
}
