package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/replica"
)

// Workers calls workers. Each call ends with ctx at the latest; the clock is
// that of the worker in ms, or 0 where it did not tell.
type Workers interface {
	Hold(ctx context.Context, hold dispatch.Hold) dispatch.HoldReport
	Start(ctx context.Context, start dispatch.Start) (outcome dispatch.Outcome, clock int64)
	Stop(ctx context.Context, stop dispatch.Stop) (outcome dispatch.Outcome, clock int64)
}

// Adviser asks the adviser of queues, through the process that the call names.
type Adviser interface {
	Advise(ctx context.Context, call dispatch.AdviceCall) dispatch.Grant
}

// Proposer commits commands.
type Proposer interface {
	ProposeWork(ctx context.Context, command workload.Command, tag uint64) (wait func() error, err error)
}

// Options of a Dispatcher.
type Options struct {
	Workers  Workers
	Adviser  Adviser
	Proposer Proposer
	Logger   *eventlog.Logger
	Metrics  *metrics.Set

	Self        string        // address under which this process takes advice calls
	Lease       time.Duration // of workers
	HoldWait    time.Duration
	ClockLagPPM int64 // of the clocks of workers
}

// Bounds.
const (
	// stopTimeout bounds a stop. The longest way is 16 ms both ways, and a busy
	// worker answers within 100 ms.
	stopTimeout = 400 * time.Millisecond
	// holdMargin is what a hold may take beyond the wait that it asks for.
	holdMargin = 600 * time.Millisecond
	// answerQueue holds answers that the task has not taken. Those that find it
	// full wait.
	answerQueue = 1024
	// maxTurn bounds the answers that are taken before effects are carried out.
	maxTurn = 256
	// proposeTimeout bounds the wait for a commit. A longer one is counted as
	// failed: its outcome shows in the log.
	proposeTimeout = 5 * time.Second
)

// Run dispatches until ctx ends. updates come from the replica task.
func Run(ctx context.Context, opts Options, updates <-chan replica.WorkUpdate) {
	t := &task{opts: opts, updates: updates, answers: make(chan answer, answerQueue)}
	t.run(ctx)
}

// task owns the core of the running term.
type task struct {
	opts    Options
	updates <-chan replica.WorkUpdate
	answers chan answer
	term    *term // nil where this process does not lead
}

// term is what belongs to one term. Calls of an earlier term are dropped.
type term struct {
	core   *dispatch.Core
	number uint64
	ctx    context.Context
	cancel context.CancelFunc
}

// answer is the end of a call. take passes it to the core.
type answer struct {
	of   *term
	take func(core *dispatch.Core, now time.Time)
}

func (t *task) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer t.end()
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-t.updates:
			t.take(ctx, update)
		case a := <-t.answers:
			t.answered(a)
		case <-timer.C:
		}
		t.drain(ctx)
		timer.Reset(t.work())
	}
}

// drain takes what else is waiting, so that one plan serves all of it.
func (t *task) drain(ctx context.Context) {
	for range maxTurn {
		select {
		case update := <-t.updates:
			t.take(ctx, update)
		case a := <-t.answers:
			t.answered(a)
		default:
			return
		}
	}
}

func (t *task) answered(a answer) {
	if a.of == t.term && t.term != nil {
		a.take(t.term.core, time.Now())
	}
}

func (t *task) take(ctx context.Context, update replica.WorkUpdate) {
	now := time.Now()
	if update.LeadershipStart != nil {
		t.begin(ctx, *update.LeadershipStart, now)
	}
	if update.LeadershipEnded {
		t.end()
	}
	if t.term == nil {
		return
	}
	core := t.term.core
	for _, applied := range update.Applied {
		if applied.Expire {
			core.Expire(applied.Retained)
			continue
		}
		core.Apply(now, applied.At, applied.Retained, applied.Command)
		if applied.Tag != 0 {
			core.ProposalCommitted(now, applied.Tag)
		}
	}
	if update.LeaseEnd != nil {
		core.SetLeaderLease(now, *update.LeaseEnd)
	}
	for _, caller := range update.Callers {
		core.CallerSeen(now, caller)
	}
}

func (t *task) begin(ctx context.Context, lead replica.LeadershipStart, now time.Time) {
	t.end()
	restored, err := workload.Restore(lead.Snapshot)
	if err != nil {
		// The replica that took the snapshot holds this state; it cannot fail.
		t.opts.Logger.Log(eventProposal, zap.Uint64("term", lead.Term), zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	t.term = &term{number: lead.Term, ctx: ctx, cancel: cancel, core: dispatch.New(dispatch.Options{
		Term: lead.Term, Lease: t.opts.Lease, HoldWait: t.opts.HoldWait, ClockLagPPM: t.opts.ClockLagPPM, SelfAddress: t.opts.Self,
	}, restored, now)}
	t.opts.Logger.Log(eventTermBegins, zap.Uint64("term", lead.Term), zap.Int("workers", len(restored.Workers())))
}

func (t *task) end() {
	if t.term == nil {
		return
	}
	t.term.cancel()
	t.opts.Logger.Log(eventTermEnds, zap.Uint64("term", t.term.number))
	t.term = nil
}

// work carries out what is due and returns how long to wait for the next time.
func (t *task) work() time.Duration {
	const idle = time.Hour
	if t.term == nil {
		return idle
	}
	t.term.core.Tick(time.Now())
	effects := t.term.core.Effects()
	t.carryOut(effects)
	if effects.Deadline.IsZero() {
		return idle
	}
	return max(time.Until(effects.Deadline), time.Millisecond)
}

func (t *task) carryOut(e dispatch.Effects) {
	for _, d := range e.Decisions {
		t.logDecision(d)
	}
	for _, p := range e.Proposals {
		t.propose(p)
	}
	for _, hold := range e.Holds {
		t.hold(hold)
	}
	for _, start := range e.Starts {
		t.start(start)
	}
	for _, stop := range e.Stops {
		t.stop(stop)
	}
	for _, call := range e.Advice {
		t.advise(call)
	}
}

// call runs a call in a goroutine and posts what it returns.
func (t *task) call(timeout time.Duration, do func(ctx context.Context) func(*dispatch.Core, time.Time)) {
	of := t.term
	go func() {
		ctx, cancel := context.WithTimeout(of.ctx, timeout)
		defer cancel()
		take := do(ctx)
		select {
		case t.answers <- answer{of: of, take: take}:
		case <-of.ctx.Done():
		}
	}()
}

func (t *task) hold(hold dispatch.Hold) {
	t.call(hold.Wait+holdMargin, func(ctx context.Context) func(*dispatch.Core, time.Time) {
		report := t.opts.Workers.Hold(ctx, hold)
		t.opts.Metrics.Add(metricCalls, "hold-"+report.Outcome.String(), 1)
		return func(core *dispatch.Core, now time.Time) { core.HoldAnswered(now, hold.Call, report) }
	})
}

func (t *task) start(start dispatch.Start) {
	t.call(start.Timeout, func(ctx context.Context) func(*dispatch.Core, time.Time) {
		sent := time.Now()
		outcome, clock := t.opts.Workers.Start(ctx, start)
		t.opts.Metrics.Add(metricCalls, "start-"+outcome.String(), 1)
		t.opts.Metrics.Observe(metricCall, time.Since(sent))
		return func(core *dispatch.Core, now time.Time) { core.StartAnswered(now, start, outcome, clock) }
	})
}

func (t *task) stop(stop dispatch.Stop) {
	t.call(stopTimeout, func(ctx context.Context) func(*dispatch.Core, time.Time) {
		sent := time.Now()
		outcome, clock := t.opts.Workers.Stop(ctx, stop)
		t.opts.Metrics.Add(metricCalls, "stop-"+outcome.String(), 1)
		t.opts.Metrics.Observe(metricCall, time.Since(sent))
		return func(core *dispatch.Core, now time.Time) { core.StopAnswered(now, stop, outcome, clock) }
	})
}

func (t *task) advise(call dispatch.AdviceCall) {
	t.call(call.Timeout, func(ctx context.Context) func(*dispatch.Core, time.Time) {
		sent := time.Now()
		grant := t.opts.Adviser.Advise(ctx, call)
		t.opts.Metrics.Observe(metricAdvice, time.Since(sent))
		return func(core *dispatch.Core, now time.Time) { core.AdviceAnswered(now, call.ID, grant) }
	})
}

// propose hands a command to the replica in the order of the calls and waits
// for its commit in a goroutine.
func (t *task) propose(p dispatch.Proposal) {
	ctx, cancel := context.WithTimeout(t.term.ctx, proposeTimeout)
	wait, err := t.opts.Proposer.ProposeWork(ctx, p.Command, p.ID)
	if err != nil {
		cancel()
		t.failed(p.ID, err)
		return
	}
	of := t.term
	go func() {
		defer cancel()
		if err := wait(); err != nil {
			select {
			case t.answers <- answer{of: of, take: func(*dispatch.Core, time.Time) { t.failed(p.ID, err) }}:
			case <-of.ctx.Done():
			}
		}
	}()
}

func (t *task) failed(id uint64, err error) {
	t.opts.Logger.Log(eventProposal, zap.Uint64("term", t.term.number), zap.Error(err))
	t.term.core.ProposalFailed(time.Now(), id)
}
