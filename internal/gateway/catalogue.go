package gateway

import (
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events of the gateway have the numbers 3000 to 3999.
var (
	eventConfigChanged         = eventlog.Declare(3000, zapcore.InfoLevel, "services in force changed")
	eventBackendJoined         = eventlog.Declare(3010, zapcore.InfoLevel, "backend server announced itself")
	eventBackendLeft           = eventlog.Declare(3011, zapcore.InfoLevel, "backend server is leaving")
	eventBackendExpired        = eventlog.Declare(3012, zapcore.WarnLevel, "backend server has not announced itself within the lease")
	eventMalformedAnnouncement = eventlog.Declare(3013, zapcore.WarnLevel, "malformed announcement dropped")
	eventPullFailed            = eventlog.Declare(3020, zapcore.WarnLevel, "pull of announcements from an entry process failed")
	eventPullRecovered         = eventlog.Declare(3021, zapcore.InfoLevel, "pull of announcements works again")
	eventMalformedPulled       = eventlog.Declare(3022, zapcore.WarnLevel, "malformed announcement of an entry process dropped")
	eventAttemptFailed         = eventlog.Declare(3030, zapcore.DebugLevel, "request to a backend server failed")
	eventForeignAnswer         = eventlog.Declare(3031, zapcore.ErrorLevel, "backend server answered with the id of another request")
	eventOutcomeNotRecorded    = eventlog.Declare(3040, zapcore.WarnLevel, "outcome of a keyed request was not recorded")
	eventDrainStarted          = eventlog.Declare(3050, zapcore.InfoLevel, "planned stop: new requests are refused")
	eventDrainEnded            = eventlog.Declare(3051, zapcore.InfoLevel, "planned stop: requests in flight have ended")
	eventViolation             = eventlog.Declare(3090, zapcore.ErrorLevel, "check failed")
)

var (
	metricRequests           = metrics.Declare("gateway_requests_total", metrics.KindCounter, "routed requests by outcome")
	metricRefusals           = metrics.Declare("gateway_refusals_total", metrics.KindCounter, "requests refused, by reason code")
	metricRetries            = metrics.Declare("gateway_retries_total", metrics.KindCounter, "repeated dispatches, by reason of the failed one")
	metricAnswerDelay        = metrics.Declare("gateway_answer_delay_seconds", metrics.KindHistogram, "arrival to end of answer")
	metricQueueDelay         = metrics.Declare("gateway_queue_delay_seconds", metrics.KindHistogram, "wait for a backend server")
	metricBackends           = metrics.Declare("gateway_backend_servers", metrics.KindGauge, "backend servers with a valid announcement")
	metricInFlight           = metrics.Declare("gateway_requests_in_flight", metrics.KindGauge, "requests of callers being served")
	metricWaiting            = metrics.Declare("gateway_requests_waiting", metrics.KindGauge, "requests waiting for a backend server")
	metricAnnouncements      = metrics.Declare("gateway_announcements_total", metrics.KindCounter, "announcements by verdict")
	metricCrossRegion        = metrics.Declare("gateway_cross_region_requests_total", metrics.KindCounter, "requests sent to another region")
	metricOldGenerations     = metrics.Declare("gateway_old_generations_total", metrics.KindCounter, "configurations ignored because a newer one is in force")
	metricViolations         = metrics.Declare("gateway_violations_total", metrics.KindCounter, "failed checks, by name")
	metricForeignAnswers     = metrics.Declare("gateway_foreign_answers_total", metrics.KindCounter, "answers with the id of another request")
	metricConnectionsRefused = metrics.Declare("gateway_connections_refused_total", metrics.KindCounter, "caller connections refused, by reason")
	metricUnrecordedOutcomes = metrics.Declare("gateway_unrecorded_outcomes_total", metrics.KindCounter, "finish records that could not be committed")
)
