package dispatcher

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// A configuration may list thousands of queues: their histograms must not fill the memory of the leader. An
// operator must see how well run times are predicted, and why jobs are late.
func TestRunTimesAreMeasuredByQueue(t *testing.T) {
	l := &eventLoop{opts: Options{Metrics: metrics.New()}}
	for i := range 3000 {
		l.recordRunTimes(dispatch.Effects{
			RunTimes: []dispatch.RunTime{{Queue: fmt.Sprint("q", i), Predicted: time.Second, Measured: 3 * time.Second}, {Queue: "none"}},
			LateJobs: []dispatch.LateJob{{Queue: "q0", Cause: dispatch.LateWaited}},
		})
	}
	text := l.opts.Metrics.Text()
	if lines := strings.Count(text, "run_time_ratio_count"); lines != maxQueueLabels+1 {
		t.Errorf("%d histograms, want %d", lines, maxQueueLabels+1)
	}
	for _, want := range []string{
		`run_time_ratio_bucket{le="4",reason="q0"} 1`, `run_time_ratio_bucket{le="+Inf",reason="q0"} 1`, `run_time_ratio_bucket{le="2",reason="q0"} 0`,
		`run_time_ratio_count{reason="(other)"} 2936`, `jobs_late_total{reason="waited"} 3000`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no line %q", want)
		}
	}
}
