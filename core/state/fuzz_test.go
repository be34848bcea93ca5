package state_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
)

// No decodable command may make replicas panic, violate an invariant, or lead to a state that cannot
// be saved and restored.
func FuzzApply(f *testing.F) {
	before := populatedCell(f)
	for _, c := range populatedCellCommands() {
		c.At = time.Unix(1, 0).UTC()
		data, err := codec.EncodeCommand(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := codec.DecodeCommand(data)
		if err != nil {
			return
		}
		s, err := state.Restore(before)
		if err != nil {
			t.Fatal(err)
		}
		result, _ := s.Apply(before.Index+1, c)
		if _, err := codec.EncodeResult(result); err != nil {
			t.Fatalf("encoding the result: %v", err)
		}
		if found := append(s.Violations(), s.Audit()...); len(found) > 0 {
			t.Fatalf("violations: %+v", found)
		}
		saved, err := codec.EncodeSnapshot(s.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		read, err := codec.DecodeSnapshot(saved)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := state.Restore(read); err != nil {
			t.Fatal(err)
		}
	})
}

// populatedCell returns the snapshot of a cell with a worker, a running task, a queued task and a
// running request.
func populatedCell(t testing.TB) state.Snapshot {
	run := &commandFeeder{s: state.New()}
	for _, c := range populatedCellCommands() {
		if result := run.apply(c); result.Refusal != state.RefusalNone {
			t.Fatalf("command %+v is refused: %+v", c, result)
		}
	}
	return run.s.Snapshot()
}

func populatedCellCommands() []state.Command {
	return []state.Command{
		{ApplyFile: &state.ApplyFile{Body: fileBody(1, "first", 16, nil)}},
		{RegisterWorker: &state.RegisterWorker{Worker: cell.Worker{
			Name: "w", Incarnation: 1, Region: "north", FailureDomain: "north-1", Pool: "small", Capacity: cell.Resources{MilliCPU: 4000},
		}}},
		{SubmitJob: &state.SubmitJob{Key: "k", Spec: cell.JobSpec{
			Team: "a", Policy: "gang", Priority: cell.PriorityNormal, Tasks: 2, Size: cell.Resources{MilliCPU: 1000},
		}}},
		{CommitPlan: &state.CommitPlan{Placements: []state.Placement{
			{Task: cell.TaskID{Job: 1}, Worker: "w", Epoch: 1}, {Task: cell.TaskID{Job: 1, Index: 1}, Worker: "w", Epoch: 1},
		}}},
		{SubmitJob: &state.SubmitJob{Key: "l", Spec: cell.JobSpec{
			Team: "a", Policy: "keep", Priority: cell.PriorityUrgent, Tasks: 1, Size: cell.Resources{MilliCPU: 1000},
		}}},
		{ReportTasks: &state.ReportTasks{Worker: "w", Epoch: 1, Reports: []state.TaskReport{{Allocation: 1, Outcome: state.ReportRunning}}}},
		{JoinMember: &state.JoinMember{Member: state.Member{Name: "e", Incarnation: 1}}},
		{BeginRequest: &state.BeginRequest{Key: requestKeyOf(0), Entry: "e", Incarnation: 1, Attempt: 1, Retention: time.Hour}},
		{Advance: &state.Advance{}},
	}
}
