package placementbench

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Options are the flags of the benchmark.
type Options struct {
	Workers   []int     // sizes of the cell
	Fill      []float64 // shares of the processors in use
	Decisions int       // measured for each row
	Waiting   int       // tasks in the rows with a long queue
	Seed      uint64
}

// DefaultOptions returns the sizes of docs/design.md, section 1.5, and larger
// ones.
func DefaultOptions() Options {
	return Options{
		Workers:   []int{50, 900, 10000},
		Fill:      []float64{0.30, 0.70, 0.95},
		Decisions: 20000,
		Waiting:   100000,
		Seed:      1,
	}
}

// ErrOptions says that the options make no benchmark.
var ErrOptions = merry.Sentinel("placementbench: options out of range")

// Run measures every row and prints a table to out.
func Run(out io.Writer, o Options) error {
	if o.Decisions <= 0 || len(o.Workers) == 0 || len(o.Fill) == 0 {
		return merry.Wrap(ErrOptions)
	}
	// The figures are for one core, with the garbage collector on it.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workers\tstate\twaiting\tclasses\tdecisions/s\tp50 us\tp99 us\tmax us\tallocs/decision\t")
	for _, row := range o.rows() {
		fmt.Fprintln(table, row.measure(o))
	}
	if err := table.Flush(); err != nil {
		return merry.Prepend(err, "placementbench: write table")
	}
	for _, workers := range o.Workers {
		fmt.Fprintln(out, burst(o, workers))
	}
	return nil
}

// burst measures how long urgent work waits for the scheduler behind a burst
// of cancellations on a full cell.
func burst(o Options, workers int) string {
	const cancellations = 10000
	d := newDriver(workers, o.Seed)
	d.fill(1)
	d.queueUp(queueBacklog, o.Waiting)
	d.reset()
	count := min(cancellations, len(d.queued))
	for range count {
		d.cancelLast()
	}
	urgent := d.smallJob()
	urgent.Priority = cell.PriorityUrgent
	d.submit(urgent)
	job := d.queued[len(d.queued)-1]
	d.deliver()
	events := d.spent
	plans := 0
	for ; d.cell.Jobs[job].Tasks[0] == cell.TaskQueued && plans < 100; plans++ {
		d.now = d.now.Add(time.Millisecond)
		d.plan(256)
	}
	return fmt.Sprintf("%d workers, full: %d cancelled jobs and an urgent one took %.1f ms, its placement %d plans and %.1f ms",
		workers, count, events.Seconds()*1e3, plans, (d.spent-events).Seconds()*1e3)
}

// queueKind says what waits in a row.
type queueKind string

const (
	queueShort   queueKind = ""        // what arrives
	queueNoRoom  queueKind = "no-room" // tasks larger than any room
	queueBacklog queueKind = "backlog" // tasks of all sizes
	queueCancel  queueKind = "cancel"  // a backlog that is cancelled meanwhile
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

// measure runs one row and formats its line.
func (r row) measure(o Options) string {
	d := newDriver(r.workers, o.Seed)
	d.fill(r.fill)
	d.queueUp(r.queue, o.Waiting)
	d.reset()
	waiting := d.waiting
	for d.decisions < o.Decisions {
		d.turn(r)
	}
	h := d.times
	const micro = 1e3 // nanoseconds
	return fmt.Sprintf("%d\t%s\t%d\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t", r.workers, r.label(), waiting, d.classes(),
		float64(d.decisions)/d.spent.Seconds(),
		float64(h.ValueAtQuantile(50))/micro, float64(h.ValueAtQuantile(99))/micro, float64(h.Max())/micro,
		d.allocsPerDecision())
}
