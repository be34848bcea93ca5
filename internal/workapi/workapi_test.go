package workapi

import (
	"fmt"
	"math"
	"testing"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Guards against routing a request to a queue with a shorter prefix or to a queue of another host.
func TestRoutesFindTheLongestPrefix(t *testing.T) {
	r := NewRoutingTable(workload.Config{Version: 3, Queues: []workload.Queue{
		{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"},
		{Name: "other", Host: "x", PathPrefix: "/"},
	}})
	for path, want := range map[string]string{"/a/1": "short", "/a/b/1": "long", "/c": ""} {
		queue, rest, ok := r.Find("h", path)
		if queue.Name != want || ok != (want != "") || ok && rest != "1" {
			t.Errorf("%s: queue %q, rest %q", path, queue.Name, rest)
		}
	}
}

// Guards against telling a client that a job was not run although it may have been.
func TestOnlyUnavailableControlGroupIsNotAccepted(t *testing.T) {
	for _, c := range []struct {
		err  error
		want Outcome
	}{
		{merry.Wrap(controlclient.ErrUnavailable), OutcomeNotAccepted},
		{merry.Wrap(controlclient.ErrOutcomeUnknown), OutcomeUnknown},
		{merry.Wrap(controlclient.ErrMalformed), OutcomeUnknown},
	} {
		if got := outcomeFromError(c.err); got != c.want {
			t.Errorf("outcomeFromError(%v) = %s, want %s", c.err, got, c.want)
		}
	}
}

// Guards against acknowledging a report with changes without a commit, and against committing a
// report without changes.
func TestUnchangedReportIsNotCommitted(t *testing.T) {
	known := workload.Worker{ID: "w", Boot: 5, Address: "a", Service: "s", Labels: []string{"x"}}
	same, later, draining, moved := known, known, known, known
	later.Boot = 6
	draining.Draining = true
	moved.Address = "b"
	earlier := moved
	earlier.Boot = 4
	for name, c := range map[string]struct {
		reported workload.Worker
		want     bool
	}{"same": {same, true}, "earlier boot": {earlier, true}, "later boot": {later, false}, "draining": {draining, false}, "moved": {moved, false}} {
		if got := isUnchanged(known, c.reported); got != c.want {
			t.Errorf("%s: isUnchanged = %v", name, got)
		}
	}
}

// Guards against all workers sending their reports to the leader, and against directing reports to
// a replica that is not a member.
func TestReportsGoToFollowers(t *testing.T) {
	members := []string{"a:1", "b:1", "c:1"}
	addresses := map[string]bool{}
	for i := range 40 {
		addresses[nextReportAddress("a:1", "a:1", members, workload.WorkerID(fmt.Sprint(i)))] = true
	}
	if addresses["a:1"] || !addresses["b:1"] || !addresses["c:1"] {
		t.Errorf("the leader directs reports to %v, want both followers", addresses)
	}
	if got := nextReportAddress("b:1", "a:1", members, "w"); got != "b:1" {
		t.Errorf("a follower directs reports to %q, want itself", got)
	}
	if got := nextReportAddress("a:1", "a:1", []string{"a:1"}, "w"); got != "a:1" {
		t.Errorf("a single replica directs reports to %q, want itself", got)
	}
}

// Guards against a single job that uses up the memory of every replica of the control group.
func TestJobWithTooManyTasksIsRejected(t *testing.T) {
	service := NewJobService(JobServiceOptions{Metrics: metrics.New()})
	for name, steps := range map[string][]workload.StepSpec{
		"one step":  {{Tasks: maxTasksPerJob + 1}},
		"all steps": {{Tasks: maxTasksPerJob}, {Tasks: -1}, {Tasks: 1}},
		"overflow":  {{Tasks: math.MaxInt}, {Tasks: math.MaxInt}},
	} {
		if got, _ := service.Submit(t.Context(), Route{}, "j", workload.JobSpec{Steps: steps}); got != OutcomeInvalid {
			t.Errorf("%s: outcome %s, want %s", name, got, OutcomeInvalid)
		}
	}
	if isTooLarge(workload.JobSpec{Steps: []workload.StepSpec{{Tasks: maxTasksPerJob}}}) {
		t.Error("the largest job is rejected")
	}
}
