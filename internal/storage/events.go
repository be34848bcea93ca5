package storage

import (
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

var (
	eventRecovered        = eventlog.Declare(1000, zapcore.InfoLevel, "data folder recovered")
	eventTornRecordCut    = eventlog.Declare(1001, zapcore.WarnLevel, "torn record at the end of the log cut")
	eventDiskFull         = eventlog.Declare(1002, zapcore.ErrorLevel, "disk full, appends are refused")
	eventDiskHasRoom      = eventlog.Declare(1003, zapcore.InfoLevel, "disk has room again, appends are taken")
	eventSnapshotSaved    = eventlog.Declare(1004, zapcore.InfoLevel, "snapshot saved")
	eventSnapshotNotSaved = eventlog.Declare(1005, zapcore.WarnLevel, "snapshot not saved, the log is kept")
	eventWriteFailed      = eventlog.Declare(1006, zapcore.ErrorLevel, "data folder cannot be written, the process ends")
	eventRecoveryFailed   = eventlog.Declare(1007, zapcore.ErrorLevel, "data folder cannot be recovered")
	eventDescriptorWait   = eventlog.Declare(1008, zapcore.ErrorLevel, "a file of the data folder cannot be opened for lack of a file descriptor, it is tried again")
)

var (
	metricSyncDelay    = metrics.Declare("storage_sync_delay_seconds", metrics.KindHistogram, "time of one write and sync of the log")
	metricAppends      = metrics.Declare("storage_appends_total", metrics.KindCounter, "append requests that were synced")
	metricSyncs        = metrics.Declare("storage_syncs_total", metrics.KindCounter, "syncs of the log")
	metricWrittenBytes = metrics.Declare("storage_written_bytes_total", metrics.KindCounter, "bytes written to the log")
	metricFileWaits    = metrics.Declare("storage_descriptor_waits_total", metrics.KindCounter, "file operations that waited for a file descriptor")
	metricRefusals     = metrics.Declare("storage_refusals_total", metrics.KindCounter, "refused requests by reason")
)
