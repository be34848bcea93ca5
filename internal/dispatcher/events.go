package dispatcher

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events.
var (
	eventTermBegins     = eventlog.Declare(4000, zapcore.InfoLevel, "dispatching begins")
	eventTermEnds       = eventlog.Declare(4001, zapcore.InfoLevel, "dispatching ends")
	eventProposalFailed = eventlog.Declare(4002, zapcore.WarnLevel, "a decision was not committed")
	eventSlowPass       = eventlog.Declare(4003, zapcore.WarnLevel, "dispatching is slow, answers wait")
)

// decisionEvents maps each kind of decision of the core to its log event.
var decisionEvents = map[dispatch.DecisionKind]eventlog.Event{
	dispatch.DecisionAdopted:       eventlog.Declare(4010, zapcore.InfoLevel, "worker answers to this leader"),
	dispatch.DecisionUnresponsive:  eventlog.Declare(4011, zapcore.WarnLevel, "worker does not answer"),
	dispatch.DecisionResponsive:    eventlog.Declare(4012, zapcore.InfoLevel, "worker answers again"),
	dispatch.DecisionBootEnded:     eventlog.Declare(4013, zapcore.WarnLevel, "boot of a worker is given up"),
	dispatch.DecisionAvoided:       eventlog.Declare(4014, zapcore.WarnLevel, "worker gets nothing new for a while"),
	dispatch.DecisionPlaced:        eventlog.Declare(4015, zapcore.InfoLevel, "tasks of a step were placed"),
	dispatch.DecisionRefused:       eventlog.Declare(4016, zapcore.WarnLevel, "a placement was refused"),
	dispatch.DecisionAdviceAsked:   eventlog.Declare(4017, zapcore.InfoLevel, "adviser is asked about a step"),
	dispatch.DecisionAdviceGranted: eventlog.Declare(4018, zapcore.InfoLevel, "adviser granted workers for a step"),
	dispatch.DecisionAdviceFailed:  eventlog.Declare(4019, zapcore.WarnLevel, "adviser did not answer"),
	dispatch.DecisionRunStopped:    eventlog.Declare(4020, zapcore.InfoLevel, "run is stopped"),
	dispatch.DecisionRunEnded:      eventlog.Declare(4021, zapcore.InfoLevel, "run ended without success"),
	dispatch.DecisionFenced:        eventlog.Declare(4022, zapcore.WarnLevel, "a worker follows a later leader"),
	dispatch.DecisionStartInDoubt:  eventlog.Declare(4023, zapcore.InfoLevel, "a start got no answer and may still be carried out"),
	dispatch.DecisionClosedRun:     eventlog.Declare(4024, zapcore.WarnLevel, "worker runs what the state has closed"),
	dispatch.DecisionOverlap:       eventlog.Declare(4025, zapcore.ErrorLevel, "worker runs what the state has closed while another run of the task is open"),
	dispatch.DecisionTaskBlocked:   eventlog.Declare(4026, zapcore.InfoLevel, "task is not placed while a lost start may still begin it"),
	dispatch.DecisionUncountedEnd:  eventlog.Declare(4027, zapcore.ErrorLevel, "a run ended as done and its task is not done"),
	dispatch.DecisionRunGivenUp:    eventlog.Declare(4030, zapcore.InfoLevel, "run is given up for its predicted end"),
	dispatch.DecisionBoundBegins:   eventlog.Declare(4028, zapcore.WarnLevel, "the leader is late and begins to put off work"),
	dispatch.DecisionBoundEnds:     eventlog.Declare(4029, zapcore.InfoLevel, "the leader no longer puts off work"),
	dispatch.DecisionTeamWarning:   eventlog.Declare(4060, zapcore.WarnLevel, "the configuration of a team is probably wrong"),
}

// Metrics.
var (
	metricCalls        = metrics.Declare("worker_calls_total", metrics.KindCounter, "calls to workers, by kind and outcome")
	metricDecisions    = metrics.Declare("dispatch_decisions_total", metrics.KindCounter, "decisions of the dispatcher, by kind and reason")
	metricCallDelay    = metrics.Declare("worker_call_delay_seconds", metrics.KindHistogram, "time until a worker answered a start or a stop")
	metricPassDuration = metrics.Declare("dispatch_pass_seconds", metrics.KindHistogram, "duration of one pass of the dispatching task")
	metricAdviceDelay  = metrics.Declare("advice_delay_seconds", metrics.KindHistogram, "time until the adviser answered")
)

func (l *eventLoop) logDecision(d dispatch.Decision) {
	l.opts.Metrics.Add(metricDecisions, string(d.Kind), 1)
	fields := make([]zap.Field, 0, 10)
	if d.Job != "" {
		fields = append(fields, zap.String("job", string(d.Job)), zap.Int("step", d.Step))
	}
	if d.Run != 0 {
		fields = append(fields, zap.Int("task", d.Task), zap.Uint64("run", uint64(d.Run)))
	}
	if d.Worker != "" {
		fields = append(fields, zap.String("worker", string(d.Worker)))
	}
	if d.Team != "" {
		fields = append(fields, zap.String("team", string(d.Team)))
	}
	if d.Boot != 0 {
		fields = append(fields, zap.Int64("boot", int64(d.Boot)))
	}
	if d.OpenRun != 0 {
		fields = append(fields, zap.Uint64("open_run", uint64(d.OpenRun)))
	}
	if d.Count != 0 {
		fields = append(fields, zap.Int("count", d.Count))
	}
	if d.Reason != "" {
		fields = append(fields, zap.String("reason", d.Reason))
	}
	if d.Age != 0 {
		fields = append(fields, zap.Int64("age_ms", d.Age.Milliseconds()))
	}
	if d.Remaining != 0 {
		fields = append(fields, zap.Int64("remaining_ms", d.Remaining.Milliseconds()))
	}
	if d.Expected != 0 {
		fields = append(fields, zap.Int64("expected_ms", d.Expected.Milliseconds()))
	}
	l.opts.Logger.Log(decisionEvents[d.Kind], fields...)
}
