package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// Figures are the results of a comparison, with one row for each policy and seed.
type Figures []Row

// Row is the result of one policy on one day.
type Row struct {
	Policy      string
	Seed        uint64
	Waits       []Wait  // one for each class of work
	Packing     float64 // share of the cell in use while work waits
	Waiting     float64 // share of the time in which work waits
	LowestShare float64 // smallest fraction of its entitled share that a team got
	LostWork    float64 // share of the work that was lost by preemptions without a checkpoint
	Starts      int     // started tasks
	Unstarted   int     // tasks that never started
	StartRate   float64 // started tasks per second of the planner's real time
	Failures    int     // failed task attempts
	FailedJobs  int
	Quarantined float64 // mean number of healthy workers in quarantine
	Violations  int     // placement violations found by the fake cell
}

// Wait is the time in seconds until a task of a class starts.
type Wait struct {
	Class    string
	P50, P99 float64
}

func (s *simulation) row(policy string, seed uint64) Row {
	r := Row{
		Policy: policy, Seed: seed,
		Packing: s.packingSum / max(s.waitingSamples, 1), Waiting: s.waitingSamples / max(s.samples, 1),
		LowestShare: s.lowestShare(), LostWork: s.lostWork / max(s.totalWork, 1),
		Starts: s.starts, Unstarted: s.unstarted, StartRate: float64(s.starts) / s.plannerTime.Seconds(),
		Failures: s.failures, FailedJobs: s.failedJobs, Quarantined: s.quarantinedSum / max(s.samples, 1),
		Violations: len(s.cell.Violations),
	}
	for _, class := range classes {
		h := s.waits[class]
		r.Waits = append(r.Waits, Wait{Class: class, P50: seconds(h, 50), P99: seconds(h, 99)})
	}
	return r
}

// Print writes one line for each row. It returns the error of the writer.
func (f Figures) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "policy\tseed\turgent p50 s\tp99 s\tservice p50 s\tp99 s\tbatch p50 s\tp99 s\tlow p50 s\tp99 s\tgang p50 s\tp99 s\t")
	fmt.Fprintln(table, "packing\twaiting\tlowest share\tlost\tstarts\tunstarted\tstarts/s\tfailures\tfailed jobs\tout of use\tbroken rules\t")
	for _, r := range f {
		fmt.Fprintf(table, "%s\t%d\t", r.Policy, r.Seed)
		for _, w := range r.Waits {
			fmt.Fprintf(table, "%.2f\t%.2f\t", w.P50, w.P99)
		}
		fmt.Fprintf(table, "%.1f%%\t%.0f%%\t%.0f%%\t%.3f%%\t%d\t%d\t%.0f\t%d\t%d\t%.2f\t%d\t\n", 100*r.Packing, 100*r.Waiting,
			100*r.LowestShare, 100*r.LostWork, r.Starts, r.Unstarted, r.StartRate, r.Failures, r.FailedJobs, r.Quarantined, r.Violations)
	}
	if err := table.Flush(); err != nil {
		return merry.Prepend(err, "policybench: write table")
	}
	return nil
}
