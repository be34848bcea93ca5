package logbench

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against a log that waits for the answer to each append before it sends the next, and
// against failover times above their targets. All times are virtual.
func TestPipelineAndFailover(t *testing.T) {
	const delay, inFlight, period = 8 * time.Millisecond, 256, 200 * time.Millisecond
	pipelined, err := MeasureCommits(Pipelined, delay, inFlight, period)
	if err != nil {
		t.Fatal(err)
	}
	single, err := MeasureCommits(OneByOne, delay, inFlight, period)
	if err != nil {
		t.Fatal(err)
	}
	if pipelined.PerSecond < 10*single.PerSecond || pipelined.P50 > 3*delay {
		t.Errorf("pipelined %+v, one by one %+v; want at least 10 times the rate and a p50 of at most %v", pipelined, single, 3*delay)
	}
	for _, loss := range []LeaderLoss{LeaderKilled, LeaderCutOff} {
		failover, err := MeasureFailovers(loss, 10)
		if err != nil || failover.Median >= MedianTarget || failover.Worst >= WorstTarget {
			t.Errorf("%s: %+v, error %v", loss, failover, err)
		}
	}
}

var full = flag.Bool("logbench.full", false, "print the full table")

// Guards against a benchmark that is not reproducible or prints no rows.
func TestRunIsRepeatable(t *testing.T) {
	if *full {
		if err := Run(os.Stdout); err != nil {
			t.Fatal(err)
		}
	}
	var first, second strings.Builder
	for _, out := range []*strings.Builder{&first, &second} {
		if err := run(out, 20*time.Millisecond, 2); err != nil {
			t.Fatal(err)
		}
	}
	if first.String() != second.String() || !strings.Contains(first.String(), Pipelined.Name) {
		t.Errorf("tables of two runs differ or lack rows:\n%s\n%s", first.String(), second.String())
	}
}
