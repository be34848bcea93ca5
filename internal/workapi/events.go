package workapi

import (
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events.
var (
	eventSubmitted          = eventlog.Declare(4100, zapcore.InfoLevel, "job submission answered")
	eventCancelled          = eventlog.Declare(4101, zapcore.InfoLevel, "job cancellation answered")
	eventReadFailed         = eventlog.Declare(4102, zapcore.InfoLevel, "job or queue could not be read")
	eventQueuesChanged      = eventlog.Declare(4103, zapcore.InfoLevel, "queue configuration taken over")
	eventControlUnavailable = eventlog.Declare(4104, zapcore.WarnLevel, "control group does not answer, the queue configuration is kept")
	eventControlAvailable   = eventlog.Declare(4105, zapcore.InfoLevel, "control group answers again")
	eventBadKey             = eventlog.Declare(4106, zapcore.InfoLevel, "call rejected, it has no key of a team")
	eventWorkerReported     = eventlog.Declare(4110, zapcore.InfoLevel, "worker registration answered")
	eventConfigured         = eventlog.Declare(4111, zapcore.InfoLevel, "queue configuration answered")
	eventConfigReadFailed   = eventlog.Declare(4112, zapcore.WarnLevel, "queue configuration could not be read")
)

// Metrics.
var (
	metricAnswers       = metrics.Declare("job_answers_total", metrics.KindCounter, "answers to requests on jobs and queues, by call and outcome")
	metricTeamRefusals  = metrics.Declare("team_refusals_total", metrics.KindCounter, "submissions refused because of a limit of their team, by team and reason")
	metricSubmitDelay   = metrics.Declare("job_submit_delay_seconds", metrics.KindHistogram, "time until a submission was answered")
	metricReadDelay     = metrics.Declare("job_read_delay_seconds", metrics.KindHistogram, "time until a read of a job was answered")
	metricRegistrations = metrics.Declare("worker_registrations_total", metrics.KindCounter, "registrations of workers, by outcome")
	metricQueuesVersion = metrics.Declare("queues_version", metrics.KindGauge, "version of the queue configuration in force here")
)
