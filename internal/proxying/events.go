package proxying

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events.
var (
	eventProxyUsed      = eventlog.Declare(4040, zapcore.InfoLevel, "call proxy is used")
	eventProxyNotUsed   = eventlog.Declare(4041, zapcore.WarnLevel, "call proxy is not used for a while")
	eventDelegating     = eventlog.Declare(4042, zapcore.InfoLevel, "calls to workers go through call proxies")
	eventNotDelegating  = eventlog.Declare(4043, zapcore.InfoLevel, "the leader calls all workers itself again")
	eventBadMessage     = eventlog.Declare(4044, zapcore.WarnLevel, "message of a call proxy or to one cannot be used")
	eventSessionStarted = eventlog.Declare(4045, zapcore.InfoLevel, "call proxy serves a leader")
	eventSessionEnded   = eventlog.Declare(4046, zapcore.InfoLevel, "call proxy no longer serves a leader")
	eventAnswersDropped = eventlog.Declare(4047, zapcore.WarnLevel, "answers of workers did not reach the leader in time")
)

// Metrics.
var (
	metricProxiesUsed = metrics.Declare("call_proxies_used", metrics.KindGauge, "call proxies that the leader uses")
	metricInFlight    = metrics.Declare("call_proxy_calls_in_flight", metrics.KindGauge, "calls of the leader that call proxies have not answered")
	metricRouted      = metrics.Declare("call_proxy_routed_total", metrics.KindCounter, "calls of the leader, by who sends them")
	metricLost        = metrics.Declare("call_proxy_lost_total", metrics.KindCounter, "calls given to call proxies that did not reach a worker in time, by reason")
	metricFaults      = metrics.Declare("call_proxy_faults_total", metrics.KindCounter, "times that a call proxy was no longer used, by reason")
	metricBatches     = metrics.Declare("call_proxy_batches_total", metrics.KindCounter, "batches of calls or answers sent, by kind and result")
	metricServed      = metrics.Declare("call_proxy_served_total", metrics.KindCounter, "calls sent for a leader, by outcome")
	metricRoundTrip   = metrics.Declare("call_proxy_batch_delay_seconds", metrics.KindHistogram, "time until a batch of calls was taken over by a call proxy")
)

// badMessageInterval is the least time between two log lines about messages that cannot be used. A process of
// a version that does not fit could send hundreds a second.
const badMessageInterval = 5 * time.Second

// badMessages logs some of the messages that cannot be used. Handlers and tasks share it.
type badMessages struct {
	logger *eventlog.Logger
	next   atomic.Int64 // earliest time of the next line, in Unix nanoseconds
}

func (b *badMessages) log(address string, err error) {
	now := time.Now()
	if next := b.next.Load(); now.UnixNano() >= next && b.next.CompareAndSwap(next, now.Add(badMessageInterval).UnixNano()) {
		b.logger.Log(eventBadMessage, zap.String("address", address), zap.Error(err))
	}
}
