package dispatcher

import (
	"time"

	"go.uber.org/zap"
)

// slowPass is the duration from which a pass of the event loop is logged. It is the margin that a
// placement leaves until a ticket expires, so a longer pass may waste tickets.
const slowPass = 250 * time.Millisecond

// pass describes one pass of the event loop.
type pass struct {
	startedAt time.Time // when the first update or result was received
	handledAt time.Time // when all updates and results had been passed to the core
	decidedAt time.Time // when the core had made its decisions
	updates   int
	results   int
}

// recordPass measures a pass and logs a slow one with what the core had to consider. While passes are
// slow, answers of workers and advisers wait, and tickets expire.
func (l *eventLoop) recordPass(p pass) {
	if l.term == nil {
		return
	}
	total := time.Since(p.startedAt)
	l.opts.Metrics.Observe(metricPassDuration, total)
	load := l.term.core.Load()
	l.recordBounds(load)
	l.publishWaits(time.Now(), total)
	l.recordTeams(p.decidedAt)
	if total < slowPass {
		return
	}
	l.opts.Logger.Log(eventSlowPass,
		zap.Int64("handle_ms", p.handledAt.Sub(p.startedAt).Milliseconds()),
		zap.Int64("decide_ms", p.decidedAt.Sub(p.handledAt).Milliseconds()),
		zap.Int64("total_ms", total.Milliseconds()),
		zap.Int("updates", p.updates), zap.Int("results", p.results),
		zap.Int("jobs", load.Jobs), zap.Int("ready_steps", load.ReadySteps),
		zap.Int("advice_calls", load.AdviceCalls), zap.Int("proposals", load.Proposals),
	)
}
