// Package statebench measures the replicated state machine at several cell sizes: the duration and
// the encoded size of each kind of command, the duration and the size of a snapshot, and the memory
// of each kind of record in the state. Capacity planning uses the slopes over the cell size.
package statebench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// ErrRun is returned if the benchmark fails, for example because the state refuses a command.
var ErrRun = merry.Sentinel("state benchmark failed")

// The planned numbers of running tasks and workers (docs/design.md, section 1.5). Their ratio is
// used at every size.
const (
	plannedTasks   = 4900
	plannedWorkers = 900
)

// DefaultSizes returns the measured numbers of workers: the current one, the planned one and about
// ten times the planned one.
func DefaultSizes() []int { return []int{50, 900, 10_000} }

// Run measures the default sizes and prints the tables to out.
func Run(out io.Writer) error {
	reports, err := Measure(DefaultSizes())
	if err != nil {
		return err
	}
	return reports.Print(out)
}

// Figures are the results of a run, with one report for each size.
type Figures []Report

// Measure measures the state at several numbers of workers.
func Measure(workers []int) (Figures, error) {
	reports := make(Figures, 0, len(workers))
	for _, n := range workers {
		r, err := measure(n, n*plannedTasks/plannedWorkers)
		if err != nil {
			return reports, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// Print writes the tables of commands, snapshots and memory. It returns ErrRun if the writer fails.
func (reports Figures) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printCommands(table, reports)
	printSnapshots(table, reports)
	printMemory(table, reports)
	if err := table.Flush(); err != nil {
		return merry.Wrap(ErrRun, merry.WithCause(err))
	}
	return nil
}

// writeRow writes one line of a table. An error of the writer is returned by its Flush.
func writeRow(table io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(table, format+"\t\n", args...)
}

func printCommands(table io.Writer, reports []Report) {
	writeRow(table, "command\tworkers\ttasks\tcount\tmean us\tmax us\tencoded bytes")
	for _, r := range reports {
		for _, c := range r.Commands {
			writeRow(table, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%d", c.Kind, r.Workers, r.Tasks, c.Count,
				micros(c.Total)/float64(c.Count), micros(c.Longest), c.Bytes/c.Count)
		}
	}
}

func printSnapshots(table io.Writer, reports []Report) {
	writeRow(table, "\nsnapshot\tworkers\ttasks\tcopy ms\tencode ms\tdecode ms\trestore ms\tbytes")
	for _, r := range reports {
		s := r.Snapshot
		writeRow(table, "\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d", r.Workers, r.Tasks, millis(s.Copied), millis(s.Encoded),
			millis(s.Decoded), millis(s.Restored), s.Bytes)
	}
}

func printMemory(table io.Writer, reports []Report) {
	writeRow(table, "\nmemory of one\tworkers\tcount\theap bytes\tsnapshot bytes")
	for _, r := range reports {
		for _, m := range r.Memory {
			writeRow(table, "%s\t%d\t%d\t%d\t%d", m.Kind, r.Workers, m.Count, m.Heap/int64(m.Count), m.Snapshot/m.Count)
		}
	}
}
