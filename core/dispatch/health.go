package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Limits of the judgement of workers by their runs.
const (
	// failuresInRow is the number of failed runs without a good one, of more
	// than one job, after which a worker gets nothing new for a while. One run
	// in twenty fails by its own fault, so three in a row are rarely chance.
	failuresInRow = 3
	// avoidFailing is how long a failing worker gets nothing new.
	avoidFailing = 3 * time.Second
	// maxAvoidedPercent bounds the workers that are avoided: where more look
	// sick, the cause is not theirs.
	maxAvoidedPercent = 30
)

// runEnded judges a worker by an end that it reported.
func (c *Core) runEnded(w *worker, job workload.JobID, how workload.RunEnd) {
	switch how {
	case workload.EndDone:
		w.failedRuns = 0
	case workload.EndFailed:
		if w.failedRuns == 0 {
			w.failedJob = job
		}
		w.failedRuns++
		if w.failedRuns >= failuresInRow && w.failedJob != job {
			w.failedRuns = 0
			c.avoidWorker(w, "failing", avoidFailing)
		}
	}
}

// avoidWorker keeps new runs from a worker for a while.
func (c *Core) avoidWorker(w *worker, reason string, d time.Duration) {
	if !c.now.Before(w.avoid) && c.manyAvoided() {
		return
	}
	w.avoid = c.now.Add(d)
	c.wakeAt(w, w.avoid)
	c.decide(Decision{Kind: DecisionAvoided, Worker: w.ID, Reason: reason, Count: len(w.runs), Age: c.age(w)})
}

func (c *Core) manyAvoided() bool {
	avoided, all := 0, 0
	for _, other := range c.list {
		if other.Gone || other.silent {
			continue
		}
		all++
		if c.now.Before(other.avoid) {
			avoided++
		}
	}
	return avoided*100 >= all*maxAvoidedPercent
}

// checkAvoided plans again when a worker may get runs again.
func (c *Core) checkAvoided(w *worker) {
	switch {
	case w.avoid.IsZero():
	case c.now.Before(w.avoid):
		c.wakeAt(w, w.avoid)
	default:
		w.avoid = time.Time{}
		c.changed = true
	}
}
