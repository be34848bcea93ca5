package placementbench

import (
	"math/bits"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/placement"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/fakecell"
)

const (
	teams              = 190
	decisionsPerSecond = 580 // decisions per second of virtual time
	// Heap allocations are counted for one in sampleEvery decisions, because reading the counters
	// stops the program for about 20 us.
	sampleEvery = 64
	// maxShortQueue bounds the queued tasks in the rows without a long queue.
	maxShortQueue   = 2000
	maxDecisionTime = int64(10 * time.Second)
)

// driver runs a scheduler against a fake cell and measures the time of the scheduler. Events of the
// fake cell are buffered, so that its own time is not counted.
type driver struct {
	random    *rand.Rand
	now       time.Time
	scheduler *placement.Scheduler
	cell      *fakecell.Cell
	events    []state.Event

	running       []cell.AllocationID
	queued        []cell.JobID // candidates for cancellation
	capacity      int64        // thousandths of a core
	used          int64
	saturatedUse  int64 // value of used when no queued task fits any more
	placedNothing bool  // in the last step
	waiting       int   // queued tasks
	jobClasses    map[cell.JobSpec]bool

	decisions         int
	schedulerTime     time.Duration
	sinceLastDecision time.Duration // scheduler time
	decisionTimes     *hdrhistogram.Histogram
	sampledMallocs    uint64
	sampledDecisions  int
}

func newDriver(workers int, seed uint64) *driver {
	d := &driver{
		random:     rand.New(rand.NewPCG(seed, uint64(workers))),
		now:        time.Unix(1_800_000_000, 0),
		scheduler:  placement.New(placement.DefaultOptions()),
		jobClasses: map[cell.JobSpec]bool{},
	}
	l := layout(workers)
	d.cell = fakecell.New(l, func(e state.Event) { d.events = append(d.events, e) })
	for _, w := range l.MakeWorkers(workers, "general", fakecell.Size(64, 128, 0)) {
		d.cell.AddWorker(w)
		d.capacity += w.Capacity.MilliCPU
	}
	d.resetMeasurement()
	return d
}

func layout(workers int) fakecell.Layout {
	pools := []cell.Pool{"general"}
	l := fakecell.Layout{
		Regions: []fakecell.Region{
			{Name: "north", Domains: []cell.FailureDomain{"n1", "n2", "n3"}},
			{Name: "south", Domains: []cell.FailureDomain{"s1", "s2"}},
		},
		Pools: pools,
		Policies: []fakecell.Policy{
			{Name: "service", Kind: cell.KindService, Pools: pools, Spread: "failure-domain"},
			{Name: "batch", Kind: cell.KindBatch, Pools: pools, Spread: "none", Preemptible: true},
			{Name: "gang", Kind: cell.KindGang, Pools: pools, Spread: "none"},
		},
		Backoff: time.Second,
	}
	for i := range teams {
		l.Teams = append(l.Teams, fakecell.Team{
			Name: teamName(i), Share: 1.0 / teams, Cores: workers * 64, MemoryGiB: workers * 128, UrgentCores: 64,
		})
	}
	return l
}

func teamName(i int) cell.Team {
	return cell.Team("team-" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
}

// resetMeasurement discards the measurements so far.
func (d *driver) resetMeasurement() {
	d.decisions, d.schedulerTime, d.sinceLastDecision, d.sampledMallocs, d.sampledDecisions = 0, 0, 0, 0, 0
	d.decisionTimes = hdrhistogram.New(1, maxDecisionTime, 3)
}

// timeScheduler runs f, which calls the scheduler, and adds its duration to the scheduler's time.
func (d *driver) timeScheduler(f func()) {
	begin := time.Now()
	f()
	took := time.Since(begin)
	d.schedulerTime += took
	d.sinceLastDecision += took
}

// deliverEvents passes the buffered events to the scheduler.
func (d *driver) deliverEvents() {
	events := d.events
	d.events = nil
	d.timeScheduler(func() {
		for _, e := range events {
			d.scheduler.Step(d.now, e)
		}
	})
}

// runPlan creates and commits one plan, and returns the number of its placements.
func (d *driver) runPlan(limit int) int {
	var plan state.CommitPlan
	d.timeScheduler(func() { plan = d.scheduler.Plan(d.now, limit) })
	result := d.cell.Apply(d.now, plan)
	d.deliverEvents()
	d.timeScheduler(func() { d.scheduler.PlanApplied(d.now, plan, result) })
	for i, id := range result.Allocations {
		if result.Placements[i] == state.RefusalNone {
			d.running = append(d.running, id)
			d.used += d.cell.Allocations[id].Size.MilliCPU
			d.waiting--
		}
	}
	for _, id := range plan.Preemptions {
		d.endAllocation(id, state.ReportStopped)
		d.waiting++
	}
	return len(plan.Placements)
}

func (d *driver) endAllocation(id cell.AllocationID, outcome state.TaskOutcome) {
	if a := d.cell.Allocations[id]; a != nil {
		d.used -= a.Size.MilliCPU
		d.cell.EndAllocation(d.now, id, outcome)
	}
}

// endRandomAllocation ends a random live allocation, if there is one.
func (d *driver) endRandomAllocation() {
	for len(d.running) > 0 {
		i := d.random.IntN(len(d.running))
		id := d.running[i]
		d.running[i] = d.running[len(d.running)-1]
		d.running = d.running[:len(d.running)-1]
		if d.cell.Allocations[id] != nil {
			d.endAllocation(id, state.ReportSucceeded)
			return
		}
	}
}

func (d *driver) submit(spec cell.JobSpec) {
	d.queued = append(d.queued, d.cell.Submit(spec))
	d.waiting += spec.Tasks
	spec.Name, spec.Tasks, spec.Checkpoints = "", 0, false
	spec.RunTime = time.Duration(bits.Len64(uint64(spec.RunTime)))
	d.jobClasses[spec] = true
}

// classCount returns the approximate number of classes into which the scheduler groups the
// submitted jobs. Run times are grouped by powers of two.
func (d *driver) classCount() int { return len(d.jobClasses) }

// fillCell submits and places jobs until the given share of the processors is in use, or until
// maxFailedPlans plans in a row place no task.
func (d *driver) fillCell(share float64) {
	const (
		batch          = 256
		maxFailedPlans = 100
	)
	failures := 0
	for float64(d.used) < share*float64(d.capacity) && failures < maxFailedPlans {
		if d.waiting < maxShortQueue {
			d.submit(d.randomJob())
		}
		d.deliverEvents()
		d.now = d.now.Add(time.Second / decisionsPerSecond)
		failures++
		if d.runPlan(batch) > 0 {
			failures = 0
		}
	}
}

// fillQueue submits tasks until a long queue of the given kind has formed, and then places what
// still fits.
func (d *driver) fillQueue(kind queueKind, tasks int) {
	if kind == queueShort {
		return
	}
	d.queued = nil
	for d.waiting < tasks {
		spec := d.randomJob()
		spec.Priority = cell.PriorityNormal
		if kind == queueNoRoom {
			spec.Size = fakecell.Size(40+d.random.IntN(24), 64+d.random.IntN(64), 0)
		}
		d.submit(spec)
		if len(d.events) > 1000 {
			d.deliverEvents()
		}
	}
	d.deliverEvents()
	for range 200 {
		d.now = d.now.Add(time.Second / decisionsPerSecond)
		d.runPlan(256)
	}
	d.saturatedUse = d.used
}

// step ends an allocation if capacity is needed, submits a job and runs one plan.
func (d *driver) step(r row) {
	d.now = d.now.Add(time.Second / decisionsPerSecond)
	sample := d.decisions%sampleEvery == 0
	if d.needsRoom(r) {
		d.endRandomAllocation()
	}
	if r.queue == queueCancel && len(d.queued) > 0 {
		// Ten jobs are cancelled for each decision.
		for range min(10, len(d.queued)) {
			d.cancelLastJob()
		}
	}
	switch {
	case r.queue == queueNoRoom:
		d.submit(d.smallJob())
	case d.waiting < maxShortQueue || r.queue == queueCancel:
		d.submit(d.randomJob())
	}
	before := mallocCount(sample)
	d.deliverEvents()
	placed := d.runPlan(1)
	if sample {
		d.sampledMallocs += mallocCount(true) - before
		d.sampledDecisions += placed
	}
	d.recordDecisions(placed)
	d.placedNothing = placed == 0
}

// needsRoom reports whether an allocation must end before the next decision.
func (d *driver) needsRoom(r row) bool {
	if r.queue != queueShort {
		return d.used >= d.saturatedUse || d.placedNothing
	}
	return float64(d.used) >= r.fill*float64(d.capacity) || d.waiting >= maxShortQueue
}

// recordDecisions divides the scheduler time since the last decision equally among the placed tasks.
func (d *driver) recordDecisions(placed int) {
	if placed == 0 {
		return
	}
	each := int64(d.sinceLastDecision) / int64(placed)
	for range placed {
		// RecordValue fails only above maxDecisionTime, which no decision reaches.
		_ = d.decisionTimes.RecordValue(max(each, 1))
	}
	d.decisions += placed
	d.sinceLastDecision = 0
}

func (d *driver) cancelLastJob() {
	id := d.queued[len(d.queued)-1]
	d.queued = d.queued[:len(d.queued)-1]
	j := d.cell.Jobs[id]
	if j == nil {
		return
	}
	for _, s := range j.Tasks {
		if s == cell.TaskQueued {
			d.waiting--
		}
	}
	d.cell.Cancel(id)
}

// mallocCount returns the number of heap objects allocated so far, or 0 without reading it if read
// is false.
func mallocCount(read bool) uint64 {
	if !read {
		return 0
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Mallocs
}

// allocsPerDecision returns an upper bound on the heap allocations of the scheduler per decision:
// those of the fake cell's commit are included.
func (d *driver) allocsPerDecision() float64 {
	return float64(d.sampledMallocs) / float64(max(d.sampledDecisions, 1))
}
