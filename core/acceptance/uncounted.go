package acceptance

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Uncounted holds the jobs that were accepted after the waits were calculated. The dispatcher learns of jobs
// only once they are committed and it has handled all earlier events. After an outage, jobs come in faster
// than that, and more would be accepted meanwhile than can end in time.
type Uncounted struct{ jobs []uncountedJob }

// uncountedJob is a job that waits have not counted. Indexes increase in the order of acceptance.
type uncountedJob struct {
	index    uint64
	service  string
	priority int
	work     time.Duration // that all workers of the service need for it
}

// Add adds a job of a queue.
func (u *Uncounted) Add(index uint64, queue *workload.Queue, spec *workload.JobSpec, capacity workload.Resources) {
	work := time.Duration(0)
	for i := range spec.Steps {
		step := &spec.Steps[i]
		work += time.Duration(float64(step.Tasks) * step.Size.DominantShare(capacity) * float64(step.Estimate))
	}
	u.jobs = append(u.jobs, uncountedJob{index: index, service: queue.Service, priority: queue.Priority, work: work})
}

// Counted removes the jobs up to an index, which the waits count now.
func (u *Uncounted) Counted(index uint64) {
	u.jobs = slices.DeleteFunc(u.jobs, func(j uncountedJob) bool { return j.index <= index })
}

// Clear removes all jobs.
func (u *Uncounted) Clear() { u.jobs = nil }

// AddTo returns the wait of a queue with the work that it does not count.
func (u *Uncounted) AddTo(w QueueWait, queue *workload.Queue) QueueWait {
	work := time.Duration(0)
	for _, j := range u.jobs {
		if j.service == queue.Service && j.priority <= queue.Priority {
			work += j.work
		}
	}
	w.OnTime += work
	w.Overdue += work
	return w
}
