package sockets

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/core/openfiles"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// ErrNone means that no socket was available in time. No connection was opened.
var ErrNone = merry.Sentinel("no socket available")

// Log events.
var eventShortage = eventlog.Declare(4320, zapcore.WarnLevel, "a connection waits because all sockets of its use are open")

// Metrics. The label is the use.
var (
	metricOpen     = metrics.Declare("sockets_open", metrics.KindGauge, "open connections, by use")
	metricWaits    = metrics.Declare("socket_waits_total", metrics.KindCounter, "connections that had to wait for a socket, by use")
	metricRefusals = metrics.Declare("socket_refusals_total", metrics.KindCounter, "connections that were not opened or were closed for lack of a socket, by use")
)

// shortageReportInterval is the minimum time between two reports of a shortage of one use.
const shortageReportInterval = 5 * time.Second

// Permit allows one open connection.
type Permit struct{ home chan Permit }

// Budget holds the permits of a process. It is safe for concurrent use.
type Budget struct {
	reserved   [openfiles.UseCount]chan Permit
	shared     chan Permit
	open       [openfiles.UseCount]atomic.Int64
	waiting    atomic.Int64                     // connections that wait for a permit
	shortUntil [openfiles.UseCount]atomic.Int64 // end of the last known shortage, in Unix nanoseconds
	nextReport [openfiles.UseCount]atomic.Int64
	reclaimers []func()
	logger     *eventlog.Logger
	metrics    *metrics.Set
}

// New returns a budget of the given division.
func New(division openfiles.Division, logger *eventlog.Logger, set *metrics.Set) *Budget {
	b := &Budget{shared: newPermits(division.Shared), logger: logger, metrics: set}
	for use, count := range division.Reserved {
		b.reserved[use] = newPermits(count)
	}
	return b
}

func newPermits(count int) chan Permit {
	permits := make(chan Permit, count)
	for range count {
		permits <- Permit{permits}
	}
	return permits
}

// OnShortage registers a function that closes idle connections. It is called when a connection has to
// wait for a permit. All functions must be registered before the first connection is opened.
func (b *Budget) OnShortage(reclaim func()) { b.reclaimers = append(b.reclaimers, reclaim) }

// Plenty reports whether more than half of the permits that all uses share are free.
func (b *Budget) Plenty() bool { return 2*len(b.shared) > cap(b.shared) }

// Wanted reports whether a connection waits for a permit. The owner of a connection that becomes idle then
// closes it.
func (b *Budget) Wanted() bool { return b.waiting.Load() > 0 }

// Wait is a wait for a permit, beside other events.
type Wait struct {
	budget           *Budget
	use              openfiles.Use
	Reserved, Shared <-chan Permit // a permit that is received ends the wait with Take
}

// StartWait begins a wait. The caller must end it with Take or Cancel.
func (b *Budget) StartWait(use openfiles.Use) Wait {
	b.waiting.Add(1)
	b.recordShortage(use)
	return Wait{b, use, b.reserved[use], b.shared}
}

// Take ends a wait with the permit that was received.
func (w Wait) Take() {
	w.budget.waiting.Add(-1)
	w.budget.opened(w.use)
}

// Cancel ends a wait without a permit.
func (w Wait) Cancel() { w.budget.waiting.Add(-1) }

// TryAcquire returns a permit if one is available now.
func (b *Budget) TryAcquire(use openfiles.Use) (permit Permit, ok bool) {
	select {
	case permit = <-b.reserved[use]:
	default:
		select {
		case permit = <-b.shared:
		default:
			return Permit{}, false
		}
	}
	b.opened(use)
	return permit, true
}

// Acquire waits for a permit until ctx ends. The error is then ErrNone.
func (b *Budget) Acquire(ctx context.Context, use openfiles.Use) (Permit, error) {
	if permit, ok := b.TryAcquire(use); ok {
		return permit, nil
	}
	wait := b.StartWait(use)
	b.Reclaim()
	var permit Permit
	select {
	case permit = <-wait.Reserved:
	case permit = <-wait.Shared:
	case <-ctx.Done():
		wait.Cancel()
		return Permit{}, b.Refused(use, ctx.Err())
	}
	wait.Take()
	return permit, nil
}

// opened counts a permit that is in use.
func (b *Budget) opened(use openfiles.Use) {
	b.metrics.SetGaugeFor(metricOpen, use.String(), float64(b.open[use].Add(1)))
}

// Release returns the permit of a closed connection.
func (b *Budget) Release(use openfiles.Use, permit Permit) {
	b.metrics.SetGaugeFor(metricOpen, use.String(), float64(b.open[use].Add(-1)))
	permit.home <- permit
}

// Reclaim asks the owners of idle connections to close some.
func (b *Budget) Reclaim() {
	for _, reclaim := range b.reclaimers {
		reclaim()
	}
}

// recordShortage counts a connection that has to wait.
func (b *Budget) recordShortage(use openfiles.Use) {
	b.metrics.Add(metricWaits, use.String(), 1)
	now := time.Now()
	b.shortUntil[use].Store(now.Add(shortagePeriod).UnixNano())
	if next := b.nextReport[use].Load(); now.UnixNano() >= next && b.nextReport[use].CompareAndSwap(next, now.Add(shortageReportInterval).UnixNano()) {
		b.logger.Log(eventShortage, zap.String("use", use.String()), zap.Int64("open", b.open[use].Load()))
	}
}

// Refused counts a connection that got no permit in time, and returns its error.
func (b *Budget) Refused(use openfiles.Use, cause error) error {
	b.metrics.Add(metricRefusals, use.String(), 1)
	return merry.Wrap(ErrNone, merry.WithCause(cause))
}

// shortagePeriod is how long a shortage is assumed to last after a connection had to wait.
const shortagePeriod = 2 * time.Second

// Short reports whether a connection of a use had to wait recently.
func (b *Budget) Short(use openfiles.Use) bool {
	return time.Now().UnixNano() < b.shortUntil[use].Load()
}
