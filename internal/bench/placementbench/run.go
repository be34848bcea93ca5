package placementbench

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Options are the flags of the benchmark.
type Options struct {
	Workers     []int     // numbers of workers to measure
	Fill        []float64 // shares of the processors in use, for the rows without a long queue
	Decisions   int       // measured for each row
	QueuedTasks int       // queued tasks in the rows with a long queue
	Seed        uint64
}

// DefaultOptions returns the current and the planned sizes of docs/design.md, section 1.5, and a
// larger one.
func DefaultOptions() Options {
	return Options{
		Workers:     []int{50, 900, 10000},
		Fill:        []float64{0.30, 0.70, 0.95},
		Decisions:   20000,
		QueuedTasks: 100000,
		Seed:        1,
	}
}

// ErrOptions is returned for options without decisions, workers or fill shares.
var ErrOptions = merry.Sentinel("placementbench: options out of range")

// Run measures every row and prints a table to out.
func Run(out io.Writer, o Options) error {
	f, err := Measure(o)
	if err != nil {
		return err
	}
	return f.Print(out)
}

// Measure measures every row. It returns ErrOptions if the options define no row.
func Measure(o Options) (Figures, error) {
	if o.Decisions <= 0 || len(o.Workers) == 0 || len(o.Fill) == 0 {
		return Figures{}, merry.Wrap(ErrOptions)
	}
	// The figures are for one core, which also runs the garbage collector.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var f Figures
	for _, row := range o.rows() {
		f.Rows = append(f.Rows, row.measure(o))
	}
	for _, workers := range o.Workers {
		f.Bursts = append(f.Bursts, measureBurst(o, workers))
	}
	return f, nil
}

// measureBurst measures how long an urgent job waits for the scheduler behind a burst of
// cancellations on a full cell.
func measureBurst(o Options, workers int) Burst {
	const cancellations = 10000
	d := newDriver(workers, o.Seed)
	d.fillCell(1)
	d.fillQueue(queueBacklog, o.QueuedTasks)
	d.resetMeasurement()
	count := min(cancellations, len(d.queued))
	for range count {
		d.cancelLastJob()
	}
	urgent := d.smallJob()
	urgent.Priority = cell.PriorityUrgent
	d.submit(urgent)
	job := d.queued[len(d.queued)-1]
	d.deliverEvents()
	events := d.schedulerTime
	plans := 0
	for ; d.cell.Jobs[job].Tasks[0] == cell.TaskQueued && plans < 100; plans++ {
		d.now = d.now.Add(time.Millisecond)
		d.runPlan(256)
	}
	return Burst{Workers: workers, Cancelled: count, Events: events, Plans: plans, Placement: d.schedulerTime - events}
}

// queueKind is the kind of queue that a row is measured with.
type queueKind string

const (
	queueShort   queueKind = ""        // newly arrived jobs only
	queueNoRoom  queueKind = "no-room" // long queue of tasks larger than the free capacity of any worker
	queueBacklog queueKind = "backlog" // long queue of tasks of all sizes
	queueCancel  queueKind = "cancel"  // long queue whose jobs are cancelled during the measurement
)

type row struct {
	workers int
	fill    float64
	queue   queueKind
}

func (o Options) rows() []row {
	var rows []row
	for _, workers := range o.Workers {
		for _, fill := range o.Fill {
			rows = append(rows, row{workers, fill, queueShort})
		}
	}
	for _, workers := range o.Workers {
		for _, queue := range []queueKind{queueNoRoom, queueBacklog, queueCancel} {
			rows = append(rows, row{workers, 1, queue})
		}
	}
	return rows
}

func (r row) label() string {
	if r.queue == queueShort {
		return fmt.Sprintf("%.0f%% full", r.fill*100)
	}
	return "full, " + string(r.queue)
}

// measure measures one row.
func (r row) measure(o Options) Row {
	d := newDriver(r.workers, o.Seed)
	d.fillCell(r.fill)
	d.fillQueue(r.queue, o.QueuedTasks)
	d.resetMeasurement()
	waiting := d.waiting
	for d.decisions < o.Decisions {
		d.step(r)
	}
	return Row{
		Workers: r.workers, State: r.label(), QueuedTasks: waiting, JobClasses: d.classCount(),
		PerSecond:       float64(d.decisions) / d.schedulerTime.Seconds(),
		P50:             time.Duration(d.decisionTimes.ValueAtQuantile(50)),
		P99:             time.Duration(d.decisionTimes.ValueAtQuantile(99)),
		Max:             time.Duration(d.decisionTimes.Max()),
		HeapAllocations: d.allocsPerDecision(),
	}
}
