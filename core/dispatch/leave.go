package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// noteLeave notes when a worker leaves at the earliest. A new leader counts from
// its own start, which is later than the truth: it moves fewer runs than it could.
func (c *Core) noteLeave(w *worker) {
	if w.Draining && w.LeavesIn > 0 && w.leavesAt.IsZero() {
		w.leavesAt = c.now.Add(w.LeavesIn)
	}
}

// moveLeaving stops the runs that cannot end before their worker leaves. They
// would end with it, and where it leaves without a word their tasks could begin
// again only when its lease is over.
func (c *Core) moveLeaving(w *worker) {
	if w.leavesAt.IsZero() || w.silent {
		return
	}
	for _, id := range allRuns(w.runs) {
		r := w.runs[id]
		if r.stop || r.reported {
			continue
		}
		if left, known := c.timeLeft(w, id, r); known && c.now.Add(left).After(w.leavesAt) {
			c.stopRun(w, r, "worker-leaves")
			c.stopMembers(id)
		}
	}
}

// timeLeft is how long a run still takes by its measured progress, or that of its
// step. A gang takes as long as its slowest member; one that waits for members
// has done nothing yet, and its estimate is enough.
func (c *Core) timeLeft(w *worker, id workload.TaskID, r *run) (left time.Duration, known bool) {
	j := c.byID[id.Job]
	if j == nil {
		return 0, false
	}
	spec, p := &j.Spec.Steps[id.Step], &j.steps[id.Step].paces
	if !spec.Gang {
		rate := r.rate()
		if rate == 0 && p.count >= minRates {
			rate = p.mean() * w.speed
		}
		return c.timeLeftAt(rate, w, r)
	}
	if p.run != r.number || p.begun.IsZero() {
		return spec.Estimate, spec.Estimate > 0
	}
	for i, task := range j.Steps[id.Step].Tasks {
		id.Index = i
		on := c.workers[task.Worker]
		if !task.Open || on == nil || on.runs[id] == nil {
			continue
		}
		member := on.runs[id]
		rate := member.rate()
		if rate == 0 {
			rate = p.best
		}
		alone, measured := c.timeLeftAt(rate, on, member)
		if !measured {
			return 0, false
		}
		left = max(left, alone)
	}
	return left, true
}

// timeLeftAt is how long a run takes that advances at a rate in percent per
// millisecond. It is not known without a rate or a report.
func (c *Core) timeLeftAt(rate float64, w *worker, r *run) (left time.Duration, known bool) {
	if rate <= 0 || r.last.clock == 0 {
		return 0, false
	}
	percent := float64(r.last.percent) + rate*float64(c.clockNow(w)-r.last.clock)
	return time.Duration(max(100-percent, 0) / rate * float64(time.Millisecond)), true
}
