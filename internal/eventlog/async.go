package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Async writes log lines in a task of its own, so that no decision waits for
// the reader of the log. Lines that find the queue full are dropped and counted.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// asyncQueueLines is the number of lines that may wait. At 300 bytes a line it holds
// 1.2 MB.
const asyncQueueLines = 4096

// asyncBatchBytes joins waiting lines to one write.
const asyncBatchBytes = 32 << 10

// dropReportInterval is the time between two lines on dropped lines.
const dropReportInterval = time.Second

var eventDropped = Declare(100, zapcore.WarnLevel, "log lines were dropped because the log is not read fast enough")

// NewAsync returns a writer. Run must be called for it to write.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: make(chan []byte, asyncQueueLines)}
}

// Write queues a line. It never waits and never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes until ctx ends, and then what is still waiting.
func (a *Async) Run(ctx context.Context, logger *Logger) {
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

func (a *Async) writeQueued() {
	for {
		select {
		case line := <-a.lines:
			a.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line together with those that wait behind it.
func (a *Async) writeBatch(batch []byte) {
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
		// There is no other place to tell of a log that cannot be written.
		a.dropped.Add(1)
	}
}
