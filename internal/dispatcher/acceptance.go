package dispatcher

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/core/acceptance"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Acceptor refuses the jobs that could not end in time (package acceptance).
type Acceptor interface {
	// PublishWaits replaces the waits of the queues while this process leads in a term. counted is the index
	// of the last entry that they count.
	PublishWaits(term, counted uint64, waits []acceptance.QueueWait)
}

// acceptanceInterval is the time between two calculations of the waits. It is a fraction of
// acceptance.MaxAge, so that a wait is renewed before it may no longer be used.
const acceptanceInterval = 250 * time.Millisecond

var (
	eventRefusalsBegin = eventlog.Declare(4004, zapcore.WarnLevel, "jobs are refused because they could not end in time")
	eventRefusalsEnd   = eventlog.Declare(4005, zapcore.InfoLevel, "jobs are no longer refused")

	metricRefusingQueues = metrics.Declare("dispatch_refusing_queues", metrics.KindGauge, "queues of which jobs are refused because they could not end in time")
	metricLongestWait    = metrics.Declare("dispatch_longest_wait_seconds", metrics.KindGauge, "longest wait of a queue of which jobs are refused")
)

// publishedWaits is what a term has published of the waits of queues.
type publishedWaits struct {
	nextAt   time.Time
	lastPass time.Duration
	refusing int // queues
	since    time.Time
}

// publishWaits calculates the waits of the queues after a pass and passes them to the acceptor. A single long
// pass, as at the begin of a term, does not count.
func (l *eventLoop) publishWaits(now time.Time, passLength time.Duration) {
	published := &l.term.waits
	lateness := min(passLength, published.lastPass)
	published.lastPass = passLength
	if l.opts.Acceptor == nil || now.Before(published.nextAt) {
		return
	}
	published.nextAt = now.Add(acceptanceInterval)
	waits := l.term.core.QueueWaits(now, lateness)
	if len(waits) == 0 && published.refusing == 0 {
		return
	}
	longest := time.Duration(0)
	for _, w := range waits {
		longest = max(longest, w.Overdue)
	}
	switch {
	case published.refusing == 0:
		published.since = now
		l.opts.Logger.Log(eventRefusalsBegin, zap.Int("queues", len(waits)), zap.Int64("longest_wait_ms", longest.Milliseconds()))
	case len(waits) == 0:
		l.opts.Logger.Log(eventRefusalsEnd, zap.Int64("took_ms", now.Sub(published.since).Milliseconds()))
	}
	published.refusing = len(waits)
	l.opts.Metrics.SetGauge(metricRefusingQueues, float64(len(waits)))
	l.opts.Metrics.SetGauge(metricLongestWait, longest.Seconds())
	l.opts.Acceptor.PublishWaits(l.term.number, l.term.applied, waits)
}
