package statebench

import (
	"fmt"
	"runtime"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
)

const (
	placementsPerPlan = 500
	queuedJobs        = 2000
	requestRecords    = 5000
	filesApplied      = 10
	jobsCancelled     = 200
	workersExpired    = 20
)

// Report holds the measurements at one number of workers.
type Report struct {
	Workers, Tasks int
	Commands       []*Cost
	Snapshot       SnapshotCost
	Memory         []MemoryCost
}

// Cost is the total cost of the commands of one kind.
type Cost struct {
	Kind           string
	Count, Bytes   int // Bytes is the total encoded size
	Total, Longest time.Duration
}

// Mean returns the mean time of a command.
func (c *Cost) Mean() time.Duration { return c.Total / time.Duration(max(c.Count, 1)) }

// MemoryCost is the memory in bytes used by a number of records of one kind.
type MemoryCost struct {
	Kind     string
	Count    int
	Heap     int64
	Snapshot int
}

// SnapshotCost holds the duration of each step of a snapshot and its encoded size in bytes.
type SnapshotCost struct {
	Copied, Encoded, Decoded, Restored time.Duration
	Bytes                              int
}

// bench fills a state with the records of a cell and measures each step.
type bench struct {
	s      *state.State
	index  uint64
	now    time.Time
	report Report
	err    error
}

// measure measures a cell with the given numbers of workers and running tasks.
func measure(workers, tasks int) (Report, error) {
	b := &bench{s: state.New(), now: time.Unix(0, 0).UTC(), report: Report{Workers: workers, Tasks: tasks}}
	b.applyFiles()
	b.measureGrowth("worker", workers, func() { b.registerWorkers(workers) })
	b.measureGrowth("running task", tasks, func() { b.runTasks(workers, tasks) })
	b.measureGrowth("queued job", queuedJobs, func() { b.submit("submit job, queued", tasks, queuedJobs) })
	b.measureGrowth("request record", requestRecords, b.runRequests)
	b.measureSnapshot()
	b.runRemovals(workers)
	if found := b.s.Violations(); len(found) > 0 && b.err == nil {
		b.err = merry.Wrap(ErrRun, merry.AppendMessagef("violations: %v", found))
	}
	return b.report, b.err
}

// apply applies one command and adds its duration and size to the costs of its kind.
func (b *bench) apply(kind string, c state.Command) state.Result {
	b.index++
	c.At = b.now
	data, err := codec.EncodeCommand(c)
	if err != nil {
		b.fail(kind, err.Error())
	}
	started := time.Now()
	result, _ := b.s.Apply(b.index, c)
	took := time.Since(started)
	if result.Refusal != state.RefusalNone {
		b.fail(kind, result.Detail)
	}
	entry := b.costOf(kind)
	entry.Count++
	entry.Bytes += len(data)
	entry.Total += took
	entry.Longest = max(entry.Longest, took)
	return result
}

func (b *bench) fail(kind, detail string) {
	if b.err == nil {
		b.err = merry.Wrap(ErrRun, merry.AppendMessagef("%s: %s", kind, detail))
	}
}

func (b *bench) costOf(kind string) *Cost {
	for _, c := range b.report.Commands {
		if c.Kind == kind {
			return c
		}
	}
	c := &Cost{Kind: kind}
	b.report.Commands = append(b.report.Commands, c)
	return c
}

// measureGrowth measures how much a step adds to the heap and to the size of a snapshot.
func (b *bench) measureGrowth(kind string, count int, step func()) {
	heap, encoded := heapBytes(), b.snapshotBytes()
	step()
	b.report.Memory = append(b.report.Memory, MemoryCost{
		Kind: kind, Count: count, Heap: heapBytes() - heap, Snapshot: b.snapshotBytes() - encoded,
	})
}

// heapBytes returns the size of the live heap. The second collection frees the objects that
// finalizers and pools kept alive during the first one.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func (b *bench) snapshotBytes() int {
	data, err := codec.EncodeSnapshot(b.s.Snapshot())
	if err != nil {
		b.fail("snapshot", err.Error())
	}
	return len(data)
}

func (b *bench) applyFiles() {
	for generation := 1; generation <= filesApplied; generation++ {
		b.apply("apply file", state.Command{ApplyFile: &state.ApplyFile{Body: fileBody(generation)}})
	}
}

func (b *bench) registerWorkers(workers int) {
	for i := range workers {
		b.apply("register worker", state.Command{RegisterWorker: &state.RegisterWorker{Worker: benchWorker(i)}})
	}
}

func (b *bench) submit(kind string, first, count int) {
	for i := first; i < first+count; i++ {
		b.apply(kind, state.Command{SubmitJob: &state.SubmitJob{Key: fmt.Sprintf("key-%d", i), Spec: benchJob(i)}})
	}
}

// runTasks submits jobs of one task each, places them in plans of placementsPerPlan placements, and
// reports them as running.
func (b *bench) runTasks(workers, tasks int) {
	b.submit("submit job", 0, tasks)
	for first := 0; first < tasks; first += placementsPerPlan {
		b.place(first, min(placementsPerPlan, tasks-first), workers)
	}
	for i := range workers {
		b.reportRunning(workerName(i))
	}
}

func (b *bench) place(first, count, workers int) {
	plan := state.CommitPlan{Basis: b.index, Placements: make([]state.Placement, count)}
	for i := range plan.Placements {
		task := first + i
		plan.Placements[i] = state.Placement{
			Task:   cell.TaskID{Job: cell.JobID(task + 1)},
			Worker: workerName(task % workers),
			Epoch:  cell.Epoch(task%workers + 1),
		}
	}
	kind := "commit plan"
	if count == placementsPerPlan {
		kind = fmt.Sprintf("commit plan of %d", count)
	}
	result := b.apply(kind, state.Command{CommitPlan: &plan})
	for _, refusal := range result.Plan.Placements {
		if refusal != state.RefusalNone {
			b.fail(kind, "placement refused: "+string(refusal))
		}
	}
}

// reportRunning reports all allocations of a worker as running.
func (b *bench) reportRunning(name cell.WorkerName) {
	view := b.s.Worker(name)
	c := state.ReportTasks{Worker: name, Epoch: view.Epoch}
	for _, assignment := range view.Assignments {
		c.Reports = append(c.Reports, state.TaskReport{
			Allocation: assignment.Allocation.ID,
			Outcome:    state.ReportRunning,
			Used:       cell.Resources{MilliCPU: taskMilliCPU / 2, MemoryBytes: taskMemory / 2},
			UsageAge:   time.Second,
		})
	}
	b.apply("report tasks", state.Command{ReportTasks: &c})
}

// runRequests begins and finishes requestRecords non-idempotent requests.
func (b *bench) runRequests() {
	b.apply("join member", state.Command{JoinMember: &state.JoinMember{Member: state.Member{Name: "entry-1", Incarnation: 1}}})
	for i := range requestRecords {
		key := state.RequestKey{Service: "bookings", Team: "team-0", Key: fmt.Sprintf("0b9d53e6-6e1b-4c55-9b52-%012d", i)}
		b.apply("begin request", state.Command{BeginRequest: &state.BeginRequest{
			Key: key, Digest: uint64(i), Entry: "entry-1", Incarnation: 1, Attempt: uint64(i + 1), Retention: 24 * time.Hour,
		}})
		b.apply("finish request", state.Command{FinishRequest: &state.FinishRequest{
			Key: key, Entry: "entry-1", Attempt: uint64(i + 1), Outcome: state.OutcomeDone,
			Answer: &state.StoredAnswer{Status: 200, Body: make([]byte, answerBytes)},
		}})
	}
}

func (b *bench) measureSnapshot() {
	started := time.Now()
	snapshot := b.s.Snapshot()
	copied := time.Now()
	data, err := codec.EncodeSnapshot(snapshot)
	encoded := time.Now()
	if err != nil {
		b.fail("snapshot", err.Error())
	}
	read, err := codec.DecodeSnapshot(data)
	decoded := time.Now()
	if err != nil {
		b.fail("snapshot", err.Error())
	}
	if _, err = state.Restore(read); err != nil {
		b.fail("snapshot", err.Error())
	}
	b.report.Snapshot = SnapshotCost{
		Copied:   copied.Sub(started),
		Encoded:  encoded.Sub(copied),
		Decoded:  decoded.Sub(encoded),
		Restored: time.Since(decoded),
		Bytes:    len(data),
	}
}

// runRemovals measures the commands that remove records, and the application of a cell file while
// the cell is in use.
func (b *bench) runRemovals(workers int) {
	for i := range min(jobsCancelled, b.report.Tasks) {
		b.apply("cancel job", state.Command{CancelJob: &state.CancelJob{Job: cell.JobID(i + 1)}})
	}
	for i := range min(workersExpired, workers) {
		b.apply("expire worker", state.Command{ExpireWorker: &state.ExpireWorker{Worker: workerName(i), Epoch: cell.Epoch(i + 1)}})
	}
	b.apply("leave member", state.Command{LeaveMember: &state.LeaveMember{Name: "entry-1", Incarnation: 1}})
	b.apply("apply file, cell in use", state.Command{ApplyFile: &state.ApplyFile{Body: fileBody(filesApplied + 1)}})
	b.apply("advance, nothing to drop", state.Command{Advance: &state.Advance{}})
	b.now = b.now.Add(2 * state.EndedJobRetention)
	b.apply("advance, all records dropped", state.Command{Advance: &state.Advance{}})
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
