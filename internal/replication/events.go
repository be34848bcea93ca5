package replication

import (
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events.
var (
	eventPeerLost  = eventlog.Declare(1100, zapcore.WarnLevel, "replica cannot be reached")
	eventPeerBack  = eventlog.Declare(1101, zapcore.InfoLevel, "replica is reached again")
	eventMalformed = eventlog.Declare(1102, zapcore.WarnLevel, "malformed message of the log dropped")
)

// Metrics.
var (
	metricSent = metrics.Declare("replication_messages_sent_total", metrics.KindCounter,
		"messages that another replica has taken")
	metricBytes = metrics.Declare("replication_sent_bytes_total", metrics.KindCounter,
		"bytes of the messages that another replica has taken")
	metricDropped = metrics.Declare("replication_messages_dropped_total", metrics.KindCounter,
		"messages that were not sent or not taken, by reason")
)
