package inspect

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// writeReplicaFolder runs a replica that takes snapshots and returns its data folder.
func writeReplicaFolder(t *testing.T) string {
	t.Helper()
	group, err := localgroup.Start(localgroup.Options{
		Folder: t.TempDir(), Size: 1, Tune: func(o *replica.Options) { o.SnapshotEveryEntries = 10 },
	})
	if err != nil {
		t.Fatal(err)
	}
	body, err := os.ReadFile("../../examples/turnos.toml")
	if err != nil {
		t.Fatal(err)
	}
	for range 25 {
		if _, err := group.Client().Propose(t.Context(), state.Command{ApplyFile: &state.ApplyFile{Body: body, From: "test"}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := group.Close(); err != nil {
		t.Fatal(err)
	}
	return group.Folder(0)
}

// Verify must report a damaged folder, Print must output all entries, and neither may create the
// folder that it reads.
func TestInspectsFolderOfReplica(t *testing.T) {
	folder := writeReplicaFolder(t)
	summary, err := Verify(folder)
	if err != nil || summary.Replica != 1 || !summary.Formed || summary.SnapshotIndex == 0 || summary.LastIndex < 26 {
		t.Fatalf("summary %+v, error %v", summary, err)
	}
	var out strings.Builder
	if err := Print(&out, folder); err != nil {
		t.Fatal(err)
	}
	var printed folderContent
	if err := json.Unmarshal([]byte(out.String()), &printed); err != nil {
		t.Fatal(err)
	}
	if printed.Snapshot == nil || len(printed.Snapshot.State.Records) != 1 || uint64(len(printed.Entries)) != summary.LastIndex-summary.SnapshotIndex {
		t.Errorf("snapshot %v, %d entries, summary %+v", printed.Snapshot != nil, len(printed.Entries), summary)
	}
	snapshots, err := filepath.Glob(filepath.Join(folder, "snapshot-*"))
	if err != nil || len(snapshots) != 1 {
		t.Fatalf("snapshots %v, error %v", snapshots, err)
	}
	data, err := os.ReadFile(snapshots[0])
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(snapshots[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	var damage *storage.DamageError
	if _, err := Verify(folder); !errors.As(err, &damage) || damage.File != filepath.Base(snapshots[0]) {
		t.Errorf("damaged snapshot: error %v", err)
	}
	absent := filepath.Join(t.TempDir(), "absent")
	if _, err := Verify(absent); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("absent folder: error %v", err)
	}
	if _, err := os.Stat(absent); !errors.Is(err, os.ErrNotExist) {
		t.Error("the absent folder was created")
	}
}
