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
	losses       = 50              // of the leader, of each kind
)

// Run measures all configurations and prints a table. It returns ErrNoLeader if a group elects no
// leader, or the error of the writer.
func Run(out io.Writer) error { return run(out, measuredTime, losses) }

func run(out io.Writer, period time.Duration, losses int) error {
	f, err := Measure(Options{Period: period, Losses: losses})
	if err != nil {
		return err
	}
	return f.Print(out)
}

// Options are the sizes of a measurement.
type Options struct {
	Period time.Duration // virtual time of one row
	Losses int           // number of losses of the leader, of each kind
}

// DefaultOptions returns the sizes of the published measurement.
func DefaultOptions() Options { return Options{Period: measuredTime, Losses: losses} }

// Figures are the results of a run.
type Figures struct {
	Options   Options
	Rows      []Row
	Failovers []LossFailover
}

// LossFailover is the failover after one kind of loss.
type LossFailover struct {
	Loss LeaderLoss
	Failover
}

// Row is the measurement of one configuration.
type Row struct {
	Delay    time.Duration // one-way delay between replicas
	InFlight int           // proposals in flight
	Mode     string
	CommitRow
}

// Measure measures all configurations. It returns ErrNoLeader if a group elects no leader.
func Measure(o Options) (Figures, error) {
	f := Figures{Options: o}
	for _, delay := range []time.Duration{0, time.Millisecond, 8 * time.Millisecond} {
		for _, inFlight := range []int{1, 16, 256} {
			for _, mode := range []Mode{Pipelined, OneByOne} {
				row, err := MeasureCommits(mode, delay, inFlight, o.Period)
				if err != nil {
					return f, err
				}
				f.Rows = append(f.Rows, Row{Delay: delay, InFlight: inFlight, Mode: mode.Name, CommitRow: row})
			}
		}
	}
	for _, loss := range []LeaderLoss{LeaderKilled, LeaderCutOff} {
		failover, err := MeasureFailovers(loss, o.Losses)
		if err != nil {
			return f, err
		}
		f.Failovers = append(f.Failovers, LossFailover{Loss: loss, Failover: failover})
	}
	return f, nil
}

// Print writes a table of the commits and a line for each kind of loss. It returns the error of the
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
	for _, failover := range f.Failovers {
		_, err := fmt.Fprintf(out, "leader %s to next commit, %v one way, %d times: median %v, worst %v (targets %v, %v)\n",
			failover.Loss, failoverDelay, f.Options.Losses, failover.Median, failover.Worst, MedianTarget, WorstTarget)
		if err != nil {
			return err
		}
	}
	return nil
}
