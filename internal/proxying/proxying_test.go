package proxying

import (
	"maps"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

func containsLine(text, line string) bool { return strings.Contains("\n"+text, "\n"+line) }

func wantTally(t *testing.T, got, want tally) {
	t.Helper()
	if !maps.Equal(got, want) {
		t.Errorf("results %v, want %v", got, want)
	}
}

// Guards against calls that are lost or answered wrongly on their way through call proxies, or that all go
// to one of them.
func TestCallsGoThroughProxies(t *testing.T) {
	g := startGroup(t, 3)
	g.awaitUsed(3)
	const workers = 300
	g.send(workers, longLease)
	wantTally(t, g.collect(3*workers), tally{"hold-ok": workers, "start-ok": workers, "stop-old": workers})
	for _, p := range g.proxies {
		if got := p.workers.starts.Load(); got < workers/6 {
			t.Errorf("a proxy has sent %d of %d starts", got, workers)
		}
	}
}

// Guards against fields of a hold's answer that get lost on the way.
func TestReportIsPassedOnWhole(t *testing.T) {
	g := startGroup(t, 1)
	g.awaitUsed(1)
	g.send(1, longLease)
	for {
		r := <-g.results
		if len(r.Holds) == 0 {
			continue
		}
		got := r.Holds[0]
		if got.Hold.Boot != 7 || got.Report.Boot != 7 || got.Report.Clock != 1000 || len(got.Report.Active) != 1 || len(got.Report.Ends) != 1 {
			t.Fatalf("result %+v", got)
		}
		task := workload.TaskID{Job: "job", Step: 1, Index: 2}
		if want := (dispatch.ActiveRun{Task: task, Run: 3, Checkpoint: "c", Percent: 40}); got.Report.Active[0] != want {
			t.Errorf("active run %+v, want %+v", got.Report.Active[0], want)
		}
		if want := (dispatch.ListedEnd{Number: 5, Task: task, Run: 2, Result: workload.EndDone, Checkpoint: "d"}); got.Report.Ends[0] != want {
			t.Errorf("end %+v, want %+v", got.Report.Ends[0], want)
		}
		return
	}
}
