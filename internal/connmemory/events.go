package connmemory

import (
	"github.com/ansel1/merry/v2"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// ErrNoRoom means that a request got no memory. It has not run.
var ErrNoRoom = merry.Sentinel("no memory for the request")

// Log events.
var (
	eventRefused          = eventlog.Declare(4330, zapcore.WarnLevel, "requests or connections of a peer were refused or closed to bound the memory or the time that they take")
	eventLimits           = eventlog.Declare(4331, zapcore.InfoLevel, "limits of clients' requests taken over")
	eventUnreadNotBounded = eventlog.Declare(4333, zapcore.WarnLevel, "receive buffers of a listener cannot be bounded")
)

// Metrics. The label is the use for memory, and the reason for refusals.
var (
	metricHeld     = metrics.Declare("connection_memory_bytes", metrics.KindGauge, "memory that connections hold, by use")
	metricRefusals = metrics.Declare("connection_memory_refusals_total", metrics.KindCounter, "requests and connections that were refused or closed to bound what connections hold, by reason")
)

// Reasons of refusals.
const (
	reasonNoRoomPrefix = "no-room-"       // followed by the use that had no memory
	reasonStalled      = "stalled"        // the connection made no progress and its memory was needed
	reasonSocketNeeded = "socket-needed"  // the connection made no progress and its descriptor was needed
	reasonHeadTooLarge = "head-too-large" // above the limit of the configuration or of the process
	reasonBodyTooLarge = "body-too-large"
	// reasonDecodedTooLarge means that a body inside the limit becomes larger than the process has memory for.
	reasonDecodedTooLarge = "decoded-too-large"
)
