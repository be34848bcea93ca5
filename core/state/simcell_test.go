package state_test

import (
	"bytes"
	_ "embed"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
)

// cellFile defines a pool of three workers and a pool of one larger worker, so that short test runs
// reach the limits of capacity, quotas and pools.
//
//go:embed cell_test.toml
var cellFile string

func fileBody(generation int, submitter string, quota int, retired []cell.WorkerName) []byte {
	var names []string
	for _, name := range retired {
		names = append(names, fmt.Sprintf("%q", name))
	}
	return fmt.Appendf(nil, cellFile, generation, submitter, strings.Join(names, ", "), quota)
}

// simCell simulates a cell with machines and entry processes. Two replicas of the state apply every
// command, and one of them is sometimes replaced by a restored snapshot. Commands may be delivered
// again at any later time.
type simCell struct {
	replicas     [2]*state.State
	index        uint64
	now          time.Time
	view         *eventView
	sentCommands []state.Command

	generation int // generation in force
	body       []byte
	retired    []cell.WorkerName
	machines   []*machine
	epochs     map[cell.WorkerName]cell.Epoch // current epoch; 0 if it has ended
	submitted  map[string]submission
	entries    []*simEntry
	attempts   uint64
	executed   map[state.RequestKey]uint64 // attempt that executed the request
}

type submission struct {
	id   cell.JobID
	spec cell.JobSpec
}

func newSimCell(t *rapid.T) *simCell {
	sim := &simCell{
		replicas:  [2]*state.State{state.New(), state.New()},
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		epochs:    map[cell.WorkerName]cell.Epoch{},
		submitted: map[string]submission{},
		executed:  map[state.RequestKey]uint64{},
	}
	sim.view, _ = newEventView(nil)
	for i, cpus := range []int64{4000, 4000, 2000, 8000} {
		pool := cell.Pool("small")
		if cpus == 8000 {
			pool = "large"
		}
		sim.machines = append(sim.machines, newMachine(cell.Worker{
			Name: cell.WorkerName(fmt.Sprintf("w%d", i)), Region: "north", FailureDomain: "north-1", Pool: pool,
			Capacity: cell.Resources{MilliCPU: cpus, MemoryBytes: 8 << 30},
		}))
	}
	for _, name := range []cell.EntryName{"e0", "e1", "e2"} {
		sim.entries = append(sim.entries, &simEntry{name: name, attempts: map[uint64]*attempt{}})
	}
	sim.submitFile(t, 1, "first", 16)
	return sim
}

// apply encodes a command, applies it on both replicas, and compares their results and events.
func (sim *simCell) apply(t *rapid.T, c state.Command) state.Result {
	sim.index++
	c.At = sim.now
	data, err := codec.EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	var results [2]state.Result
	var events [2][]state.Event
	for i, replica := range sim.replicas {
		decoded, err := codec.DecodeCommand(data)
		if err != nil {
			t.Fatal(err)
		}
		results[i], events[i] = replica.Apply(sim.index, decoded)
	}
	if !reflect.DeepEqual(results[0], results[1]) || !reflect.DeepEqual(events[0], events[1]) {
		t.Fatalf("replicas differ after %+v: %+v, %+v", c, results[0], results[1])
	}
	if err := sim.view.applyAll(events[0]); err != nil {
		t.Fatalf("events of %+v: %v", c, err)
	}
	return results[0]
}

// send applies a command that resend may deliver again.
func (sim *simCell) send(t *rapid.T, c state.Command) state.Result {
	if len(sim.sentCommands) < 200 {
		sim.sentCommands = append(sim.sentCommands, c)
	}
	return sim.apply(t, c)
}

// resend delivers an earlier command again. The simulated processes do not see its result.
func (sim *simCell) resend(t *rapid.T) {
	if len(sim.sentCommands) == 0 {
		t.Skip("no command was sent")
	}
	c := rapid.SampledFrom(sim.sentCommands).Draw(t, "old command")
	result := sim.apply(t, c)
	sim.recordRegistration(c, result)
	if c.SubmitJob != nil {
		sim.recordSubmission(c.SubmitJob.Key, c.SubmitJob.Spec, result)
	}
	sim.expectEpoch(t, c, result)
}

// expectEpoch asserts that a report is accepted only with the current epoch of its worker.
func (sim *simCell) expectEpoch(t *rapid.T, c state.Command, result state.Result) {
	if c.ReportTasks == nil {
		return
	}
	current := sim.epochs[c.ReportTasks.Worker] == c.ReportTasks.Epoch
	if accepted := result.Refusal == state.RefusalNone; accepted != current {
		t.Fatalf("report of epoch %d while epoch %d is current has refusal %q", c.ReportTasks.Epoch, sim.epochs[c.ReportTasks.Worker], result.Refusal)
	}
}

// check asserts the invariants after every step.
func (sim *simCell) check(t *rapid.T) {
	for _, replica := range sim.replicas {
		if found := append(replica.Violations(), replica.Audit()...); len(found) > 0 {
			t.Fatalf("violations: %+v", found)
		}
	}
	if first, second := sim.encoded(t, 0), sim.encoded(t, 1); !bytes.Equal(first, second) {
		t.Fatalf("snapshots of the replicas differ:\n%+v\n%+v", sim.replicas[0].Snapshot(), sim.replicas[1].Snapshot())
	}
	replayed, err := newEventView(sim.replicas[1].ReplayEvents())
	if err != nil {
		t.Fatalf("replay: %v", err)
	}
	if !reflect.DeepEqual(replayed, sim.view) {
		t.Fatalf("replayed events lead to another view than the original ones:\n%+v\n%+v", replayed, sim.view)
	}
	sim.checkMachines(t)
}

func (sim *simCell) encoded(t *rapid.T, replica int) []byte {
	data, err := codec.EncodeSnapshot(sim.replicas[replica].Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// restore replaces the second replica by one that is restored from a snapshot of the first.
func (sim *simCell) restore(t *rapid.T) {
	snapshot, err := codec.DecodeSnapshot(sim.encoded(t, 0))
	if err != nil {
		t.Fatal(err)
	}
	restored, err := state.Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	sim.replicas[1] = restored
}

func (sim *simCell) passTime(t *rapid.T) {
	steps := []time.Duration{time.Millisecond, time.Second, 30 * time.Second, 2 * time.Hour, 25 * time.Hour}
	step := rapid.SampledFrom(steps).Draw(t, "time")
	sim.now = sim.now.Add(step)
	sim.apply(t, state.Command{Advance: &state.Advance{}})
	if step > time.Second {
		sim.expireAttempts()
	}
}

// file submits a cell file, often with a generation that is in force or superseded.
func (sim *simCell) file(t *rapid.T) {
	generation := max(1, sim.generation+rapid.IntRange(-1, 2).Draw(t, "generation step"))
	submitter := rapid.SampledFrom([]string{"first", "second"}).Draw(t, "submitter")
	sim.submitFile(t, generation, submitter, rapid.SampledFrom([]int{8, 16, 20}).Draw(t, "quota"))
}

// submitFile applies a file and compares the result with the rules for generations (docs/design.md,
// section 2.7).
func (sim *simCell) submitFile(t *rapid.T, generation int, submitter string, quota int) {
	body := fileBody(generation, submitter, quota, sim.retired)
	result := sim.apply(t, state.Command{ApplyFile: &state.ApplyFile{Body: body}})
	if result.File == nil {
		t.Fatalf("result without a FileResult: %+v", result)
	}
	want := state.RefusalNone
	switch {
	case bytes.Equal(body, sim.body):
	case generation < sim.generation:
		want = state.RefusalGenerationOld
	case generation == sim.generation:
		want = state.RefusalGenerationUsed
	case len(result.File.Faults) > 0:
		want = state.RefusalFileFaults
	}
	if result.Refusal != want || result.File.Repeated != bytes.Equal(body, sim.body) {
		t.Fatalf("file of generation %d while %d is in force has the wrong result %+v", generation, sim.generation, result)
	}
	if want == state.RefusalNone {
		sim.generation, sim.body = generation, body
	}
	if int(result.File.Generation) != sim.generation {
		t.Fatalf("generation %d is in force, want %d", result.File.Generation, sim.generation)
	}
}

// sortedKeys returns the sorted keys of a map, so that random draws are reproducible.
func sortedKeys[K ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

type ordered interface {
	~int | ~uint64 | ~string
}
