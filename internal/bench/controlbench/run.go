package controlbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"golang.org/x/sys/unix"
)

// Options of a run.
type Options struct {
	Folder   string        // holds the data folders; on the disk to measure
	Workers  []int         // numbers of workers to measure, ascending
	Duration time.Duration // of each measurement of an idle cell
	Changes  int           // cell files applied in the burst
	Rate     int           // cell files applied per second in the burst
}

// DefaultOptions returns the planned sizes of docs/design.md, section 1.5.
func DefaultOptions() Options {
	return Options{Workers: []int{50, 200, 900}, Duration: 20 * time.Second, Changes: 100, Rate: 10}
}

// Point is the measurement at one number of workers.
type Point struct {
	Workers          int
	BytesPerSecond   float64       // per worker, on all of its connections
	CPU              float64       // cores used by the whole process
	Memory           float64       // bytes of heap and stacks of the whole process
	SingleChange     time.Duration // until one change is in force on all workers
	LastOfBurst      time.Duration // until the last of many changes is in force on all workers
	ChangeAfterKills time.Duration // as SingleChange, with two control replicas and two entry processes down

	// UrgentMedian and UrgentWorst are times from the submission of an urgent job on a full cell
	// until its worker receives the assignment.
	UrgentMedian, UrgentWorst time.Duration
}

// Figures are the results of a run, in ascending order of the number of workers.
type Figures []Point

// Run measures each number of workers and prints the points and the fitted lines.
func Run(ctx context.Context, out io.Writer, o Options) error {
	points, err := Measure(ctx, o)
	if err != nil {
		return err
	}
	return points.Print(out)
}

// Measure measures each number of workers.
func Measure(ctx context.Context, o Options) (Figures, error) {
	var points Figures
	for _, workers := range o.Workers {
		p, err := measure(ctx, o, workers)
		if err != nil {
			return points, fmt.Errorf("%d workers: %w", workers, err)
		}
		points = append(points, p)
	}
	return points, nil
}

// Print writes the points and the fitted lines. It returns the error of the writer.
func (points Figures) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workers\tbytes/s a worker\tprocess CPU %\tprocess MB\tone change s\tburst s\tchange with 2 control, 2 entry down s\turgent median s\turgent worst s\t")
	for _, p := range points {
		fmt.Fprintf(table, "%d\t%.0f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t\n", p.Workers, p.BytesPerSecond, 100*p.CPU,
			p.Memory/(1<<20), p.SingleChange.Seconds(), p.LastOfBurst.Seconds(), p.ChangeAfterKills.Seconds(),
			p.UrgentMedian.Seconds(), p.UrgentWorst.Seconds())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printFits(out, points)
	return nil
}

func measure(ctx context.Context, o Options, workers int) (p Point, err error) {
	p.Workers = workers
	c, err := startCell(ctx, o.Folder, workers)
	if c != nil {
		defer func() { err = errors.Join(err, c.close()) }()
	}
	if err != nil {
		return p, err
	}
	if err := c.measureIdleCost(ctx, o.Duration, &p); err != nil {
		return p, err
	}
	if err := c.measureUrgentJobs(ctx, &p); err != nil {
		return p, err
	}
	return p, c.measurePropagation(ctx, o, &p)
}

// measureIdleCost measures traffic, processor time and memory of a cell in which nothing changes.
func (c *testCell) measureIdleCost(ctx context.Context, duration time.Duration, p *Point) error {
	bytesBefore, cpuBefore := c.workerBytes.Load(), processCPU()
	began := time.Now()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return ctx.Err()
	}
	seconds := time.Since(began).Seconds()
	p.BytesPerSecond = float64(c.workerBytes.Load()-bytesBefore) / seconds / float64(c.workers)
	p.CPU = (processCPU() - cpuBefore).Seconds() / seconds
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	p.Memory = float64(memory.HeapAlloc + memory.StackInuse)
	return nil
}

// propagationTimeout bounds the wait for a change or an assignment; the target for a change is 15 s.
const propagationTimeout = 60 * time.Second

// measurePropagation measures the time from the submission of a cell file until every worker has a
// lease granted under it. It measures one change, the last change of a burst, and one change with
// two control replicas and two entry processes down.
func (c *testCell) measurePropagation(ctx context.Context, o Options, p *Point) error {
	generation := 2
	var err error
	if p.SingleChange, err = c.timeChange(ctx, generation); err != nil {
		return err
	}
	for range o.Changes - 1 {
		generation++
		if err := c.applyCellFile(ctx, generation, workerLeaseFor(generation)); err != nil {
			return err
		}
		time.Sleep(time.Second / time.Duration(o.Rate))
	}
	generation++
	if p.LastOfBurst, err = c.timeChange(ctx, generation); err != nil {
		return err
	}
	if err := c.killProcesses(ctx); err != nil {
		return err
	}
	generation++
	p.ChangeAfterKills, err = c.timeChange(ctx, generation)
	return err
}

// killProcesses kills two control replicas, the leader among them, and two entry processes.
func (c *testCell) killProcesses(ctx context.Context) error {
	leader, err := c.group.Leader(ctx)
	if err != nil {
		return err
	}
	for _, i := range []int{leader, (leader + 1) % controlReplicas} {
		if err := c.group.Kill(i); err != nil {
			return err
		}
	}
	c.entryCancels[0]()
	c.entryCancels[1]()
	return nil
}

// timeChange applies a cell file and returns the time until every worker has a lease granted under
// it.
func (c *testCell) timeChange(ctx context.Context, generation int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	began := time.Now()
	if err := c.applyCellFile(ctx, generation, workerLeaseFor(generation)); err != nil {
		return 0, err
	}
	remaining := c.workers
	seen := make([]bool, c.workers)
	for remaining > 0 {
		select {
		case grant := <-c.leaseGrants:
			if grant.lease == workerLeaseFor(generation) && !seen[grant.worker] {
				seen[grant.worker] = true
				remaining--
			}
		case <-ctx.Done():
			return 0, fmt.Errorf("%d of %d workers have no lease under generation %d: %w", remaining, c.workers, generation, ctx.Err())
		}
	}
	return time.Since(began), nil
}

// processCPU returns the processor time of this process.
func processCPU() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0 // getrusage cannot fail for RUSAGE_SELF
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// printFits prints a least-squares line over the number of workers for each cost.
func printFits(out io.Writer, points Figures) {
	if len(points) < 2 {
		return
	}
	fits := []struct {
		name, unit string
		scale      float64
		value      func(Point) float64
	}{
		{"processor time", "% of a core", 100, func(p Point) float64 { return p.CPU }},
		{"memory", "KB", 1.0 / 1024, func(p Point) float64 { return p.Memory }},
		{"bytes", "bytes/s", 1, func(p Point) float64 { return p.BytesPerSecond * float64(p.Workers) }},
	}
	for _, fit := range fits {
		var xs, ys []float64
		for _, p := range points {
			xs = append(xs, float64(p.Workers))
			ys = append(ys, fit.value(p)*fit.scale)
		}
		intercept, slope, residual := fitLine(xs, ys)
		fmt.Fprintf(out, "%s: %.4g %s + %.4g %s for each worker, largest residual %.2g %s\n",
			fit.name, intercept, fit.unit, slope, fit.unit, residual, fit.unit)
	}
}

// fitLine fits ys = intercept + slope * xs by least squares. The residual is the largest distance
// of a point from the line.
func fitLine(xs, ys []float64) (intercept, slope, residual float64) {
	n := float64(len(xs))
	var sumX, sumY, sumXX, sumXY float64
	for i := range xs {
		sumX += xs[i]
		sumY += ys[i]
		sumXX += xs[i] * xs[i]
		sumXY += xs[i] * ys[i]
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	intercept = (sumY - slope*sumX) / n
	distances := make([]float64, len(xs))
	for i := range xs {
		distances[i] = max(ys[i]-intercept-slope*xs[i], intercept+slope*xs[i]-ys[i])
	}
	return intercept, slope, slices.Max(distances)
}
