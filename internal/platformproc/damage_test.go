package platformproc

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// Guards against discarding a log because of an error that is temporary or that a downgrade causes
// on all replicas, and against a process that fails at every start because its log is lost.
func TestErrorsThatReplaceTheIdentity(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{nil, false},
		{merry.Wrap(&storage.DamageError{File: "segment", Reason: "checksum"}), true},
		{errors.Join(merry.Wrap(&storage.DamageError{}), nil), true},
		{merry.Wrap(&storage.DamageError{OtherVersion: true}), false},
		{merry.Prepend(storage.ErrIncomplete, "a segment is missing"), true},
		{merry.Append(storage.ErrOtherReplica, "1, not 2"), true},
		{replica.ErrMustJoin, true},
		{merry.Wrap(diskio.ErrLocked), false},
		{merry.Wrap(storage.ErrFailed, merry.WithCause(fs.ErrPermission)), false},
		{storage.ErrDiskFull, false},
		{replica.ErrUnknownCommand, false},
		{replica.ErrNotInitialVoter, false},
	} {
		if got := mustReplaceIdentity(c.err); got != c.want {
			t.Errorf("mustReplaceIdentity(%v) = %v, want %v", c.err, got, c.want)
		}
	}
}

// Guards against a replacement identity that may found a group, reuses a folder, discards the only
// folder with content, or keeps two damaged folders.
func TestReplacementIdentity(t *testing.T) {
	founding := identity{ID: 5, Founders: []founder{{ID: 5, Address: "10.0.0.5:1"}}}
	replacedOnce := identity{ID: 90, Joined: true, Log: "log-2", Damaged: &damagedLog{Folder: "log", ID: 5, Cause: "first"}}
	for name, c := range map[string]struct {
		former   identity
		folders  []logFolder
		want     identity
		outdated []string
	}{
		"first damage": {
			founding, []logFolder{{1, 100}},
			identity{ID: 91, Joined: true, Log: "log-2", Damaged: &damagedLog{Folder: "log", ID: 5, Cause: "c"}}, nil,
		},
		"second damage": {
			replacedOnce, []logFolder{{1, 100}, {2, 50}},
			identity{ID: 91, Joined: true, Log: "log-3", Damaged: &damagedLog{Folder: "log-2", ID: 90, Cause: "c"}}, []string{"log"},
		},
		"emptied folder": {
			replacedOnce, []logFolder{{1, 100}, {2, 0}},
			identity{ID: 91, Joined: true, Log: "log-3", Damaged: replacedOnce.Damaged}, nil,
		},
		"removed folder": {founding, nil, identity{ID: 91, Joined: true, Log: "log-2"}, nil},
		"folder of an unknown later log": {
			founding, []logFolder{{1, 100}, {7, 100}},
			identity{ID: 91, Joined: true, Log: "log-8", Damaged: &damagedLog{Folder: "log", ID: 5, Cause: "c"}}, nil,
		},
		"lost node.toml": {
			identity{}, []logFolder{{1, 100}, {3, 50}, {4, 0}},
			identity{ID: 91, Joined: true, Log: "log-5", Damaged: &damagedLog{Folder: "log-3", Cause: "c"}}, []string{"log"},
		},
		"lost node.toml without a log": {identity{}, nil, identity{ID: 91, Joined: true, Log: "log"}, nil},
	} {
		got := replacementIdentity(c.former, c.folders, 91, "c")
		if !reflect.DeepEqual(got, c.want) || !got.valid() {
			t.Errorf("%s: identity %+v, damaged log %+v, want %+v, %+v", name, got, got.Damaged, c.want, c.want.Damaged)
		}
		if names := outdatedFolders(got, c.folders); fmt.Sprint(names) != fmt.Sprint(c.outdated) {
			t.Errorf("%s: outdated folders %v, want %v", name, names, c.outdated)
		}
	}
}

// Guards against a log limit that ignores the size of the damaged folder, and against a damaged
// folder that leaves the log too little space.
func TestLogLimit(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		diskMB, damagedBytes, limit int64
		enough                      bool
	}{
		{128, 0, 64 * mb, true},
		{128, 20 * mb, 54 * mb, true},
		{128, 64 * mb, 32 * mb, true},
		{128, 64*mb + 2, 32 * mb, false},
		{128, 200 * mb, 32 * mb, false},
		{0, 20 * mb, 0, true},
	} {
		if limit, enough := logLimit(c.diskMB, c.damagedBytes); limit != c.limit || enough != c.enough {
			t.Errorf("disk of %d MB, damaged folder of %d bytes: limit %d, enough %v, want %d, %v", c.diskMB, c.damagedBytes, limit, enough, c.limit, c.enough)
		}
	}
}

// Guards against accepting folder names in node.toml that are outside the data folder, or that name
// the same folder for two logs.
func TestInvalidIdentityFileIsLost(t *testing.T) {
	for _, text := range []string{
		"id = 0", "id = 7\nlog = '../log'", "id = 7\nlog = 'log-02'", "id = 7\nlog = 'log-1'", "id = 7\nlog = 'lo'",
		"id = 7\n[damaged]\nfolder = 'log'", "id = 7\nlog = 'log-2'\n[damaged]\nfolder = 'log-2'",
		"id = 7\nlog = 'log-2'\n[damaged]\nfolder = '/etc'", "id = 7\nlog = 3", "id =",
	} {
		dir := t.TempDir()
		writeFile(t, dir, identityFile, text)
		if known, err := readIdentity(dir); !errors.Is(err, errIdentityLost) {
			t.Errorf("%q: identity %+v, error %v, want errIdentityLost", text, known, err)
		}
	}
}

func writeFile(t *testing.T, dir, name, text string) {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, []byte(text), 0o600)); err != nil {
		t.Fatal(err)
	}
}

func encodeIdentity(t *testing.T, self identity) string {
	t.Helper()
	data, err := toml.Marshal(self)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a process end during a replacement after which the new folder belongs to the
// former id, the damaged folder belongs to the new id, the identity cannot be read, or an outdated
// folder is never removed.
func TestProcessEndsDuringReplacement(t *testing.T) {
	s := controlSettings(t, true, "10.1.0.16")
	s.DiskMB = 128
	former := identity{ID: 1 << 40, Joined: true, Log: "log-2", Damaged: &damagedLog{Folder: "log", ID: 5, Cause: "first"}}
	if err := writeIdentity(s.DataDir, former); err != nil {
		t.Fatal(err)
	}
	formerText, err := os.ReadFile(filepath.Join(s.DataDir, identityFile))
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, s.DataDir, "log/segment-1", "first log")
	writeFile(t, s.DataDir, "log-2/segment-1", "second log")
	next, err := testDataDir(s).replaceIdentity(former, storage.ErrIncomplete)
	if err != nil {
		t.Fatal(err)
	}
	nextText, err := os.ReadFile(filepath.Join(s.DataDir, identityFile))
	if err != nil {
		t.Fatal(err)
	}
	if folders, err := logFolders(s.DataDir); err != nil || len(folders) != 2 {
		t.Errorf("folders %v, error %v: the replacement created or removed a folder before the new identity was loaded", folders, err)
	}

	for size := 0; size <= len(nextText); size++ { // node.toml.tmp is partly written and not yet renamed
		dir := t.TempDir()
		writeFile(t, dir, identityFile, string(formerText))
		writeFile(t, dir, identityFile+".tmp", string(nextText[:size]))
		if got, err := readIdentity(dir); err != nil || encodeIdentity(t, got) != string(formerText) {
			t.Fatalf("node.toml.tmp with %d bytes: identity %+v, error %v, want the former identity", size, got, err)
		}
	}
	for name, prepare := range map[string]func(dir string){
		"before the outdated folder is removed": func(dir string) { writeFile(t, dir, "log/segment-1", "first log") },
		"while the outdated folder is removed":  func(dir string) { writeFile(t, dir, "log/lock", "") },
		"after the outdated folder was removed": func(string) {},
		"after the new folder was created": func(dir string) {
			writeFile(t, dir, "log/segment-1", "first log")
			writeFile(t, dir, "log-3/lock", "")
		},
	} {
		restarted := *s
		restarted.DataDir = t.TempDir()
		writeFile(t, restarted.DataDir, identityFile, string(nextText))
		writeFile(t, restarted.DataDir, "log-2/segment-1", "second log")
		prepare(restarted.DataDir)
		got, err := testDataDir(&restarted).loadIdentity()
		if err != nil || encodeIdentity(t, got) != encodeIdentity(t, next) {
			t.Errorf("%s: identity %+v, error %v, want %+v", name, got, err, next)
		}
		limit, err := testDataDir(&restarted).freeLogSpace(got)
		if want, _ := logLimit(restarted.DiskMB, int64(len("second log"))); err != nil || limit != want {
			t.Errorf("%s: limit %d, error %v, want %d", name, limit, err, want)
		}
		if _, err := os.Stat(filepath.Join(restarted.DataDir, "log")); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%s: the outdated folder still exists (%v)", name, err)
		}
		if kept := readFolder(t, filepath.Join(restarted.DataDir, "log-2")); kept["segment-1"] != "second log" {
			t.Errorf("%s: the damaged folder holds %v", name, kept)
		}
	}
}

// Guards against an error text that makes node.toml unreadable.
func TestIdentityFileWithArbitraryCause(t *testing.T) {
	s := controlSettings(t, false, "10.1.0.16")
	writeFile(t, s.DataDir, "log/segment-1", "log")
	next, err := testDataDir(s).replaceIdentity(identity{}, errors.New("a \xff, a \x00, a \", a '\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := readIdentity(s.DataDir); err != nil || got.ID != next.ID {
		t.Errorf("identity %+v, error %v", got, err)
	}
}

// Guards against a damaged folder that uses the disk space of the log, and against a start that
// fails after an operator has deleted the damaged folder.
func TestLargeDamagedFolderIsRemoved(t *testing.T) {
	for name, c := range map[string]struct {
		damagedBytes int64
		exists       bool
	}{"kept": {400 << 10, true}, "too large": {600 << 10, false}, "deleted": {0, false}} {
		s := controlSettings(t, false, "10.1.0.16")
		s.DiskMB = 1
		if c.damagedBytes > 0 {
			writeFile(t, s.DataDir, "log/segment-1", string(make([]byte, c.damagedBytes)))
		}
		self := identity{ID: 1 << 40, Joined: true, Log: "log-2", Damaged: &damagedLog{Folder: "log", ID: 5, Cause: "c"}}
		dir := testDataDir(s)
		limit, err := dir.freeLogSpace(self)
		want := int64(1<<20) / 2
		gauge := "storage_damaged_folders 0\n"
		if c.exists {
			want, gauge = (1<<20-c.damagedBytes)/2, "storage_damaged_folders 1\n"
		}
		if err != nil || limit != want || dir.metrics.Text() != gauge {
			t.Errorf("%s: limit %d, error %v, metrics %q, want %d, %q", name, limit, err, dir.metrics.Text(), want, gauge)
		}
		if _, err := os.Stat(filepath.Join(s.DataDir, "log")); (err == nil) != c.exists {
			t.Errorf("%s: stat of the damaged folder: %v", name, err)
		}
	}
}
