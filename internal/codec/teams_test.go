package codec

import (
	"bytes"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against fields of teams in the commands, results and snapshots of a configuration without teams:
// replicas of an earlier version reject what they do not know.
func TestNothingOfTeamsIsEncodedWithoutThem(t *testing.T) {
	s := state.New()
	commands := []workload.Command{
		{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "s", MaxAttempts: 1}}}},
		{Submit: &workload.Submit{ID: "j", Spec: workload.JobSpec{Queue: "q", Steps: []workload.StepSpec{{Tasks: 1}}}}},
		{Cancel: &workload.Cancel{ID: "j"}},
	}
	var written [][]byte
	for i, c := range commands {
		command := state.Command{At: time.Unix(1000, 0), Workload: &c}
		encoded, err := EncodeCommand(command)
		if err != nil {
			t.Fatal(err)
		}
		result, _ := s.Apply(uint64(i+1), command)
		answer, err := EncodeResult(result)
		if err != nil {
			t.Fatal(err)
		}
		written = append(written, encoded, answer)
	}
	snapshot, err := EncodeSnapshot(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for _, encoded := range append(written, snapshot) {
		for _, name := range []string{"Team", "BeyondShare", "RetryAfter", "KeysRequired", "Anonymous"} {
			if bytes.Contains(encoded, []byte(name)) {
				t.Errorf("%s is encoded in %q", name, encoded)
			}
		}
	}
	if !bytes.Contains(snapshot, []byte("AcceptedAt")) {
		t.Error("the snapshot has no job")
	}
}
