package logbench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Sizes of the published measurement.
const (
	measuredTime = 2 * time.Second // virtual time of one row
	kills        = 50
)

// Run measures all configurations and prints a table. Its error is that of
// the writer, or says that a group did not work.
func Run(out io.Writer) error { return run(out, measuredTime, kills) }

func run(out io.Writer, period time.Duration, kills int) error {
	f, err := Measure(Options{Period: period, Kills: kills})
	if err != nil {
		return err
	}
	return f.Print(out)
}

// Options are the sizes of a measurement.
type Options struct {
	Period time.Duration // virtual time of one row
	Kills  int           // of the leader
}

// DefaultOptions returns the sizes of the published measurement.
func DefaultOptions() Options { return Options{Period: measuredTime, Kills: kills} }

// Figures are the results of a run.
type Figures struct {
	Options  Options
	Rows     []Row
	Failover Failover
}

// Row is the measurement of one configuration.
type Row struct {
	Delay    time.Duration // one way, between replicas
	InFlight int           // proposals
	Mode     string
	CommitRow
}

// Measure measures all configurations. Its error says that a group did not
// work.
func Measure(o Options) (Figures, error) {
	f := Figures{Options: o}
	for _, delay := range []time.Duration{0, time.Millisecond, 8 * time.Millisecond} {
		for _, inFlight := range []int{1, 16, 256} {
			for _, mode := range []Mode{Pipelined, OneByOne} {
				row, err := Commits(mode, delay, inFlight, o.Period)
				if err != nil {
					return f, err
				}
				f.Rows = append(f.Rows, Row{Delay: delay, InFlight: inFlight, Mode: mode.Name, CommitRow: row})
			}
		}
	}
	var err error
	f.Failover, err = Failovers(o.Kills)
	return f, err
}

// Print writes the figures as a table and a line. Its error is that of the
// writer.
func (f Figures) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintf(out, "replicated log, %d voters, sync %v, virtual clock, %v per row\n", voters, syncTime, f.Options.Period); err != nil {
		return err
	}
	fmt.Fprintln(table, "one-way\tin flight\tappends\tcommits/s\tp50\tp99\t")
	for _, r := range f.Rows {
		fmt.Fprintf(table, "%v\t%d\t%s\t%.0f\t%v\t%v\t\n", r.Delay, r.InFlight, r.Mode, r.PerSecond, r.P50, r.P99)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "leader death to next commit, %v one way, %d kills: median %v, worst %v (targets %v, %v)\n",
		failoverDelay, f.Options.Kills, f.Failover.Median, f.Failover.Worst, MedianTarget, WorstTarget)
	return err
}
