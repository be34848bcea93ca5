package entry

import (
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

var (
	eventStarted               = eventlog.Declare(2000, zapcore.InfoLevel, "entry process started")
	eventJoined                = eventlog.Declare(2001, zapcore.InfoLevel, "joined the cell")
	eventJoinRefused           = eventlog.Declare(2002, zapcore.WarnLevel, "join refused, trying again")
	eventConfigInForce         = eventlog.Declare(2003, zapcore.InfoLevel, "configuration in force")
	eventOlderConfigIgnored    = eventlog.Declare(2004, zapcore.ErrorLevel, "older configuration ignored")
	eventConfigInvalid         = eventlog.Declare(2005, zapcore.ErrorLevel, "committed configuration does not parse; the former one stays in force")
	eventFeedFailed            = eventlog.Declare(2006, zapcore.WarnLevel, "feed call to the control group failed")
	eventRenewFailed           = eventlog.Declare(2007, zapcore.WarnLevel, "renewal call to the control group failed")
	eventWorkerRefused         = eventlog.Declare(2008, zapcore.WarnLevel, "worker not admitted")
	eventStopping              = eventlog.Declare(2009, zapcore.InfoLevel, "planned stop begins")
	eventStopped               = eventlog.Declare(2010, zapcore.InfoLevel, "planned stop complete")
	eventRequestsAborted       = eventlog.Declare(2011, zapcore.ErrorLevel, "requests were cut off")
	eventLeaveFailed           = eventlog.Declare(2012, zapcore.WarnLevel, "leave could not be committed; the control group removes this process by time")
	eventListenerFailed        = eventlog.Declare(2013, zapcore.ErrorLevel, "listener failed")
	eventConnectionsAborted    = eventlog.Declare(2014, zapcore.WarnLevel, "connections were still open at the end of a planned stop")
	eventConnectionsNotRefused = eventlog.Declare(2015, zapcore.WarnLevel, "new connections could not be refused before the socket was closed; some may have been reset")
)

var (
	metricRefusals = metrics.Declare("entry_refusals_total", metrics.KindCounter,
		"calls of callers, operators and workers that were refused, by reason code")
	metricOlderConfigsIgnored = metrics.Declare("entry_config_older_total", metrics.KindCounter,
		"configurations ignored because their generation was lower than the one in force")
	metricGeneration = metrics.Declare("entry_config_generation", metrics.KindGauge,
		"generation of the configuration in force")
	metricFeedFailures = metrics.Declare("entry_feed_failures_total", metrics.KindCounter,
		"feed calls that failed")
	metricRenewDelay = metrics.Declare("entry_renew_delay_seconds", metrics.KindHistogram,
		"time from sending a batch of renewals to its answer")
	metricAttachedWorkers = metrics.Declare("entry_attached_workers", metrics.KindGauge,
		"workers that sync with this entry process")
)
