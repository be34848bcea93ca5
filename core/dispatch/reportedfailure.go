package dispatch

import "github.com/godwitlink/godwitlink/core/workload"

// A failed end that a worker has listed is committed some time later. If it is the last one that the queue
// allows, the task must not be started meanwhile, although a run of it may be open.

// failedRun identifies a failed run of a step.
type failedRun struct {
	index int
	run   workload.RunNumber
}

const stopReasonTaskFailed = "task-failed"

// recordReportedFailure records that a failed end of a task was proposed.
func (c *Core) recordReportedFailure(id workload.TaskID, run workload.RunNumber) {
	live := c.jobsByID[id.Job]
	if live == nil {
		return
	}
	s := &live.steps[id.Step]
	if s.reportedFailures == nil {
		s.reportedFailures = map[failedRun]bool{}
	}
	s.reportedFailures[failedRun{id.Index, run}] = true
}

// removeReportedFailure follows the commit of a failed end.
func (c *Core) removeReportedFailure(id workload.TaskID, run workload.RunNumber) {
	if live := c.jobsByID[id.Job]; live != nil {
		delete(live.steps[id.Step].reportedFailures, failedRun{id.Index, run})
	}
}

// isKnownFailed reports whether a task, or its gang, has failed as often as its queue allows, with the ends
// that are not committed yet. A gang fails once a run.
func (c *Core) isKnownFailed(id workload.TaskID) bool {
	live := c.jobsByID[id.Job]
	if live == nil || len(live.steps[id.Step].reportedFailures) == 0 {
		return false
	}
	step, gang := &live.Steps[id.Step], live.Spec.Steps[id.Step].Gang
	failures := step.Tasks[id.Index].Failures
	if gang {
		failures = step.Failures
	}
	counted := map[workload.RunNumber]bool{}
	for reported := range live.steps[id.Step].reportedFailures {
		if gang && reported.run > step.LastFailedRun || !gang && reported.index == id.Index {
			counted[reported.run] = true
		}
	}
	return len(counted) > 0 && failures+len(counted) >= live.Queue.MaxAttempts
}
