package eventlog

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

var eventTest = Event{Number: 1, Level: zapcore.InfoLevel, Text: "test"}

// A log that is not read must not block the caller, and the dropped lines must be counted.
func TestAsyncNeverBlocks(t *testing.T) {
	a := NewAsyncWriter(&bytes.Buffer{})
	for range asyncQueueLines + 10 {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got := a.dropped.Load(); got != 10 {
		t.Errorf("%d lines counted as dropped, want 10", got)
	}
}

// The lines that are still queued at the end of the process must be written.
func TestAsyncWritesQueuedLinesAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	logger, err := New(a, "info", "p")
	if err != nil {
		t.Fatal(err)
	}
	logger.Log(eventTest)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.Run(ctx, logger)
	if !strings.Contains(out.String(), `"event":1`) {
		t.Errorf("written: %q", out.String())
	}
}

// Errors must be logged without stack traces, which multiply the size of the log.
func TestErrorsAreLoggedAsText(t *testing.T) {
	var out bytes.Buffer
	logger, err := New(&out, "info", "p")
	if err != nil {
		t.Fatal(err)
	}
	logger.Log(eventTest, zap.Error(merry.Wrap(errors.New("cause"))))
	if line := out.String(); !strings.Contains(line, `"error":"cause"`) || strings.Contains(line, "goroutine") || strings.Contains(line, "Verbose") {
		t.Errorf("line %q", line)
	}
}
