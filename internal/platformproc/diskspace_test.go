package platformproc

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

func loggedDataDir(t *testing.T) (dataDir, *logBuffer) {
	t.Helper()
	log := &logBuffer{}
	logger, err := eventlog.New(log, "info", t.Name())
	if err != nil {
		t.Fatal(err)
	}
	return dataDir{settings: &ControlSettings{DataDir: t.TempDir()}, logger: logger, metrics: metrics.New()}, log
}

// Guards against a process that ends at every start while its disk is full.
func TestStartWaitsForDiskSpace(t *testing.T) {
	dir, log := loggedDataDir(t)
	attempts := 0
	err := dir.awaitSpace(t.Context(), func() error {
		if attempts++; attempts < 3 {
			return merry.Wrap(ErrIdentity, merry.WithCause(unix.ENOSPC))
		}
		return nil
	})
	if err != nil || attempts != 3 || len(log.eventLines(4313)) != 1 {
		t.Errorf("error %v after %d attempts, log %v", err, attempts, log.eventLines(4313))
	}
	stopped, stop := context.WithCancel(t.Context())
	stop()
	if err := dir.awaitSpace(stopped, func() error { return unix.ENOSPC }); err != nil {
		t.Errorf("planned stop of a process that waits: %v", err)
	}
	if err := dir.awaitSpace(t.Context(), func() error { return ErrIdentity }); !errors.Is(err, ErrIdentity) {
		t.Errorf("other error: %v", err)
	}
}

// Guards against an end of the process whose last log line does not name the cause.
func TestEndNamesItsCause(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	log := &logBuffer{}
	s := ControlSettings{MemoryMB: 280, OpenFiles: 4096, DataDir: filepath.Join(file, "data")}
	s.Name, s.LogLevel = t.Name(), "info"
	if err := RunControl(t.Context(), t.Context(), &s, log); !errors.Is(err, ErrIdentity) {
		t.Errorf("error %v, want ErrIdentity", err)
	}
	lines := log.eventLines(4312)
	if len(lines) != 1 || !strings.Contains(lines[0]["error"].(string), "not a directory") {
		t.Errorf("event 4312: %v", lines)
	}
}
