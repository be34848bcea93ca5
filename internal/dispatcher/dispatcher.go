package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/callproxy"
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/proxying"
	"github.com/godwitlink/godwitlink/internal/replica"
)

// WorkerClient sends calls to workers. Each call returns when ctx ends at the latest. maySend is asked
// again after each wait for a connection; once it is false, the call is not sent. The returned clock is the
// worker's clock in milliseconds, or 0 if the worker did not report it.
type WorkerClient interface {
	Hold(ctx context.Context, maySend func() bool, hold dispatch.Hold) dispatch.HoldReport
	Start(ctx context.Context, maySend func() bool, start dispatch.Start) (outcome dispatch.Outcome, clock int64)
	Stop(ctx context.Context, maySend func() bool, stop dispatch.Stop) (outcome dispatch.Outcome, clock int64)
}

// Adviser asks the adviser which workers may run a step. The call names its requester, the
// process that calls the adviser.
type Adviser interface {
	Advise(ctx context.Context, call dispatch.AdviceCall) dispatch.Grant
}

// Proposer commits commands to the replicated log.
type Proposer interface {
	ProposeWork(ctx context.Context, command workload.Command, tag uint64) (wait func() error, err error)
}

// Options configures Run.
type Options struct {
	Workers WorkerClient
	// Delegate sends the calls to workers if there are more than DelegateAbove, or if the leader is late;
	// nil if there is none.
	Delegate      Delegate
	DelegateAbove int
	Adviser       Adviser
	Proposer      Proposer
	Acceptor      Acceptor // may be nil
	Logger        *eventlog.Logger
	Metrics       *metrics.Set

	SelfAddress string // address of this process as an advice requester
	// TrustDeclaredRunTimes is dispatch.Options.TrustDeclared.
	TrustDeclaredRunTimes bool
	WorkerLease           time.Duration // how far each call extends a worker's lease
	MaxLease              time.Duration // longest lease that a worker accepts
	HoldWait              time.Duration
	ClockLagPPM           int64 // maximum rate by which a worker's clock may run slower than the leader's
}

const (
	// stopTimeout covers the longest round trip (16 ms) and the time a busy worker takes to answer
	// (100 ms).
	stopTimeout = 400 * time.Millisecond
	// holdTimeoutMargin is the time a hold may take in addition to the wait that it requests, before it
	// counts as unanswered.
	holdTimeoutMargin = 600 * time.Millisecond
	// lateAnswerTime is how much longer the answer is waited for, unless a later hold is answered.
	lateAnswerTime = 1500 * time.Millisecond
	// maxLateHolds is the number of holds to a worker that can be waited for after their timeout. The
	// others have ended, because each has a timeout before the next one is sent.
	maxLateHolds = 3
	// resultQueueSize is the capacity of the channel of call results. When the channel is full, the
	// calling goroutines block.
	resultQueueSize = 1024
	// maxBatch limits how many updates and call results are processed before the effects are
	// executed. It exceeds resultQueueSize, so that no worker is given up while its answer is queued.
	maxBatch = 2 * resultQueueSize
	// proposeTimeout limits the wait for a commit. A proposal that takes longer counts as failed;
	// if it is committed later, the core learns of it from the log.
	proposeTimeout = 5 * time.Second
)

// Run dispatches jobs while this process is the leader, until ctx ends. The replica task sends the
// updates.
func Run(ctx context.Context, opts Options, updates <-chan replica.WorkUpdate) {
	l := &eventLoop{opts: opts, updates: updates, results: make(chan callResult, resultQueueSize)}
	l.run(ctx)
}

// eventLoop owns the core of the current term.
type eventLoop struct {
	opts        Options
	updates     <-chan replica.WorkUpdate
	results     chan callResult
	term        *leaderTerm     // nil while this process is not the leader
	queueLabels map[string]bool // queues with a label of their own in the metrics
	teams       teamLoads
}

// leaderTerm holds the state of one term as leader. Results of calls from an earlier term are
// discarded.
type leaderTerm struct {
	core   *dispatch.Core
	number uint64
	ctx    context.Context
	cancel context.CancelFunc
	// leaderLease is the end of the leader lease.
	leaderLease lease.Deadline
	// lateHolds cancels, by worker, the last holds that were not answered in time.
	lateHolds map[workload.WorkerID][]context.CancelFunc
	// adviceCalls cancels the advice calls in flight.
	adviceCalls map[uint64]context.CancelFunc
	// boundsActive and boundHits are what was last published of the core's bounds.
	boundsActive int
	waits        publishedWaits
	applied      uint64 // index of the last entry that the core knows
	boundHits    []uint64
	// delegation decides whether calls are delegated; delegated receives their results.
	delegation callproxy.Delegation
	delegated  chan proxying.Results
}

// callResult is the result of a call. deliver passes it to the core.
type callResult struct {
	term    *leaderTerm
	deliver func(core *dispatch.Core, now time.Time)
}

func (l *eventLoop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer l.endTerm()
	for {
		var p pass
		select {
		case <-ctx.Done():
			return
		case update := <-l.updates:
			p.startedAt = time.Now()
			p.updates++
			l.handleUpdate(ctx, update)
		case result := <-l.results:
			p.startedAt = time.Now()
			p.results++
			l.handleResult(result)
		case <-timer.C:
			p.startedAt = time.Now()
		}
		l.handlePending(ctx, &p)
		timer.Reset(l.runDue(&p))
		l.recordPass(p)
	}
}

// handlePending processes the updates and results that are already queued, so that the core plans
// once for all of them.
func (l *eventLoop) handlePending(ctx context.Context, p *pass) {
	for range maxBatch {
		select {
		case update := <-l.updates:
			p.updates++
			l.handleUpdate(ctx, update)
		case result := <-l.results:
			p.results++
			l.handleResult(result)
		default:
			return
		}
	}
}

func (l *eventLoop) handleResult(result callResult) {
	if result.term == l.term && l.term != nil {
		result.deliver(l.term.core, time.Now())
	}
}

func (l *eventLoop) handleUpdate(ctx context.Context, update replica.WorkUpdate) {
	now := time.Now()
	if update.LeadershipStart != nil {
		l.beginTerm(ctx, *update.LeadershipStart, now)
	}
	if update.LeadershipEnded {
		l.endTerm()
	}
	if l.term == nil {
		return
	}
	core := l.term.core
	for _, applied := range update.Applied {
		l.term.applied = applied.Index
		if applied.Expire {
			core.Expire(applied.Retained, applied.Steady)
			continue
		}
		core.Apply(now, applied.At, applied.Retained, applied.Command)
		if applied.Tag != 0 {
			core.ProposalCommitted(now, applied.Tag)
		}
	}
	if update.LeaseEnd != nil {
		l.term.leaderLease = *update.LeaseEnd
		core.SetLeaderLease(now, *update.LeaseEnd)
	}
	for _, address := range update.AdviceRequesters {
		core.RequesterSeen(now, address)
	}
}

func (l *eventLoop) beginTerm(ctx context.Context, lead replica.LeadershipStart, now time.Time) {
	l.endTerm()
	restored, err := workload.Restore(lead.Snapshot)
	if err != nil {
		// The snapshot was taken from a valid state by the replica in this process, so restoring it
		// cannot fail.
		l.opts.Logger.Log(eventProposalFailed, zap.Uint64("term", lead.Term), zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l.term = &leaderTerm{number: lead.Term, ctx: ctx, cancel: cancel, lateHolds: map[workload.WorkerID][]context.CancelFunc{}, adviceCalls: map[uint64]context.CancelFunc{}, core: dispatch.New(dispatch.Options{
		Term: lead.Term, Lease: l.opts.WorkerLease, MaxLease: l.opts.MaxLease, HoldWait: l.opts.HoldWait, LateAnswerTime: lateAnswerTime, ClockLagPPM: l.opts.ClockLagPPM, SelfAddress: l.opts.SelfAddress, TrustDeclared: l.opts.TrustDeclaredRunTimes,
	}, restored, now)}
	l.opts.Logger.Log(eventTermBegins, zap.Uint64("term", lead.Term), zap.Int("workers", len(restored.Workers())))
}

func (l *eventLoop) endTerm() {
	if l.term == nil {
		return
	}
	l.term.cancel()
	l.opts.Logger.Log(eventTermEnds, zap.Uint64("term", l.term.number))
	l.opts.Metrics.SetGauge(metricBounds, 0)
	l.opts.Metrics.SetGauge(metricRefusingQueues, 0)
	l.publishTeams(nil)
	l.term = nil
}

// runDue executes what is due and returns how long the loop may wait until the next deadline.
func (l *eventLoop) runDue(p *pass) time.Duration {
	const idle = time.Hour
	p.handledAt = time.Now()
	p.decidedAt = p.handledAt
	if l.term == nil {
		return idle
	}
	l.term.core.Tick(p.handledAt)
	effects := l.term.core.Effects()
	p.decidedAt = time.Now()
	l.execute(effects)
	if effects.Deadline.IsZero() {
		return idle
	}
	return max(time.Until(effects.Deadline), time.Millisecond)
}

func (l *eventLoop) execute(e dispatch.Effects) {
	for _, d := range e.Decisions {
		l.logDecision(d)
	}
	l.recordRunTimes(e)
	for _, p := range e.Proposals {
		l.propose(p)
	}
	l.delegateCalls(&e)
	for _, hold := range e.Holds {
		l.sendHold(hold)
	}
	for _, start := range e.Starts {
		l.sendStart(start)
	}
	for _, stop := range e.Stops {
		l.sendStop(stop)
	}
	for _, call := range e.Advice {
		l.askAdviser(call)
	}
	for _, id := range e.DroppedAdvice {
		l.term.dropAdviceCall(id)
	}
}

// runAsync runs call in a new goroutine and queues its result for the event loop.
func (l *eventLoop) runAsync(timeout time.Duration, call func(ctx context.Context) func(*dispatch.Core, time.Time)) {
	term := l.term
	go func() {
		ctx, cancel := context.WithTimeout(term.ctx, timeout)
		defer cancel()
		l.deliver(term, call(ctx))
	}()
}

// deliver queues the result of a call for the event loop, unless the term has ended.
func (l *eventLoop) deliver(term *leaderTerm, deliver func(*dispatch.Core, time.Time)) {
	select {
	case l.results <- callResult{term: term, deliver: deliver}:
	case <-term.ctx.Done():
	}
}

// leasedWorkers returns the client for the calls that are decided now.
func (l *eventLoop) leasedWorkers() leasedClient {
	return leasedClient{workers: l.opts.Workers, leaderLease: l.term.leaderLease}
}

// sendHold sends a hold. If it counts as unanswered, its answer is still delivered if it arrives within
// lateAnswerTime.
func (l *eventLoop) sendHold(hold dispatch.Hold) {
	workers, term := l.leasedWorkers(), l.term
	ctx, cancel := context.WithTimeout(term.ctx, hold.Wait+holdTimeoutMargin+lateAnswerTime)
	answers := make(chan dispatch.HoldReport, 1)
	go func() {
		defer cancel()
		answers <- workers.Hold(ctx, hold)
	}()
	go l.deliverHoldAnswer(term, hold, answers, cancel)
}

// deliverHoldAnswer delivers the answer to a hold. If there is none in time, it delivers that first.
func (l *eventLoop) deliverHoldAnswer(term *leaderTerm, hold dispatch.Hold, answers <-chan dispatch.HoldReport, cancel context.CancelFunc) {
	report, inTime := awaitAnswer(answers, hold.Wait+holdTimeoutMargin)
	if !inTime {
		report.Outcome = dispatch.OutcomeNoAnswer
	}
	l.opts.Metrics.Add(metricCalls, "hold-"+report.Outcome.String(), 1)
	l.deliver(term, func(core *dispatch.Core, now time.Time) {
		switch {
		case !inTime:
			term.addLateHold(hold.Worker, cancel)
		case report.Outcome == dispatch.OutcomeOK:
			term.cancelLateHolds(hold.Worker)
		}
		core.HoldAnswered(now, hold.Call, report)
	})
	if inTime {
		return
	}
	if late := <-answers; late.Outcome == dispatch.OutcomeOK {
		l.opts.Metrics.Add(metricCalls, "hold-late", 1)
		l.deliver(term, func(core *dispatch.Core, now time.Time) { core.LateHoldAnswered(now, hold.Call, late) })
	}
}

// addLateHold notes a hold that was not answered in time.
func (t *leaderTerm) addLateHold(worker workload.WorkerID, cancel context.CancelFunc) {
	holds := append(t.lateHolds[worker], cancel)
	t.lateHolds[worker] = holds[max(len(holds)-maxLateHolds, 0):]
}

// cancelLateHolds ends the earlier holds after a worker has answered a later one, whose answer lists the
// same ends. They would occupy the worker's connections.
func (t *leaderTerm) cancelLateHolds(worker workload.WorkerID) {
	for _, cancel := range t.lateHolds[worker] {
		cancel()
	}
	delete(t.lateHolds, worker)
}

// awaitAnswer waits for an answer until a timeout. An answer that is already there counts as in time: this
// process may not have run when the timeout passed.
func awaitAnswer(answers <-chan dispatch.HoldReport, timeout time.Duration) (report dispatch.HoldReport, inTime bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case report = <-answers:
		return report, true
	case <-timer.C:
	}
	select {
	case report = <-answers:
		return report, true
	default:
		return dispatch.HoldReport{}, false
	}
}

func (l *eventLoop) sendStart(start dispatch.Start) {
	workers := l.leasedWorkers()
	l.runAsync(start.Timeout, func(ctx context.Context) func(*dispatch.Core, time.Time) {
		sent := time.Now()
		outcome, clock := workers.Start(ctx, start)
		l.opts.Metrics.Add(metricCalls, "start-"+outcome.String(), 1)
		l.opts.Metrics.Observe(metricCallDelay, time.Since(sent))
		return func(core *dispatch.Core, now time.Time) { core.StartAnswered(now, start, outcome, clock) }
	})
}

func (l *eventLoop) sendStop(stop dispatch.Stop) {
	workers := l.leasedWorkers()
	l.runAsync(stopTimeout, func(ctx context.Context) func(*dispatch.Core, time.Time) {
		sent := time.Now()
		outcome, clock := workers.Stop(ctx, stop)
		l.opts.Metrics.Add(metricCalls, "stop-"+outcome.String(), 1)
		l.opts.Metrics.Observe(metricCallDelay, time.Since(sent))
		return func(core *dispatch.Core, now time.Time) { core.StopAnswered(now, stop, outcome, clock) }
	})
}

// propose passes a command to the replica and waits for its commit in a new goroutine. Commands are
// passed in the order of the calls to propose.
func (l *eventLoop) propose(p dispatch.Proposal) {
	ctx, cancel := context.WithTimeout(l.term.ctx, proposeTimeout)
	wait, err := l.opts.Proposer.ProposeWork(ctx, p.Command, p.ID)
	if err != nil {
		cancel()
		l.proposalFailed(p.ID, err)
		return
	}
	term := l.term
	go func() {
		defer cancel()
		if err := wait(); err != nil {
			l.deliver(term, func(*dispatch.Core, time.Time) { l.proposalFailed(p.ID, err) })
		}
	}()
}

func (l *eventLoop) proposalFailed(id uint64, err error) {
	l.opts.Logger.Log(eventProposalFailed, zap.Uint64("term", l.term.number), zap.Error(err))
	l.term.core.ProposalFailed(time.Now(), id)
}
