package placementbench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
)

// Figures are the results of a run.
type Figures struct {
	Rows   []Row
	Bursts []Burst
}

// Row is the cost of decisions at one number of workers and one state of the cell.
type Row struct {
	Workers         int
	State           string // share of the processors in use and kind of queue
	QueuedTasks     int    // queued tasks at the start
	JobClasses      int    // approximate number of job classes in the scheduler
	PerSecond       float64
	P50, P99, Max   time.Duration // decision times
	HeapAllocations float64       // heap objects per decision
}

// Burst is the time that an urgent job waits for the scheduler behind a burst of cancellations on a
// full cell.
type Burst struct {
	Workers   int
	Cancelled int           // cancelled jobs
	Events    time.Duration // scheduler time for the cancellations and the submission
	Plans     int           // number of plans until the urgent job was placed
	Placement time.Duration // scheduler time for these plans
}

// Print writes the figures as a table and a line for each burst. It returns the error of the
// writer.
func (f Figures) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workers\tstate\twaiting\tclasses\tdecisions/s\tp50 us\tp99 us\tmax us\tallocs/decision\t")
	for _, r := range f.Rows {
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", r.Workers, r.State, r.QueuedTasks, r.JobClasses,
			r.PerSecond, micros(r.P50), micros(r.P99), micros(r.Max), r.HeapAllocations)
	}
	if err := table.Flush(); err != nil {
		return merry.Prepend(err, "placementbench: write table")
	}
	for _, b := range f.Bursts {
		fmt.Fprintf(out, "%d workers, full: %d cancelled jobs and an urgent one took %.1f ms, its placement %d plans and %.1f ms\n",
			b.Workers, b.Cancelled, b.Events.Seconds()*1e3, b.Plans, b.Placement.Seconds()*1e3)
	}
	return nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
