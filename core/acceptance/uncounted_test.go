package acceptance

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against a burst of jobs that is accepted before the dispatcher has counted its first ones, and
// against jobs that are counted twice or for queues that they do not delay.
func TestUncountedJobsMakeWaitsLonger(t *testing.T) {
	usual := &workload.Queue{Service: "s", Priority: 1}
	spec := &workload.JobSpec{Steps: []workload.StepSpec{{Tasks: 4, Size: workload.Resources{MilliCPU: 1000}, Estimate: time.Second}}}
	var u Uncounted
	for index := range uint64(3) {
		u.Add(index, usual, spec, workload.Resources{MilliCPU: 2000})
	}
	u.Counted(0)
	wait := QueueWait{OnTime: time.Second, Overdue: 3 * time.Second}
	for name, c := range map[string]struct {
		queue workload.Queue
		want  time.Duration
	}{
		"same queue":    {*usual, 4 * time.Second},
		"less urgent":   {workload.Queue{Service: "s", Priority: 2}, 4 * time.Second},
		"more urgent":   {workload.Queue{Service: "s"}, 0},
		"other service": {workload.Queue{Service: "t", Priority: 1}, 0},
	} {
		got := u.AddTo(wait, &c.queue)
		if got.OnTime != wait.OnTime+c.want || got.Overdue != wait.Overdue+c.want {
			t.Errorf("%s: %+v, want %v more", name, got, c.want)
		}
	}
	u.Clear()
	if got := u.AddTo(wait, usual); got != wait {
		t.Errorf("%+v without jobs", got)
	}
}
