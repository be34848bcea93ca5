package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// begunReportDelay is how long the report that a job has begun waits at most for a proposal with which
// it can be committed. The platform allows the number of pending jobs to be 2 s old, the commit included.
const begunReportDelay = time.Second

// begunReports are the reports that jobs have begun which have not been proposed yet.
type begunReports struct {
	tasks []workload.TaskID // one for each job
	dueAt time.Time         // when they are proposed at the latest
}

// recordBegun notes that a worker has begun a task. It is reported once for each job.
func (c *Core) recordBegun(id workload.TaskID) {
	live := c.jobsByID[id.Job]
	if live == nil || live.Begun || live.begunRecorded || c.state.Task(id) == nil {
		return
	}
	live.begunRecorded = true
	if len(c.begun.tasks) == 0 {
		c.begun.dueAt = c.now.Add(begunReportDelay)
	}
	c.begun.tasks = append(c.begun.tasks, id)
}

// begunReportsDue reports whether the reports can no longer wait for another proposal.
func (c *Core) begunReportsDue() bool {
	return len(c.begun.tasks) > 0 && !c.now.Before(c.begun.dueAt)
}

// queueBegunReports adds the reports to the ends that are proposed next. Jobs that have ended or are
// known to have begun meanwhile need none.
func (c *Core) queueBegunReports() {
	for _, id := range c.begun.tasks {
		if live := c.jobsByID[id.Job]; live != nil && !live.Begun {
			c.pendingEnds = append(c.pendingEnds, workload.BegunReport(id))
		}
	}
	c.begun.tasks = nil
}
