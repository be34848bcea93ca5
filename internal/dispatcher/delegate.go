package dispatcher

import (
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/internal/proxying"
)

// Delegate gives calls to call proxies. Its task delivers the results to the channel in the calls.
type Delegate interface {
	Send(calls proxying.Calls)
}

// Times that the delegate measures instead of the event loop.
const (
	HoldMargin  = holdTimeoutMargin
	LateHold    = lateAnswerTime
	StopTimeout = stopTimeout
)

// delegatedResultsSize is the capacity of the channel for results of delegated calls. The delegate collects
// what does not fit.
const delegatedResultsSize = 4

// delegateCalls passes the calls to workers to the delegate and removes them from the effects, if there
// are more workers than the leader calls itself, or if it is late.
func (l *eventLoop) delegateCalls(e *dispatch.Effects) {
	if l.opts.Delegate == nil || len(e.Holds)+len(e.Starts)+len(e.Stops) == 0 {
		return
	}
	term, workers := l.term, l.term.core.WorkerCount()
	if !term.delegation.Update(time.Now(), workers, l.opts.DelegateAbove, l.term.core.CommitTime()) {
		return
	}
	if term.delegated == nil {
		term.delegated = make(chan proxying.Results, delegatedResultsSize)
		go l.forwardResults(term, term.delegated)
	}
	l.opts.Delegate.Send(proxying.Calls{
		Term: term.number, Ended: term.ctx.Done(), Lease: term.leaderLease, Workers: workers, Results: term.delegated,
		Holds: e.Holds, Starts: e.Starts, Stops: e.Stops,
	})
	e.Holds, e.Starts, e.Stops = nil, nil, nil
}

// forwardResults queues the results of delegated calls for the event loop until the term ends.
func (l *eventLoop) forwardResults(term *leaderTerm, results <-chan proxying.Results) {
	for {
		select {
		case r := <-results:
			l.deliver(term, func(core *dispatch.Core, now time.Time) { l.handleDelegated(r, core, now) })
		case <-term.ctx.Done():
			return
		}
	}
}

// handleDelegated passes the results of delegated calls to the core, and sends the calls that no proxy sends.
func (l *eventLoop) handleDelegated(r proxying.Results, core *dispatch.Core, now time.Time) {
	var holds, starts, stops outcomeCounts
	for _, h := range r.Holds {
		holds[h.Report.Outcome]++
		core.HoldAnswered(now, h.Hold.Call, h.Report)
	}
	for _, h := range r.LateHolds {
		core.LateHoldAnswered(now, h.Hold.Call, h.Report)
	}
	for _, s := range r.Starts {
		starts[s.Outcome]++
		l.opts.Metrics.Observe(metricCallDelay, s.Delay)
		core.StartAnswered(now, s.Start, s.Outcome, s.Clock)
	}
	for _, s := range r.Stops {
		stops[s.Outcome]++
		l.opts.Metrics.Observe(metricCallDelay, s.Delay)
		core.StopAnswered(now, s.Stop, s.Outcome, s.Clock)
	}
	if len(r.LateHolds) > 0 {
		l.opts.Metrics.Add(metricCalls, "hold-late", int64(len(r.LateHolds)))
	}
	l.countCalls("hold-", holds)
	l.countCalls("start-", starts)
	l.countCalls("stop-", stops)
	for _, hold := range r.OwnHolds {
		l.sendHold(hold)
	}
	for _, start := range r.OwnStarts {
		l.sendStart(start)
	}
	for _, stop := range r.OwnStops {
		l.sendStop(stop)
	}
}

// outcomeCounts is a number of calls by outcome.
type outcomeCounts [dispatch.OutcomeNotPermitted + 1]int64

// countCalls counts the calls of a batch, which is much cheaper than to count each.
func (l *eventLoop) countCalls(kind string, counts outcomeCounts) {
	for outcome, count := range counts {
		if count > 0 {
			l.opts.Metrics.Add(metricCalls, kind+dispatch.Outcome(outcome).String(), count)
		}
	}
}
