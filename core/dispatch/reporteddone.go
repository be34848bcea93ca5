package dispatch

import "github.com/godwitlink/godwitlink/core/workload"

// A done end that a worker has listed is committed some time later, and until then the state does not show
// that the task is done. Meanwhile the task must be neither placed nor started elsewhere.

// recordReportedDone records that a done end of a task was proposed.
func (c *Core) recordReportedDone(id workload.TaskID) {
	live := c.jobsByID[id.Job]
	if live == nil {
		return
	}
	s := &live.steps[id.Step]
	if s.reportedDone == nil {
		s.reportedDone = map[int]bool{}
	}
	s.reportedDone[id.Index] = true
}

// removeReportedDone follows the commit of a done end. If the end did not count, the task is placed again.
func (c *Core) removeReportedDone(id workload.TaskID) {
	if live := c.jobsByID[id.Job]; live != nil {
		delete(live.steps[id.Step].reportedDone, id.Index)
	}
}

// isKnownDone reports whether a run of a task is known to be done, or a run of any member of its gang:
// either the state says so, or the end is not committed yet.
func (c *Core) isKnownDone(id workload.TaskID) bool {
	job := c.state.Job(id.Job)
	if job == nil || !job.Spec.Steps[id.Step].Gang {
		return c.isTaskKnownDone(id)
	}
	for index := range job.Steps[id.Step].Tasks {
		if c.isTaskKnownDone(id.StepID().Task(index)) {
			return true
		}
	}
	return false
}

func (c *Core) isTaskKnownDone(id workload.TaskID) bool {
	if live := c.jobsByID[id.Job]; live != nil && live.steps[id.Step].reportedDone[id.Index] {
		return true
	}
	task := c.state.Task(id)
	return task != nil && (task.State == workload.TaskDone || c.state.IsDoneByClosedRun(id))
}
