package workload_test

import (
	"reflect"
	"testing"

	"github.com/godwitlink/godwitlink/core/runtimes"
	"github.com/godwitlink/godwitlink/core/workload"
)

func configWithTeams(version uint64, teams ...workload.Team) workload.Command {
	c := config(version)
	c.Configure.Teams = teams
	return c
}

func reportOf(queue string, buckets ...runtimes.Bucket) workload.Command {
	var samples []runtimes.Sample
	for i, b := range buckets {
		samples = append(samples, runtimes.Sample{Declared: b, Within: -b, HasWithin: i%2 == 0})
	}
	return workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{workload.RunTimeReport(queue, samples)}}}
}

func (ts *testState) runTimes() map[string]runtimes.Group {
	all := map[string]runtimes.Group{}
	ts.state.RunTimes(func(queue string, group runtimes.Group) { all[queue] = group })
	return all
}

// A new leader must know the run times that its predecessor has learned, also after a restart from a
// snapshot, and the snapshot must hold the outermost buckets too.
func TestRunTimesSurvive(t *testing.T) {
	ts := newTestState(t, configWithTeams(2, workload.Team{Name: "a"}), reportOf("batch", -16, 0, 3, 16), reportOf("batch", 0))
	want := runtimes.Group{}
	for i, b := range []runtimes.Bucket{-16, 0, 3, 16, 0} {
		want.Add(runtimes.Sample{Declared: b, Within: -b, HasWithin: i%2 == 0})
	}
	for range 2 {
		if got := ts.runTimes(); !reflect.DeepEqual(got, map[string]runtimes.Group{"batch": want}) {
			t.Fatalf("run times %+v, want %+v", got, want)
		}
		ts.restore()
	}
}

// A configuration without teams is served by replicas of earlier versions, which would stop at a snapshot
// with run times. Reports for unknown queues must not let the state grow.
func TestRunTimesAreKeptWithTeamsOnly(t *testing.T) {
	ts := newTestState(t, reportOf("batch", 1))
	if ts.state.KeepsRunTimes() || ts.state.Snapshot().RunTimes != nil {
		t.Error("run times are kept without teams")
	}
	ts.apply(configWithTeams(2, workload.Team{Name: "a"}))
	ts.apply(reportOf("unknown", 1))
	ts.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{How: "run-times", Checkpoint: "damaged"}, {How: "run-times", Checkpoint: "\x00\xff:batch"}}}})
	ts.apply(reportOf("batch", 1))
	got := ts.runTimes()
	if declared := got["batch"].Declared; len(got) != 1 || declared.Total() != 1 {
		t.Errorf("run times %+v", got)
	}
	ts.apply(configWithTeams(3))
	if got := ts.runTimes(); len(got) != 0 {
		t.Errorf("run times %+v after the teams were removed", got)
	}
}

// Replicas of earlier versions would close the run that a report names.
func TestRunTimeReportNamesNoRun(t *testing.T) {
	report := workload.RunTimeReport("q", []runtimes.Sample{{}})
	if report.Run != 0 || report.Worker != "" || report.Task != (workload.TaskID{}) {
		t.Errorf("report is %+v", report)
	}
}
