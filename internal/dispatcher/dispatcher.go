package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/replica"
)

// WorkerClient sends calls to workers. Each call returns when ctx ends at the latest. The returned
// clock is the worker's clock in milliseconds, or 0 if the worker did not report it.
type WorkerClient interface {
	Hold(ctx context.Context, hold dispatch.Hold) dispatch.HoldReport
	Start(ctx context.Context, start dispatch.Start) (outcome dispatch.Outcome, clock int64)
	Stop(ctx context.Context, stop dispatch.Stop) (outcome dispatch.Outcome, clock int64)
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
	Workers  WorkerClient
	Adviser  Adviser
	Proposer Proposer
	Logger   *eventlog.Logger
	Metrics  *metrics.Set

	SelfAddress string        // address of this process as an advice requester
	WorkerLease time.Duration // how far each call extends a worker's lease
	MaxLease    time.Duration // longest lease that a worker accepts
	HoldWait    time.Duration
	ClockLagPPM int64 // maximum rate by which a worker's clock may run slower than the leader's
}

const (
	// resultQueueSize is the capacity of the channel of call results. When the channel is full, the
	// calling goroutines block.
	resultQueueSize = 1024
	// maxBatch limits how many updates and call results are processed before the effects are
	// executed.
	maxBatch = 256
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
	opts    Options
	updates <-chan replica.WorkUpdate
	results chan callResult
	term    *leaderTerm // nil while this process is not the leader
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
		select {
		case <-ctx.Done():
			return
		case update := <-l.updates:
			l.handleUpdate(ctx, update)
		case result := <-l.results:
			l.handleResult(result)
		case <-timer.C:
		}
		l.handlePending(ctx)
		timer.Reset(l.runDue())
	}
}

// handlePending processes the updates and results that are already queued, so that the core plans
// once for all of them.
func (l *eventLoop) handlePending(ctx context.Context) {
	for range maxBatch {
		select {
		case update := <-l.updates:
			l.handleUpdate(ctx, update)
		case result := <-l.results:
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
	l.term = &leaderTerm{number: lead.Term, ctx: ctx, cancel: cancel, core: dispatch.New(dispatch.Options{
		Term: lead.Term, Lease: l.opts.WorkerLease, MaxLease: l.opts.MaxLease, HoldWait: l.opts.HoldWait, ClockLagPPM: l.opts.ClockLagPPM, SelfAddress: l.opts.SelfAddress,
	}, restored, now)}
	l.opts.Logger.Log(eventTermBegins, zap.Uint64("term", lead.Term), zap.Int("workers", len(restored.Workers())))
}

func (l *eventLoop) endTerm() {
	if l.term == nil {
		return
	}
	l.term.cancel()
	l.opts.Logger.Log(eventTermEnds, zap.Uint64("term", l.term.number))
	l.term = nil
}

// runDue executes what is due and returns how long the loop may wait until the next deadline.
func (l *eventLoop) runDue() time.Duration {
	const idle = time.Hour
	if l.term == nil {
		return idle
	}
	l.term.core.Tick(time.Now())
	effects := l.term.core.Effects()
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
	for _, p := range e.Proposals {
		l.propose(p)
	}
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
}

// runAsync runs call in a new goroutine and queues its result for the event loop.
func (l *eventLoop) runAsync(timeout time.Duration, call func(ctx context.Context) func(*dispatch.Core, time.Time)) {
	term := l.term
	go func() {
		ctx, cancel := context.WithTimeout(term.ctx, timeout)
		defer cancel()
		deliver := call(ctx)
		select {
		case l.results <- callResult{term: term, deliver: deliver}:
		case <-term.ctx.Done():
		}
	}()
}

// leasedWorkers returns the client for the calls that are decided now.
func (l *eventLoop) leasedWorkers() leasedClient {
	return leasedClient{workers: l.opts.Workers, leaderLease: l.term.leaderLease}
}

func (l *eventLoop) sendHold(hold dispatch.Hold) {
	workers := l.leasedWorkers()
	l.runAsync(hold.Timeout, func(ctx context.Context) func(*dispatch.Core, time.Time) {
		report := workers.Hold(ctx, hold)
		l.opts.Metrics.Add(metricCalls, "hold-"+report.Outcome.String(), 1)
		return func(core *dispatch.Core, now time.Time) { core.HoldAnswered(now, hold.Call, report) }
	})
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
	l.runAsync(stop.Timeout, func(ctx context.Context) func(*dispatch.Core, time.Time) {
		sent := time.Now()
		outcome, clock := workers.Stop(ctx, stop)
		l.opts.Metrics.Add(metricCalls, "stop-"+outcome.String(), 1)
		l.opts.Metrics.Observe(metricCallDelay, time.Since(sent))
		return func(core *dispatch.Core, now time.Time) { core.StopAnswered(now, stop, outcome, clock) }
	})
}

func (l *eventLoop) askAdviser(call dispatch.AdviceCall) {
	l.runAsync(call.Timeout, func(ctx context.Context) func(*dispatch.Core, time.Time) {
		sent := time.Now()
		grant := l.opts.Adviser.Advise(ctx, call)
		l.opts.Metrics.Observe(metricAdviceDelay, time.Since(sent))
		return func(core *dispatch.Core, now time.Time) { core.AdviceAnswered(now, call.ID, grant) }
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
			select {
			case l.results <- callResult{term: term, deliver: func(*dispatch.Core, time.Time) { l.proposalFailed(p.ID, err) }}:
			case <-term.ctx.Done():
			}
		}
	}()
}

func (l *eventLoop) proposalFailed(id uint64, err error) {
	l.opts.Logger.Log(eventProposalFailed, zap.Uint64("term", l.term.number), zap.Error(err))
	l.term.core.ProposalFailed(time.Now(), id)
}
