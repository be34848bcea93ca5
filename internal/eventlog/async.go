package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// AsyncWriter is an io.Writer that queues log lines and writes them in a separate goroutine, so
// that a slow reader of the log delays no other task. Lines that arrive when the queue is full are
// dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// asyncQueueLines is the capacity of the queue in lines. At 300 bytes per line a full queue takes
// 1.2 MB.
const asyncQueueLines = 4096

// asyncBatchBytes is the size at which queued lines are no longer combined into one write.
const asyncBatchBytes = 32 << 10

// dropReportInterval is the minimum time between two reports of dropped lines.
const dropReportInterval = time.Second

var eventDropped = Declare(100, zapcore.WarnLevel, "log lines were dropped because the log is not read fast enough")

// NewAsyncWriter returns a writer that queues lines. Run must be called to write them to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, asyncQueueLines)}
}

// Write queues a line. It never blocks and never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends, and then the lines that are still queued.
func (a *AsyncWriter) Run(ctx context.Context, logger *Logger) {
	report := time.NewTicker(dropReportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-a.lines:
			a.writeBatch(line)
		case <-report.C:
			if n := a.dropped.Swap(0); n > 0 {
				logger.Log(eventDropped, zap.Int64("lines", n))
			}
		case <-ctx.Done():
			a.writeQueued()
			return
		}
	}
}

func (a *AsyncWriter) writeQueued() {
	for {
		select {
		case line := <-a.lines:
			a.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line together with the lines that are queued after it.
func (a *AsyncWriter) writeBatch(batch []byte) {
	for len(batch) < asyncBatchBytes {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if _, err := a.out.Write(batch); err != nil {
		// A failure to write the log cannot be logged, so it is counted as a dropped line.
		a.dropped.Add(1)
	}
}
