package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// updateLeaveTime records the earliest time at which a worker leaves. A new leader counts from its
// own start, which is later than the actual announcement, so it may move fewer runs than possible.
func (c *Core) updateLeaveTime(w *worker) {
	if w.Draining && w.LeavesIn > 0 && w.leavesAt.IsZero() {
		w.leavesAt = c.now.Add(w.LeavesIn)
	}
}

// stopRunsBeforeLeave stops the runs that cannot end before their worker leaves. They would be lost
// with it, and if the worker then leaves without notice, their tasks can start again only after its
// lease has expired.
func (c *Core) stopRunsBeforeLeave(w *worker) {
	if w.leavesAt.IsZero() || w.unresponsive {
		return
	}
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if r.stopRequested || r.endProposed {
			continue
		}
		if remaining, known := c.remainingTime(w, id, r); known && c.now.Add(remaining).After(w.leavesAt) {
			c.recordGivenUpRun(w, id, r, "worker-leaves", remaining)
			c.requestStop(w, r, "worker-leaves")
			c.stopGang(id)
		}
	}
}

// remainingTime returns how long a run will still take, by its measured progress or that of its
// step. A gang takes as long as its slowest member. While a gang is incomplete, it has made no
// progress and the estimate is used.
func (c *Core) remainingTime(w *worker, id workload.TaskID, r *run) (remaining time.Duration, known bool) {
	j := c.jobsByID[id.Job]
	if j == nil {
		return 0, false
	}
	spec, rates := &j.Spec.Steps[id.Step], &j.steps[id.Step].rates
	if !spec.Gang {
		rate := r.rate()
		if rate == 0 && rates.count >= minRateSamples {
			rate = rates.mean() * c.relativeSpeed(w)
		}
		if rate == 0 {
			return c.expectedRemainingTime(j, w, id, r)
		}
		return c.remainingTimeAt(rate, w, r)
	}
	if rates.gangRun != r.number || rates.gangStartedAt.IsZero() {
		return j.steps[id.Step].expected, spec.Estimate > 0
	}
	for i, task := range j.Steps[id.Step].Tasks {
		id.Index = i
		memberWorker := c.workers[task.Worker]
		if !task.Open || memberWorker == nil || memberWorker.runs[id] == nil {
			continue
		}
		member := memberWorker.runs[id]
		rate := member.rate()
		if rate == 0 {
			rate = rates.gangBestRate
		}
		memberRemaining, measured := c.remainingTimeAt(rate, memberWorker, member)
		if !measured {
			return 0, false
		}
		remaining = max(remaining, memberRemaining)
	}
	return remaining, true
}

// remainingTimeAt returns how long a run will still take at a rate in percent per millisecond. The
// time is unknown without a rate or a report.
func (c *Core) remainingTimeAt(rate float64, w *worker, r *run) (remaining time.Duration, known bool) {
	if rate <= 0 || r.latestReport.clock == 0 {
		return 0, false
	}
	percent := float64(r.latestReport.percent) + rate*float64(c.minWorkerClock(w)-r.latestReport.clock)
	return time.Duration(max(100-percent, 0) / rate * float64(time.Millisecond)), true
}
