package startup

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/pause"
)

// Log events.
var (
	eventWaits    = eventlog.Declare(4313, zapcore.ErrorLevel, "a step of the start fails and is repeated")
	eventContinue = eventlog.Declare(4334, zapcore.InfoLevel, "the start goes on")
)

var (
	metricRetries = metrics.Declare("start_retries_total", metrics.KindCounter, "steps of the start that are repeated, by cause")
	metricBlocked = metrics.Declare("start_blocked", metrics.KindGauge, "1 while a step of the start fails, 2 while an operator must act, otherwise 0")
)

// ErrStopped is returned for a step that had not succeeded when the process was told to stop.
var ErrStopped = merry.Sentinel("the process was told to stop before its start was complete")

// Path is where the state of the start is served.
const Path = "/start"

// Cause says why a step fails.
type Cause string

// Causes.
const (
	CauseDiskFull     Cause = "disk-full"
	CauseDataFolder   Cause = "data-folder"   // the folder or its device cannot be used
	CauseAddress      Cause = "address"       // a listener cannot be opened
	CauseSettings     Cause = "settings"      // the settings contradict the data
	CauseOtherVersion Cause = "other-version" // the data is of a version that this program cannot read
)

// NeedsOperator reports whether the step cannot succeed unless a person acts.
func (c Cause) NeedsOperator() bool { return c == CauseOtherVersion || c == CauseSettings }

// Waits between two attempts. Most causes are over within seconds, and a control replica that is
// back sooner is one more that may be lost.
const (
	minWait      = 100 * time.Millisecond
	maxWait      = time.Second
	operatorWait = 5 * time.Second
)

// wait returns the time from a failed attempt to the next one.
func (c Cause) wait(former time.Duration) time.Duration {
	if c.NeedsOperator() {
		return operatorWait
	}
	return min(max(2*former, minWait), maxWait)
}

// Start reports how far the start of a process is. Its steps are carried out by one goroutine.
type Start struct {
	logger  *eventlog.Logger
	metrics *metrics.Set
	blocked atomic.Pointer[blocked] // nil while no step fails
}

type blocked struct {
	step  string
	cause Cause
	err   string
	since time.Time
}

// New returns a Start whose steps have not failed.
func New(logger *eventlog.Logger, set *metrics.Set) *Start {
	return &Start{logger: logger, metrics: set}
}

// Do repeats a step until it succeeds or ctx ends; the error is then ErrStopped. An attempt that fails must leave
// nothing behind that would make the next one fail.
func (s *Start) Do(ctx context.Context, step string, causeOf func(error) Cause, attempt func() error) error {
	err := attempt()
	for wait := time.Duration(0); err != nil; err = attempt() {
		cause := causeOf(err)
		wait = cause.wait(wait)
		s.block(step, cause, err)
		s.metrics.Add(metricRetries, string(cause), 1)
		if pause.For(ctx, wait) != nil {
			return merry.Wrap(ErrStopped, merry.WithCause(err))
		}
	}
	s.unblock(step)
	return nil
}

// AwaitOperator reports an error that only a person can mend, and returns when ctx ends.
func (s *Start) AwaitOperator(ctx context.Context, step string, cause Cause, err error) {
	s.block(step, cause, err)
	<-ctx.Done()
}

// block logs a failure unless it is the same as the last one.
func (s *Start) block(step string, cause Cause, err error) {
	now := blocked{step: step, cause: cause, err: eventlog.ErrorText(err), since: time.Now()}
	if former := s.blocked.Load(); former != nil && former.step == step {
		now.since = former.since
		if former.cause == cause && former.err == now.err {
			return
		}
	}
	s.blocked.Store(&now)
	s.metrics.SetGauge(metricBlocked, blockedValue(cause))
	s.logger.Log(eventWaits, zap.String("step", step), zap.String("cause", string(cause)), zap.Bool("operator", cause.NeedsOperator()), zap.Error(err))
}

func blockedValue(cause Cause) float64 {
	if cause.NeedsOperator() {
		return 2
	}
	return 1
}

func (s *Start) unblock(step string) {
	former := s.blocked.Swap(nil)
	s.metrics.SetGauge(metricBlocked, 0)
	if former != nil {
		s.logger.Log(eventContinue, zap.String("step", step), zap.Int64("waited_ms", time.Since(former.since).Milliseconds()))
	}
}

// ServeHTTP answers 200 while no step of the start fails, and otherwise 503 with the step and the cause.
func (s *Start) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	now := s.blocked.Load()
	if now == nil {
		// The peer may have disconnected.
		_, _ = fmt.Fprintln(w, "ok")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, "step: %s\ncause: %s\noperator must act: %t\nsince: %s\nerror: %s\n", now.step, now.cause, now.cause.NeedsOperator(), now.since.UTC().Format(time.RFC3339), now.err)
}

// IsStopped reports whether a start ended because the process was told to stop.
func IsStopped(err error) bool { return errors.Is(err, ErrStopped) }
