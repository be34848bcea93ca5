// Package acceptance decides which jobs are refused because the cell is overloaded. It does no input or
// output and reads no clock.
//
// It is made for more work than the workers can do, and for a leader that is late, for example after all
// control machines were unavailable and clients send what they have kept. Callers need jobs that end in
// time: a job that ends later than workload.MaxLateness times its objective is of no use, and the work spent on it is
// missing elsewhere. Such a job is refused when it is submitted, so that the client can act on it at once. A
// job that may still end in time is never refused.
//
// The leader's dispatcher calculates two waits of each queue from the work that is accepted (core/dispatch).
// A job that can still meet its objective comes before those that cannot, so it waits for a short time or,
// once it is overdue, for all work of its priority. Work that may arrive later is not counted, so a job is
// refused only if it could not end in time even if nothing else arrived. Work of queues with lower priority does not
// count, so urgent queues are refused last. Check adds the job's own work, so small jobs are refused later
// than large ones of the same queue. The waits follow the work: once it is done, jobs are accepted.
package acceptance

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

const (
	// MaxAge is how long a wait may be used after it was calculated. The dispatching task
	// calculates it again every 250 ms; a task that is later than that says little about the backlog.
	MaxAge = 1500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a refused job may be sent again. The work that waits now
	// says little about a later time.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// QueueWait is how long the tasks of a new job of a queue wait. It is published only for queues of which some
// jobs are to be refused.
type QueueWait struct {
	Queue string
	// OnTime is the wait behind more urgent work and jobs that can still meet their objective.
	OnTime time.Duration
	// Overdue is the wait of a job that cannot meet its objective any more.
	Overdue time.Duration
	// Capacity is that of all workers of the queue's service.
	Capacity workload.Resources
	// Ratio is how much longer than declared the tasks of the queue take, if that is known and more than 1.
	// The objective follows the true work, so a job that is declared too short has more time.
	Ratio float64 `cbor:",omitempty"`
}

// Find returns the wait of a queue.
func Find(waits []QueueWait, queue string) (QueueWait, bool) {
	for _, w := range waits {
		if w.Queue == queue {
			return w, true
		}
	}
	return QueueWait{}, false
}

// Relevant reports whether the wait is so long that some jobs of the queue could not end in time.
func (w QueueWait) Relevant(queue *workload.Queue) bool {
	return queue.TargetLatency > 0 && w.OnTime > queue.TargetLatency && w.Overdue > workload.MaxLateness*queue.TargetLatency
}

// Check reports whether a job could not end in time, and if so when it may be sent again. teamCap is the
// cap of the job's team; zero dimensions are not limited.
func Check(w QueueWait, queue *workload.Queue, spec *workload.JobSpec, teamCap workload.Resources) (retryAfter time.Duration, refused bool) {
	path, ok := criticalPath(w, queue, spec, teamCap)
	if !ok {
		return 0, false
	}
	objective := time.Duration(queue.SlackFactor*float64(path)) + queue.TargetLatency
	excess := w.Overdue + path - workload.MaxLateness*objective
	if objective <= 0 || w.OnTime+path <= objective || excess <= 0 {
		return 0, false
	}
	return min(max(excess, minRetryAfter), maxRetryAfter), true
}

// criticalPath returns the longest chain of work of a job. ok is false for a job that the state would refuse
// for another reason.
func criticalPath(w QueueWait, queue *workload.Queue, spec *workload.JobSpec, teamCap workload.Resources) (longest time.Duration, ok bool) {
	ends := make([]time.Duration, len(spec.Steps))
	for i := range spec.Steps {
		step := &spec.Steps[i]
		begin := time.Duration(0)
		for _, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= i {
				return 0, false
			}
			begin = max(begin, ends[dependency])
		}
		estimate := time.Duration(float64(step.Estimate) * max(w.Ratio, 1))
		ends[i] = begin + time.Duration(step.Rounds(w.Capacity, teamCap))*estimate
		if queue.Advice != nil {
			ends[i] += queue.Advice.Base + workload.ObjectiveAdviceWorkers*queue.Advice.PerWorker
		}
		longest = max(longest, ends[i])
	}
	return longest, true
}
