package acceptance

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against the refusal of a job that could still end within three times its objective, and against
// jobs that are accepted although they cannot.
func TestOnlyJobsThatCannotEndInTimeAreRefused(t *testing.T) {
	queue := &workload.Queue{Name: "q", SlackFactor: 2, TargetLatency: 2 * time.Second}
	step := func(tasks int, estimate time.Duration, after ...int) workload.StepSpec {
		return workload.StepSpec{Tasks: tasks, Estimate: estimate, Size: workload.Resources{MilliCPU: 1000}, DependsOn: after}
	}
	capacity := workload.Resources{MilliCPU: 40_000}
	for name, c := range map[string]struct {
		wait  time.Duration
		steps []workload.StepSpec
		queue *workload.Queue
		cap   workload.Resources
		ratio float64
		// earlier is by how much the job waits for less while it can meet its objective.
		earlier time.Duration
		want    time.Duration // 0 if the job is accepted
	}{
		// 3 times the objective of 4 s, less the work of 1 s.
		"just in time":        {wait: 11 * time.Second, steps: []workload.StepSpec{step(1, time.Second)}},
		"just late":           {wait: 11*time.Second + time.Millisecond, steps: []workload.StepSpec{step(1, time.Second)}, want: time.Second},
		"late":                {wait: 16 * time.Second, steps: []workload.StepSpec{step(1, time.Second)}, want: 5 * time.Second},
		"very late":           {wait: time.Hour, steps: []workload.StepSpec{step(1, time.Second)}, want: 30 * time.Second},
		"a chain":             {wait: 16 * time.Second, steps: []workload.StepSpec{step(1, time.Second), step(1, time.Second, 0)}},
		"two rounds":          {wait: 16 * time.Second, steps: []workload.StepSpec{step(20, time.Second)}},
		"two for its team":    {wait: 16 * time.Second, steps: []workload.StepSpec{step(4, time.Second)}, cap: workload.Resources{MilliCPU: 2000}},
		"declared short":      {wait: 16 * time.Second, steps: []workload.StepSpec{step(1, time.Second)}, ratio: 2},
		"declared long":       {wait: 16 * time.Second, steps: []workload.StepSpec{step(1, time.Second)}, ratio: 0.5, want: 5 * time.Second},
		"meets its objective": {wait: time.Hour, earlier: time.Hour - 3*time.Second, steps: []workload.StepSpec{step(1, time.Second)}},
		"misses it":           {wait: time.Hour, earlier: time.Hour - 3*time.Second - time.Millisecond, steps: []workload.StepSpec{step(1, time.Second)}, want: 30 * time.Second},
		"no objective":        {wait: time.Hour, steps: []workload.StepSpec{step(1, time.Second)}, queue: &workload.Queue{}},
		"invalid dependency":  {wait: time.Hour, steps: []workload.StepSpec{step(1, time.Second, 3)}},
	} {
		q := queue
		if c.queue != nil {
			q = c.queue
		}
		retryAfter, refused := Check(QueueWait{Queue: "q", OnTime: c.wait - c.earlier, Overdue: c.wait, Capacity: capacity, Ratio: c.ratio}, q, &workload.JobSpec{Steps: c.steps}, c.cap)
		if retryAfter != c.want || refused != (c.want > 0) {
			t.Errorf("%s: refused %t, retry after %v; want %v", name, refused, retryAfter, c.want)
		}
	}
}
