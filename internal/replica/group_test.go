package replica_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/replica"
)

// callTimeout ends a test that hangs. No test asserts a duration with it.
const callTimeout = 30 * time.Second

func startGroup(t *testing.T, size int, tune func(*replica.Options)) *localgroup.Group {
	t.Helper()
	opts := localgroup.Options{Folder: t.TempDir(), Size: size, Tune: tune}
	if testing.Verbose() {
		logger, err := eventlog.New(os.Stderr, "info", t.Name())
		if err != nil {
			t.Fatal(err)
		}
		opts.Logger = logger
	}
	group, err := localgroup.Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := group.Close(); err != nil {
			t.Errorf("close: %v", err)
		}
	})
	return group
}

func callContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	t.Cleanup(cancel)
	return ctx
}

func cellFile(t *testing.T, name string) []byte {
	t.Helper()
	body, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func applyFile(t *testing.T, group *localgroup.Group, body []byte) state.Result {
	t.Helper()
	result, err := proposeFile(callContext(t), group, body)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	return result
}

func proposeFile(ctx context.Context, group *localgroup.Group, body []byte) (state.Result, error) {
	return group.Client().Propose(ctx, state.Command{ApplyFile: &state.ApplyFile{Body: body, From: "test"}})
}

func leaderOf(t *testing.T, group *localgroup.Group) int {
	t.Helper()
	leader, err := group.Leader(callContext(t))
	if err != nil {
		t.Fatal(err)
	}
	return leader
}

func readStatus(t *testing.T, group *localgroup.Group) state.StatusView {
	t.Helper()
	answer, err := group.Client().Read(callContext(t), state.Query{Status: &state.StatusQuery{}})
	if err != nil || answer.Status == nil {
		t.Fatalf("status: %v, error %v", answer.Status, err)
	}
	return *answer.Status
}

// Guards against an accepted cell file that is lost or replaced by an older one when the leader is
// killed or all replicas restart.
func TestCellFileSurvivesLeaderLoss(t *testing.T) {
	group := startGroup(t, 3, nil)
	if result := applyFile(t, group, cellFile(t, "turnos.toml")); result.Refusal != state.RefusalNone {
		t.Fatalf("refused: %s %s", result.Refusal, result.Detail)
	}
	want := readStatus(t, group)
	killed := leaderOf(t, group)
	if err := group.Kill(killed); err != nil {
		t.Fatal(err)
	}
	if got := readStatus(t, group); got.Digest != want.Digest || got.Generation != want.Generation {
		t.Errorf("after the loss of the leader: %+v, want %+v", got, want)
	}
	if err := group.Restart(killed); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if err := group.Kill(i); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		if err := group.Restart(i); err != nil {
			t.Fatal(err)
		}
	}
	if got := readStatus(t, group); got.Digest != want.Digest || got.Generation != want.Generation {
		t.Errorf("after the restart of all replicas: %+v, want %+v", got, want)
	}
}
