package policybench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/fakecell"
)

const (
	commandDelay   = 100 * time.Millisecond // from the commit of a command to its arrival at the worker
	stopDelay      = 400 * time.Millisecond // duration of the stop of a task, with its checkpoint
	planInterval   = 20 * time.Millisecond  // minimum time between plans
	sampleInterval = 20 * time.Second
	failureDelay   = 10 * time.Second // from the start of a task to its failure
	usageDelay     = 30 * time.Second // from the start of a task to its usage report
	planLimit      = 256
	maxAttempts    = 5
	// waitThreshold is how long a task must be queued before it counts as waiting work in the packing
	// and share figures.
	waitThreshold = 10 * time.Second
)

var startTime = time.Unix(1_800_000_000, 0)

type action func()

type event struct {
	at  time.Time
	seq int
	run action
}

type eventQueue []event

func (o eventQueue) Len() int { return len(o) }
func (o eventQueue) Less(i, j int) bool {
	return o[i].at.Before(o[j].at) || (o[i].at.Equal(o[j].at) && o[i].seq < o[j].seq)
}
func (o eventQueue) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o *eventQueue) Push(x any)   { *o = append(*o, x.(event)) }
func (o *eventQueue) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

type simulation struct {
	options     Options
	seed        uint64
	planner     planner
	cell        *fakecell.Cell
	now         time.Time
	events      eventQueue
	seq         int
	broken      map[cell.WorkerName]bool
	jobs        map[cell.JobID]*simJob
	plannerTime time.Duration // real time
	starts      int
	figures
}

type simJob struct {
	arrival
	submitted time.Time
	started   []bool
}

func newSimulation(o Options, seed uint64, p planner) *simulation {
	s := &simulation{options: o, seed: seed, planner: p, now: startTime, broken: map[cell.WorkerName]bool{}, jobs: map[cell.JobID]*simJob{}}
	s.figures = newFigures(o)
	l := o.layout()
	s.cell = fakecell.New(l, func(e state.Event) { s.timePlanner(func() { p.Step(s.now, e) }) })
	for i, w := range l.MakeWorkers(o.Workers, "general", fakecell.Size(workerCores, workerGiB, 0)) {
		s.cell.AddWorker(w)
		s.broken[w.Name] = o.Broken > 0 && i%(o.Workers/o.Broken) == 1
	}
	for _, a := range o.randomDay(rand.New(rand.NewPCG(seed, 0))) {
		s.after(a.at, func() { s.submit(a) })
	}
	return s
}

func (s *simulation) timePlanner(f func()) {
	begin := time.Now()
	f()
	s.plannerTime += time.Since(begin)
}

func (s *simulation) after(d time.Duration, do action) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, do})
}

// run runs the simulation until the end of the day. Tasks that still wait then count as unstarted.
func (s *simulation) run() {
	s.after(sampleInterval, s.sample)
	end := startTime.Add(s.options.Length)
	for s.now.Before(end) {
		wake := s.planner.NextWake(s.now)
		at := s.events[0].at
		if !wake.IsZero() && wake.Before(at) {
			at = wake
		}
		if earliest := s.now.Add(planInterval); at.Before(earliest) {
			at = earliest
		}
		s.now = at
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			heap.Pop(&s.events).(event).run()
		}
		s.plan()
	}
	s.countUnstarted()
}

func (s *simulation) submit(a arrival) {
	id := s.cell.Submit(a.spec)
	s.jobs[id] = &simJob{arrival: a, submitted: s.now, started: make([]bool, a.spec.Tasks)}
}

func (s *simulation) plan() {
	var plan state.CommitPlan
	s.timePlanner(func() { plan = s.planner.Plan(s.now, planLimit) })
	result := s.cell.Apply(s.now, plan)
	s.timePlanner(func() { s.planner.PlanApplied(s.now, plan, result) })
	for _, id := range result.Allocations {
		if id != 0 {
			s.after(commandDelay, func() { s.start(id) })
		}
	}
	for _, id := range plan.Preemptions {
		s.after(commandDelay+stopDelay, func() { s.stop(id) })
	}
}

func (s *simulation) start(id cell.AllocationID) {
	a := s.cell.Allocations[id]
	if a == nil {
		return
	}
	s.cell.ReportStarted(id)
	s.starts++
	j := s.jobs[a.Task.Job]
	if !j.started[a.Task.Index] {
		j.started[a.Task.Index] = true
		s.recordWait(j.spec, s.now.Sub(j.submitted))
	}
	if s.broken[a.Worker] || j.alwaysFails {
		s.after(failureDelay, func() { s.fail(id) })
		return
	}
	s.after(usageDelay, func() { s.reportUsage(id, j.usageFactor) })
	if j.spec.Policy != "service" {
		r := rand.New(rand.NewPCG(s.seed, uint64(a.Task.Job)<<20|uint64(a.Task.Index)))
		run := float64(j.spec.RunTime) * j.runTimeFactor * math.Exp(0.2*r.NormFloat64())
		s.after(time.Duration(run), func() { s.cell.EndAllocation(s.now, id, state.ReportSucceeded) })
	}
}

func (s *simulation) reportUsage(id cell.AllocationID, usage float64) {
	if a := s.cell.Allocations[id]; a != nil {
		s.cell.ReportUsage(id, cell.Resources{
			MilliCPU:    int64(float64(a.Size.MilliCPU) * usage),
			MemoryBytes: int64(float64(a.Size.MemoryBytes) * min(usage, 1)),
		})
	}
}

func (s *simulation) fail(id cell.AllocationID) {
	a := s.cell.Allocations[id]
	if a == nil {
		return
	}
	s.cell.EndAllocation(s.now, id, state.ReportFailed)
	s.failures++
	if j := s.cell.Jobs[a.Task.Job]; j != nil && j.Attempts[a.Task.Index] >= maxAttempts {
		s.failedJobs++
		for _, stoppingID := range s.cell.Cancel(a.Task.Job) {
			s.after(commandDelay+stopDelay, func() { s.cell.EndAllocation(s.now, stoppingID, state.ReportStopped) })
		}
	}
}

func (s *simulation) stop(id cell.AllocationID) {
	a := s.cell.Allocations[id]
	if a == nil {
		return
	}
	outcome := state.ReportCheckpointed
	if !a.Checkpoints {
		outcome = state.ReportStopped
		s.lostWork += s.now.Sub(a.PlacedAt).Seconds() * float64(a.Size.MilliCPU)
	}
	s.cell.EndAllocation(s.now, id, outcome)
}

func seconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
