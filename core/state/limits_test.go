package state_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// commandFeeder applies commands to a state at consecutive log indexes and a fixed time.
type commandFeeder struct {
	s     *state.State
	index uint64
}

func (f *commandFeeder) apply(c state.Command) state.Result {
	f.index++
	c.At = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	result, _ := f.s.Apply(f.index, c)
	return result
}

// The state must not grow with every accepted file: only the latest records are kept, and only the
// newest of them with their bodies.
func TestConfigRecordsAreBounded(t *testing.T) {
	f := &commandFeeder{s: state.New()}
	padding := bytes.Repeat([]byte("#"), 900<<10)
	const large = 6
	for i := 1; i <= state.MaxConfigRecords+large; i++ {
		body := fileBody(i, "first", 16, nil)
		if i > state.MaxConfigRecords {
			body = append(body, padding...)
		}
		if result := f.apply(state.Command{ApplyFile: &state.ApplyFile{Body: body}}); result.Refusal != state.RefusalNone {
			t.Fatalf("file %d is refused: %+v", i, result)
		}
	}
	records := f.s.Snapshot().Records
	total := 0
	for _, record := range records {
		total += len(record.Body)
	}
	if len(records) != state.MaxConfigRecords || total > state.MaxConfigBodyBytes || records[0].Generation != large+1 {
		t.Errorf("%d records with %d bytes from generation %d on; want MaxConfigRecords, at most MaxConfigBodyBytes, generation 7",
			len(records), total, records[0].Generation)
	}
	if last := records[len(records)-1]; len(last.Body) == 0 {
		t.Error("the body of the file in force was removed")
	}
	if _, err := state.Restore(f.s.Snapshot()); err != nil {
		t.Errorf("restoring a snapshot without the old bodies: %v", err)
	}
}

// Stored answers must not exceed their memory limit, and a request whose answer was removed must not
// be dispatched again.
func TestAnswersAreBounded(t *testing.T) {
	f := &commandFeeder{s: state.New()}
	f.apply(state.Command{JoinMember: &state.JoinMember{Member: state.Member{Name: "e", Incarnation: 1}}})
	body := make([]byte, 1<<20)
	const requests = state.MaxAnswerBytes>>20 + 10
	begin := func(n int) state.Result {
		return f.apply(state.Command{BeginRequest: &state.BeginRequest{
			Key: requestKeyOf(n), Digest: 1, Entry: "e", Incarnation: 1, Attempt: uint64(n + 1), Retention: time.Hour,
		}})
	}
	for n := range requests {
		begin(n)
		f.apply(state.Command{FinishRequest: &state.FinishRequest{
			Key: requestKeyOf(n), Entry: "e", Attempt: uint64(n + 1), Outcome: state.OutcomeDone, Answer: &state.StoredAnswer{Body: body},
		}})
	}
	kept := 0
	for _, r := range f.s.Snapshot().Requests {
		if r.Answer != nil {
			kept++
		}
	}
	if kept != state.MaxAnswerBytes>>20 {
		t.Errorf("%d answers of 1 MiB are stored, want MaxAnswerBytes in total", kept)
	}
	if result := begin(0); result.Request.Dispatch || result.Request.State != state.RequestFinished {
		t.Errorf("repeated request whose answer was removed: %+v, want finished, no dispatch", result.Request)
	}
	if found := f.s.Audit(); len(found) > 0 {
		t.Errorf("violations: %+v", found)
	}
}

func requestKeyOf(n int) state.RequestKey {
	return state.RequestKey{Service: "s", Team: "a", Key: fmt.Sprint(n)}
}

// A snapshot with an inconsistent structure must not be restored.
func TestRestoreRejectsInconsistentSnapshots(t *testing.T) {
	corruptions := map[string]func(*state.Snapshot){
		"no file":              func(s *state.Snapshot) { s.Records = nil },
		"file with faults":     func(s *state.Snapshot) { s.Records[0].Body = []byte("generation = 0") },
		"job twice":            func(s *state.Snapshot) { s.Jobs = append(s.Jobs, s.Jobs[0]) },
		"job above the last":   func(s *state.Snapshot) { s.NextJob = 0 },
		"job without policy":   func(s *state.Snapshot) { s.Jobs[0].Spec.Policy = "gone" },
		"unknown ended job":    func(s *state.Snapshot) { s.EndedJobs = []cell.JobID{7} },
		"worker twice":         func(s *state.Snapshot) { s.Workers = append(s.Workers, s.Workers[0]) },
		"epoch above the last": func(s *state.Snapshot) { s.LastEpoch = 0 },
		"no worker":            func(s *state.Snapshot) { s.Workers = nil },
		"no task":              func(s *state.Snapshot) { s.Allocations[0].Allocation.Task.Index = 2 },
		"allocation twice":     func(s *state.Snapshot) { s.Allocations = append(s.Allocations, s.Allocations[0]) },
		"request twice":        func(s *state.Snapshot) { s.Requests = append(s.Requests, s.Requests[0]) },
	}
	for name, corrupt := range corruptions {
		snapshot := populatedCell(t)
		corrupt(&snapshot)
		var want *state.SnapshotError
		if _, err := state.Restore(snapshot); !errors.As(err, &want) {
			t.Errorf("%s: got error %v, want a SnapshotError", name, err)
		}
	}
	snapshot := populatedCell(t)
	snapshot.Members = nil
	restored, err := state.Restore(snapshot)
	if err != nil || len(restored.Violations()) != 1 {
		t.Errorf("running request of an unknown member: error %v, state %+v; want 1 violation", err, restored)
	}
}

// The number of entry processes must not exceed max_entries, by which the connections of backend
// servers are divided, neither through a join nor through a file with a lower limit.
func TestMaxEntries(t *testing.T) {
	s := state.New()
	index := uint64(0)
	apply := func(c state.Command) state.Result {
		index++
		result, _ := s.Apply(index, c)
		return result
	}
	body := func(generation, limit string) []byte {
		content, err := os.ReadFile("../../examples/turnos.toml")
		if err != nil {
			t.Fatal(err)
		}
		return []byte(strings.NewReplacer("generation = 1\n", "generation = "+generation+"\n", "max_entries = 9", "max_entries = "+limit).Replace(string(content)))
	}
	join := func(name cell.EntryName) state.Result {
		return apply(state.Command{JoinMember: &state.JoinMember{Member: state.Member{Name: name, Incarnation: 1}}})
	}
	apply(state.Command{ApplyFile: &state.ApplyFile{Body: body("1", "2")}})
	for name, want := range map[cell.EntryName]state.Refusal{"a": state.RefusalNone, "b": state.RefusalNone} {
		if got := join(name); got.Refusal != want {
			t.Fatalf("join of %s is refused: %+v", name, got)
		}
	}
	if got := join("c"); got.Refusal != state.RefusalTooManyMembers {
		t.Errorf("join above the limit: result %+v, want refusal too-many-members", got)
	}
	if got := join("a"); got.Refusal != state.RefusalNone {
		t.Errorf("repeated join at the limit is refused: %+v", got)
	}
	lower := apply(state.Command{ApplyFile: &state.ApplyFile{Body: body("2", "1")}})
	if lower.Refusal != state.RefusalFileFaults || len(lower.File.Faults) != 1 || lower.File.Faults[0].Key != "cell.max_entries" {
		t.Errorf("file with max_entries below the members: result %+v, want one fault at cell.max_entries", lower)
	}
}
