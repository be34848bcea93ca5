package storage

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/diskio"
)

// testFileMode is the mode of files that a test writes in place of the store.
const testFileMode = 0o600

// Checks that a second process cannot open a folder that is in use, and that a
// replica with another id cannot open the folder at all.
func TestFolderIsHeldByOneReplica(t *testing.T) {
	open := func(path string, id replog.ReplicaID) (*Store, error) {
		disk, err := diskio.NewFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		opts := testOptions(disk)
		opts.Replica = id
		store, _, err := Open(opts)
		return store, err
	}
	path := t.TempDir()
	store, err := open(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := createIdentity(store); err != nil {
		t.Fatal(err)
	}
	if _, err := open(path, 1); !errors.Is(err, diskio.ErrLocked) {
		t.Errorf("second process: error %v, want diskio.ErrLocked", err)
	}
	store.Close()
	if _, err := open(path, 2); !errors.Is(err, ErrOtherReplica) {
		t.Errorf("other replica: error %v, want ErrOtherReplica", err)
	}
	store, err = open(path, 1)
	if err != nil {
		t.Fatalf("second start: %v", err)
	}
	store.Close()
}

// Checks that a folder with a damaged or missing file is refused. For a damaged
// file the error must name the file and the offset.
func TestDamagedFolderIsRefused(t *testing.T) {
	path := t.TempDir()
	writeSegments(t, path)
	segments, err := filepath.Glob(filepath.Join(path, "segment-*"))
	if err != nil || len(segments) < 3 {
		t.Fatalf("segments %v, error %v, want at least 3", segments, err)
	}
	flip := func(data []byte) []byte { data[len(data)-3] ^= 1; return data }
	missing := func([]byte) []byte { return nil }
	cases := map[string]struct {
		file   string
		change func([]byte) []byte
		want   string
	}{
		"damaged middle segment": {segments[1], flip, filepath.Base(segments[1]) + ": damaged at offset "},
		"missing middle segment": {segments[1], missing, "a segment before " + filepath.Base(segments[2]) + " is missing"},
		"missing first segment":  {segments[0], missing, "the log has a gap"},
		"damaged identity":       {filepath.Join(path, identityFileName), flip, "identity: damaged at offset "},
		"missing identity":       {filepath.Join(path, identityFileName), missing, "the file identity is missing"},
	}
	for name, c := range cases {
		original, err := os.ReadFile(c.file)
		if err != nil {
			t.Fatal(err)
		}
		if changed := c.change(bytes.Clone(original)); changed != nil {
			err = os.WriteFile(c.file, changed, testFileMode)
		} else {
			err = os.Remove(c.file)
		}
		if err != nil {
			t.Fatal(err)
		}
		disk, err := diskio.NewFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(testOptions(disk)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
		if err := os.WriteFile(c.file, original, testFileMode); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Inspect(openFolder(t, path)); err != nil {
		t.Errorf("restored folder: %v", err)
	}
}

// handleRequest handles a request to its end as Run does.
func handleRequest(store *Store, request Request) error {
	if err := store.handleGroup([]Request{request}); err != nil || !store.savingSnapshot {
		return err
	}
	return store.completeSnapshot(<-store.snapshotResults)
}

// createIdentity writes the identity file, which allows the replica to vote.
func createIdentity(store *Store) error {
	if err := store.handleGroup([]Request{CreateIdentity{}}); err != nil {
		return err
	}
	return (<-store.completions).Err
}

// openWithIdentity opens an empty folder and writes its identity file.
func openWithIdentity(t *testing.T, opts Options) *Store {
	t.Helper()
	store, _, err := Open(opts)
	if err != nil {
		t.Fatal(err)
	}
	if err := createIdentity(store); err != nil {
		t.Fatal(err)
	}
	return store
}

// handleAndComplete handles a request to its end and returns the error of its
// completion.
func handleAndComplete(t *testing.T, store *Store, request Request) error {
	t.Helper()
	if err := handleRequest(store, request); err != nil {
		t.Fatal(err)
	}
	return (<-store.completions).Err
}

func openFolder(t *testing.T, path string) diskio.Disk {
	t.Helper()
	disk, err := diskio.NewFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	return disk
}

// writeSegments writes a log of several segments without a snapshot.
func writeSegments(t *testing.T, path string) {
	t.Helper()
	store := openWithIdentity(t, testOptions(openFolder(t, path)))
	defer store.Close()
	for i := range uint64(12) {
		request := Append{Seq: i + 1, Entries: entries(3*i+1, 3*i+3, 1)}
		if err := store.handleGroup([]Request{request}); err != nil {
			t.Fatal(err)
		}
	}
	if store.identity == nil || !store.identity.Formed {
		t.Fatal("the identity does not say that the group was formed")
	}
}
