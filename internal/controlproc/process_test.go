package controlproc

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/internal/diskio"
)

func testSettings(t *testing.T, folder string) *Settings {
	t.Helper()
	text := strings.NewReplacer(
		"/var/lib/godwit", folder, `listen_internal = "127.0.0.1:7001"`, `listen_internal = "127.0.0.1:0"`,
		"127.0.0.1:7009", "127.0.0.1:0", "127.0.0.1:7002", "127.0.0.1:1",
	).Replace(validSettings)
	var s Settings
	if err := loadSettings(t, text, &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

// triggerWriter is a log output that calls onMatch for each write that contains text.
type triggerWriter struct {
	text    string
	onMatch func()
}

func (w triggerWriter) Write(data []byte) (int, error) {
	if strings.Contains(string(data), w.text) {
		w.onMatch()
	}
	return len(data), nil
}

// A planned stop must succeed while the replica still waits for the other initial voters, and
// must release the lock of the data folder. The second run fails if the lock is still held.
func TestStopBeforeTheGroupIsFormed(t *testing.T) {
	folder := t.TempDir()
	for range 2 {
		stop, cancel := context.WithCancel(t.Context())
		log := triggerWriter{text: "waits for the other initial voters", onMatch: cancel}
		if err := Run(stop, t.Context(), testSettings(t, folder), log); err != nil {
			t.Fatalf("planned stop: %v", err)
		}
	}
}

// A replica must not start on a data folder that another process has locked.
func TestFolderInUse(t *testing.T) {
	folder := t.TempDir()
	disk, err := diskio.NewFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := disk.Lock(); err != nil {
		t.Fatal(err)
	}
	err = Run(t.Context(), t.Context(), testSettings(t, folder), io.Discard)
	if !errors.Is(err, diskio.ErrLocked) {
		t.Errorf("error %v, want ErrLocked", err)
	}
	if err := disk.Unlock(); err != nil {
		t.Fatal(err)
	}
}
