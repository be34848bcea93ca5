package codec

import (
	"bytes"
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
)

var sampleTime = time.Date(2026, 3, 1, 12, 0, 0, 123456789, time.UTC)

func sampleCommand() state.Command {
	return state.Command{At: sampleTime, CommitPlan: &state.CommitPlan{
		Basis:       7,
		Placements:  []state.Placement{{Task: cell.TaskID{Job: 1, Index: 2}, Worker: "w1", Epoch: 3}},
		Preemptions: []cell.AllocationID{4},
	}}
}

// Guards against a value that changes when it is encoded and decoded, for example a time that
// loses its nanoseconds, and against an encoding that is not deterministic.
func TestRoundTrip(t *testing.T) {
	roundTrip(t, commands, sampleCommand())
	roundTrip(t, commands, state.Command{At: sampleTime, FinishRequest: &state.FinishRequest{Answer: &state.StoredAnswer{
		Header: []state.HeaderField{{Name: "X-Place", Value: "Ca\xf1ar"}}, Body: []byte{0xff},
	}}})
	roundTrip(t, results, state.Result{Refusal: state.RefusalNoCapacity, Plan: &state.PlanResult{
		Placements: []state.Refusal{""}, Allocations: []cell.AllocationID{9},
	}})
	roundTrip(t, queries, state.Query{Job: &state.JobQuery{Job: 1}})
	roundTrip(t, answers, state.Answer{Status: &state.StatusView{Jobs: map[cell.JobState]int{
		cell.JobQueued: 1, cell.JobRunning: 2, cell.JobFailed: 3,
	}, Entries: []state.EntryView{{Name: "entry-1", Generation: 2, Age: time.Second}}}})
	roundTrip(t, records, state.ConfigRecord{Generation: 1, At: sampleTime, Body: []byte("x")})
	roundTrip(t, memberships, replog.Membership{Voters: []replog.ReplicaID{1, 2}, Learners: []replog.ReplicaID{3}})
	snapshot, err := snapshots.decode(mustEncode(t, snapshots, state.New().Snapshot()))
	if err != nil {
		t.Fatal(err)
	}
	roundTrip(t, snapshots, snapshot)
}

func roundTrip[T any](t *testing.T, f format[T], value T) {
	t.Helper()
	data := mustEncode(t, f, value)
	decoded, err := f.decode(data)
	if err != nil {
		t.Fatalf("%s: %v", f.kind, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s: got %+v, want %+v", f.kind, decoded, value)
	}
	if again := mustEncode(t, f, decoded); !bytes.Equal(again, data) {
		t.Errorf("%s: encodings differ", f.kind)
	}
}

func mustEncode[T any](t *testing.T, f format[T], value T) []byte {
	t.Helper()
	data, err := f.encode(value)
	if err != nil {
		t.Fatalf("%s: %v", f.kind, err)
	}
	return data
}

// Guards against a snapshot or a command that a replica of an earlier version cannot read although it
// uses nothing new. The decoder refuses unknown fields.
func TestNewFieldsAreLeftOutWhileTheyAreEmpty(t *testing.T) {
	encoded := mustEncode(t, snapshots, stepSnapshot(t, false))
	encoded = append(encoded, mustEncode(t, commands, state.Command{At: sampleTime, Term: 7, Advance: &state.Advance{}})...)
	for _, field := range []string{"ClosedRuns", "SteadyClosedAt", "SteadyClock", "AdvanceTerm", "Term"} {
		if bytes.Contains(encoded, []byte(field)) {
			t.Errorf("field %s is encoded", field)
		}
	}
}

// Guards against closed runs and clocks that are lost in an encoded snapshot.
func TestSnapshotWithClosedRunsRoundTrip(t *testing.T) {
	snapshot := stepSnapshot(t, true)
	decoded, err := snapshots.decode(mustEncode(t, snapshots, snapshot))
	if err != nil {
		t.Fatal(err)
	}
	step := decoded.Workload.Jobs[0].Steps[0]
	want := []workload.ClosedRun{{Run: 1, Worker: "w", ClosedAt: time.Second, How: workload.EndNeverStarted}}
	if !slices.Equal(step.ClosedRuns, want) || step.SteadyClosedAt != time.Second || decoded.Workload.SteadyClock != 2*time.Second || decoded.AdvanceTerm != 7 {
		t.Errorf("decoded step %+v, steady clock %v, term %d; want closed runs %+v at 1s, 2s, 7", step, decoded.Workload.SteadyClock, decoded.AdvanceTerm, want)
	}
}

// stepSnapshot returns a snapshot with a job, and with a closed run of it if closed is set.
func stepSnapshot(t *testing.T, closed bool) state.Snapshot {
	s, index := state.New(), uint64(0)
	apply := func(c state.Command) {
		index++
		c.At, c.Term = sampleTime, 7
		if result, _ := s.Apply(index, c); result.Refusal != state.RefusalNone {
			t.Fatalf("refused: %+v", result)
		}
	}
	task := workload.TaskID{Job: "j"}
	apply(state.Command{Workload: &workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q"}}}}})
	apply(state.Command{Workload: &workload.Command{Register: &workload.Register{Worker: workload.Worker{ID: "w", Boot: 1}}}})
	apply(state.Command{Workload: &workload.Command{Submit: &workload.Submit{ID: "j", Spec: workload.JobSpec{Queue: "q", Steps: []workload.StepSpec{{Tasks: 1}}}}}})
	if !closed {
		return s.Snapshot()
	}
	for range 2 {
		apply(state.Command{Advance: &state.Advance{}})
	}
	apply(state.Command{Workload: &workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{Step: task.StepID(), Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}}}}}}})
	apply(state.Command{Workload: &workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: "w", Boot: 1, Task: task, Run: 1, How: workload.EndNeverStarted}}}}})
	apply(state.Command{Advance: &state.Advance{}})
	return s.Snapshot()
}

// Guards against a decoder that accepts input that no encoder writes. An attacker or a damaged
// disk could use it to make replicas differ or exhaust memory.
func TestDecodeRefuses(t *testing.T) {
	good := mustEncode(t, commands, sampleCommand())
	deep := append([]byte{Version}, bytes.Repeat([]byte{0x81}, 40)...)
	cases := map[string]struct {
		data []byte
		want error
	}{
		"empty":             {nil, ErrVersion},
		"other version":     {append([]byte{2}, good[1:]...), ErrVersion},
		"cut":               {good[:len(good)-1], ErrMalformed},
		"trailing byte":     {append(bytes.Clone(good), 0), ErrMalformed},
		"unknown field":     {[]byte{Version, 0xa1, 0x61, 'x', 0x01}, ErrMalformed},
		"other case":        {[]byte{Version, 0xa1, 0x62, 'a', 't', 0xf6}, ErrMalformed},
		"repeated field":    {[]byte{Version, 0xa2, 0x62, 'A', 't', 0xf6, 0x62, 'A', 't', 0xf6}, ErrMalformed},
		"indefinite length": {[]byte{Version, 0xbf, 0xff}, ErrMalformed},
		"tag":               {[]byte{Version, 0xc1, 0xa0}, ErrMalformed},
		"deep nesting":      {deep, ErrMalformed},
		"huge array":        {[]byte{Version, 0x9b, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		"too large":         {make([]byte, MaxCommandBytes+1), ErrTooLarge},
	}
	for name, c := range cases {
		if _, err := DecodeCommand(c.data); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
	large := state.Command{ApplyFile: &state.ApplyFile{Body: make([]byte, MaxCommandBytes)}}
	if _, err := EncodeCommand(large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("encoding a large command: got %v", err)
	}
}
