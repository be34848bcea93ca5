package workapi

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/acceptance"
	"github.com/godwitlink/godwitlink/core/workload"
)

// startOverload returns a running task that knows a wait of a minute for a queue, and a submission there.
func startOverload(t *testing.T) (*overload, submission) {
	t.Helper()
	o := newOverload()
	go o.run(t.Context().Done())
	<-o.started
	now := time.Now()
	o.receive(receivedWaits{askedAt: now, waits: []acceptance.QueueWait{{Queue: "q", OnTime: time.Minute, Overdue: time.Minute}}})
	queue := workload.Queue{Name: "q", SlackFactor: 1, TargetLatency: time.Second}
	return o, submission{now: now, id: "new", route: Route{Queue: queue}, spec: workload.JobSpec{Steps: []workload.StepSpec{{Tasks: 1, Estimate: time.Second}}}}
}

// Guards against a refusal that promises that a job has not run although an earlier submission of it may
// have been accepted, and against refusals by a figure that no longer holds.
func TestOnlyNewJobsAreRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		change func(o *overload, s *submission)
		want   bool
	}{
		"new":                     {func(*overload, *submission) {}, true},
		"another queue":           {func(_ *overload, s *submission) { s.route.Queue.Name = "other" }, false},
		"old figure":              {func(_ *overload, s *submission) { s.now = s.now.Add(acceptance.MaxAge + time.Millisecond) }, false},
		"no wait any more":        {func(o *overload, s *submission) { o.receive(receivedWaits{askedAt: s.now}) }, false},
		"wide step of a team":     {func(_ *overload, s *submission) { s.route.Caller.Team = "t"; s.spec.Steps[0].Tasks = 2 }, false},
		"a single task of a team": {func(_ *overload, s *submission) { s.route.Caller.Team = "t" }, true},
		"submitted before": {func(o *overload, s *submission) {
			earlier := *s
			earlier.now = s.now.Add(-2 * acceptance.MaxAge)
			earlier.route.Queue.Name = "other" // not refused
			o.submit(earlier)
		}, false},
	} {
		o, s := startOverload(t)
		c.change(o, &s)
		if got := o.submit(s); got.refused != c.want || got.refused && got.retryAfter < time.Second {
			t.Errorf("%s: %+v, want refused: %t", name, got, c.want)
		}
	}
}

// Guards against submissions that wait for a task that does not run, and against memory without a bound.
func TestOverloadTaskIsBounded(t *testing.T) {
	if got := newOverload().submit(submission{}); got.refused {
		t.Error("refused without a task")
	}
	o, s := startOverload(t)
	other := s
	other.route.Queue.Name = "other"
	for i := range maxProposedJobs + 10 {
		other.id = workload.JobID(fmt.Sprint(i))
		o.submit(other)
	}
	if got := o.submit(s); got.refused {
		t.Error("a job is refused at once although some submissions are not remembered")
	}
}
