package dispatcher

import (
	"context"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
)

// askAdviser makes an advice call in a new goroutine and queues the answer for the event loop.
func (l *eventLoop) askAdviser(call dispatch.AdviceCall) {
	term := l.term
	ctx, cancel := context.WithTimeout(term.ctx, call.Timeout)
	term.adviceCalls[call.ID] = cancel
	go func() {
		defer cancel()
		sent := time.Now()
		grant := l.opts.Adviser.Advise(ctx, call)
		grant.ReceivedAt = time.Now()
		l.opts.Metrics.Observe(metricAdviceDelay, time.Since(sent))
		l.deliver(term, func(core *dispatch.Core, now time.Time) {
			delete(term.adviceCalls, call.ID)
			core.AdviceAnswered(now, call.ID, grant)
		})
	}()
}

// dropAdviceCall ends an advice call whose answer is of no use any more.
func (t *leaderTerm) dropAdviceCall(id uint64) {
	if cancel := t.adviceCalls[id]; cancel != nil {
		cancel()
	}
}
