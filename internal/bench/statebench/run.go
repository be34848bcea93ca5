// Package statebench measures the replicated state machine at several sizes of
// a cell: the cost and the encoded size of each kind of command, the size of a
// snapshot, and the memory of each thing that the state keeps. The slopes are
// the input of capacity planning.
package statebench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// ErrRun is returned where the state refuses a command of the benchmark.
var ErrRun = merry.Sentinel("benchmark of the state failed")

// The planned density of tasks (docs/design.md, section 1.5), used at every size.
const (
	plannedTasks   = 4900
	plannedWorkers = 900
)

// sizes are the numbers of workers that are measured: today's, the planned ones
// and ten times those.
var sizes = []int{50, 900, 10_000}

// Run measures all sizes and prints one table for each kind of figure to out.
func Run(out io.Writer) error {
	reports := make([]report, 0, len(sizes))
	for _, workers := range sizes {
		r, err := measure(workers, workers*plannedTasks/plannedWorkers)
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printCommands(table, reports)
	printSnapshots(table, reports)
	printMemory(table, reports)
	if err := table.Flush(); err != nil {
		return merry.Wrap(ErrRun, merry.WithCause(err))
	}
	return nil
}

// row writes one line of a table. Errors of the writer are kept by it until
// Flush.
func row(table io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(table, format+"\t\n", args...)
}

func printCommands(table io.Writer, reports []report) {
	row(table, "command\tworkers\ttasks\tcount\tmean us\tmax us\tencoded bytes")
	for _, r := range reports {
		for _, c := range r.commands {
			row(table, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%d", c.kind, r.workers, r.tasks, c.count,
				micros(c.total)/float64(c.count), micros(c.longest), c.bytes/c.count)
		}
	}
}

func printSnapshots(table io.Writer, reports []report) {
	row(table, "\nsnapshot\tworkers\ttasks\tcopy ms\tencode ms\tdecode ms\trestore ms\tbytes")
	for _, r := range reports {
		s := r.snapshot
		row(table, "\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d", r.workers, r.tasks, millis(s.copied), millis(s.encoded),
			millis(s.decoded), millis(s.restored), s.bytes)
	}
}

func printMemory(table io.Writer, reports []report) {
	row(table, "\nmemory of one\tworkers\tcount\theap bytes\tsnapshot bytes")
	for _, r := range reports {
		for _, m := range r.memory {
			row(table, "%s\t%d\t%d\t%d\t%d", m.kind, r.workers, m.count, m.heap/int64(m.count), m.snapshot/m.count)
		}
	}
}
