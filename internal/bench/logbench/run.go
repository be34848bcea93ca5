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
	losses       = 50
)

// Run measures all configurations and prints a table. Its error is that of
// the writer, or says that a group did not work.
func Run(out io.Writer) error { return run(out, measuredTime, losses) }

func run(out io.Writer, period time.Duration, losses int) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintf(out, "replicated log, %d voters, sync %v, virtual clock, %v per row\n", voters, syncTime, period); err != nil {
		return err
	}
	fmt.Fprintln(table, "one-way\tin flight\tappends\tcommits/s\tp50\tp99\t")
	for _, delay := range []time.Duration{0, time.Millisecond, 8 * time.Millisecond} {
		for _, inFlight := range []int{1, 16, 256} {
			for _, mode := range []Mode{Pipelined, OneByOne} {
				row, err := Commits(mode, delay, inFlight, period)
				if err != nil {
					return err
				}
				fmt.Fprintf(table, "%v\t%d\t%s\t%.0f\t%v\t%v\t\n", delay, inFlight, mode.Name, row.PerSecond, row.P50, row.P99)
			}
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, loss := range []Loss{LeaderKilled, LeaderCutOff} {
		failover, err := Failovers(loss, losses)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "leader %s to next commit, %v one way, %d times: median %v, worst %v (targets %v, %v)\n",
			loss, failoverDelay, losses, failover.Median, failover.Worst, MedianTarget, WorstTarget)
		if err != nil {
			return err
		}
	}
	return nil
}
