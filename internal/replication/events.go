package replication

import (
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events.
var (
	eventPeerUnreachable  = eventlog.Declare(1100, zapcore.WarnLevel, "replica cannot be reached")
	eventPeerReachable    = eventlog.Declare(1101, zapcore.InfoLevel, "replica is reached again")
	eventMalformedMessage = eventlog.Declare(1102, zapcore.WarnLevel, "malformed message of the log dropped")
)

// Metrics.
var (
	metricMessagesSent = metrics.Declare("replication_messages_sent_total", metrics.KindCounter,
		"messages that another replica has taken")
	metricBytesSent = metrics.Declare("replication_sent_bytes_total", metrics.KindCounter,
		"bytes of the messages that another replica has taken")
	metricMessagesDropped = metrics.Declare("replication_messages_dropped_total", metrics.KindCounter,
		"messages that were not sent or not taken, by reason")
)
