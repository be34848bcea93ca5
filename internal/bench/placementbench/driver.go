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
	teams      = 190
	startsRate = 580 // decisions per second of virtual time
	// sampleEvery is the distance of the decisions whose allocations are
	// counted; reading the counters stops the program for some 20 us.
	sampleEvery = 64
	// maxShortQueue bounds what waits in the rows without a long queue.
	maxShortQueue = 2000
	longest       = int64(10 * time.Second)
)

// driver runs a scheduler against a fake cell and measures the time that it
// spends. Events are buffered, so that the time of the fake is not counted.
type driver struct {
	random    *rand.Rand
	now       time.Time
	scheduler *placement.Scheduler
	cell      *fakecell.Cell
	events    []state.Event

	running  []cell.AllocationID
	queued   []cell.JobID // that may be cancelled
	capacity int64        // thousandths of a core
	used     int64
	full     int64 // used when nothing more fits
	idle     bool  // the last turn placed nothing
	waiting  int   // tasks
	sizes    map[cell.JobSpec]bool

	decisions int
	spent     time.Duration
	current   time.Duration // since the last decision
	times     *hdrhistogram.Histogram
	mallocs   uint64
	sampled   int
}

func newDriver(workers int, seed uint64) *driver {
	d := &driver{
		random:    rand.New(rand.NewPCG(seed, uint64(workers))),
		now:       time.Unix(1_800_000_000, 0),
		scheduler: placement.New(placement.DefaultOptions()),
		sizes:     map[cell.JobSpec]bool{},
	}
	l := layout(workers)
	d.cell = fakecell.New(l, func(e state.Event) { d.events = append(d.events, e) })
	for _, w := range l.Machines(workers, "general", fakecell.Size(64, 128, 0)) {
		d.cell.AddWorker(w)
		d.capacity += w.Capacity.MilliCPU
	}
	d.reset()
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

// reset starts the measurement anew.
func (d *driver) reset() {
	d.decisions, d.spent, d.current, d.mallocs, d.sampled = 0, 0, 0, 0, 0
	d.times = hdrhistogram.New(1, longest, 3)
}

// timed measures what the scheduler does in f.
func (d *driver) timed(f func()) {
	begin := time.Now()
	f()
	took := time.Since(begin)
	d.spent += took
	d.current += took
}

// deliver passes the buffered events to the scheduler.
func (d *driver) deliver() {
	events := d.events
	d.events = nil
	d.timed(func() {
		for _, e := range events {
			d.scheduler.Step(d.now, e)
		}
	})
}

// plan makes and commits one plan, and reports the number of placements.
func (d *driver) plan(limit int) int {
	var plan state.CommitPlan
	d.timed(func() { plan = d.scheduler.Plan(d.now, limit) })
	result := d.cell.Apply(d.now, plan)
	d.deliver()
	d.timed(func() { d.scheduler.PlanApplied(d.now, plan, result) })
	for i, id := range result.Allocations {
		if result.Placements[i] == state.RefusalNone {
			d.running = append(d.running, id)
			d.used += d.cell.Allocations[id].Size.MilliCPU
			d.waiting--
		}
	}
	for _, id := range plan.Preemptions {
		d.end(id, state.ReportStopped)
		d.waiting++
	}
	return len(plan.Placements)
}

func (d *driver) end(id cell.AllocationID, outcome state.TaskOutcome) {
	if a := d.cell.Allocations[id]; a != nil {
		d.used -= a.Size.MilliCPU
		d.cell.End(d.now, id, outcome)
	}
}

// endRandom ends one allocation.
func (d *driver) endRandom() {
	for len(d.running) > 0 {
		i := d.random.IntN(len(d.running))
		id := d.running[i]
		d.running[i] = d.running[len(d.running)-1]
		d.running = d.running[:len(d.running)-1]
		if d.cell.Allocations[id] != nil {
			d.end(id, state.ReportSucceeded)
			return
		}
	}
}

func (d *driver) submit(spec cell.JobSpec) {
	d.queued = append(d.queued, d.cell.Submit(spec))
	d.waiting += spec.Tasks
	spec.Name, spec.Tasks, spec.Checkpoints = "", 0, false
	spec.RunTime = time.Duration(bits.Len64(uint64(spec.RunTime)))
	d.sizes[spec] = true
}

// classes is about the number of classes that the scheduler puts the submitted
// jobs into: run times count by their powers of two.
func (d *driver) classes() int { return len(d.sizes) }

// fill submits and places work until the share of processors is in use, or
// until nothing more fits.
func (d *driver) fill(share float64) {
	const (
		batch     = 256
		fillTries = 100 // without a placement
	)
	failures := 0
	for float64(d.used) < share*float64(d.capacity) && failures < fillTries {
		if d.waiting < maxShortQueue {
			d.submit(d.randomJob())
		}
		d.deliver()
		d.now = d.now.Add(time.Second / startsRate)
		failures++
		if d.plan(batch) > 0 {
			failures = 0
		}
	}
}

// queueUp adds the tasks of a long queue.
func (d *driver) queueUp(kind queueKind, tasks int) {
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
			d.deliver()
		}
	}
	d.deliver()
	for range 200 {
		d.now = d.now.Add(time.Second / startsRate)
		d.plan(256)
	}
	d.full = d.used
}

// turn makes room where needed, submits a job and decides.
func (d *driver) turn(r row) {
	d.now = d.now.Add(time.Second / startsRate)
	sample := d.decisions%sampleEvery == 0
	if d.mustEnd(r) {
		d.endRandom()
	}
	if r.queue == queueCancel && len(d.queued) > 0 {
		// One burst of cancellations: ten for each decision.
		for range min(10, len(d.queued)) {
			d.cancelLast()
		}
	}
	switch {
	case r.queue == queueNoRoom:
		d.submit(d.smallJob())
	case d.waiting < maxShortQueue || r.queue == queueCancel:
		d.submit(d.randomJob())
	}
	before := mallocs(sample)
	d.deliver()
	placed := d.plan(1)
	if sample {
		d.mallocs += mallocs(true) - before
		d.sampled += placed
	}
	d.record(placed)
	d.idle = placed == 0
}

// mustEnd reports whether an allocation ends before the next decision.
func (d *driver) mustEnd(r row) bool {
	if r.queue != queueShort {
		return d.used >= d.full || d.idle
	}
	return float64(d.used) >= r.fill*float64(d.capacity) || d.waiting >= maxShortQueue
}

// record counts the time since the last decision for the tasks placed.
func (d *driver) record(placed int) {
	if placed == 0 {
		return
	}
	each := int64(d.current) / int64(placed)
	for range placed {
		// The histogram reaches far beyond any decision time.
		_ = d.times.RecordValue(max(each, 1))
	}
	d.decisions += placed
	d.current = 0
}

func (d *driver) cancelLast() {
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

// mallocs reads the counter of allocated objects.
func mallocs(read bool) uint64 {
	if !read {
		return 0
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Mallocs
}

// allocsPerDecision is an upper bound: the fake cell's commit is included.
func (d *driver) allocsPerDecision() float64 {
	return float64(d.mallocs) / float64(max(d.sampled, 1))
}
