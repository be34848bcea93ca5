package state

import (
	"github.com/godwitlink/godwitlink/core/cell"
)

// reportTasks applies the reports of a worker. A report on an allocation that has ended or belongs to
// another worker is late or repeated and has no effect.
func (s *State) reportTasks(c ReportTasks) Result {
	w := s.workers[c.Worker]
	if w == nil {
		return refuse(RefusalUnknownWorker, "worker %q is not registered", c.Worker)
	}
	if !w.hasEpoch(c.Epoch) {
		return refuse(RefusalStaleEpoch, "epoch %d of worker %s is not current", c.Epoch, c.Worker)
	}
	for _, report := range c.Reports {
		a := s.allocations[report.Allocation]
		if a != nil && a.Worker == c.Worker {
			s.applyReport(a, report)
		}
	}
	return Result{Worker: &WorkerResult{Epoch: w.epoch}}
}

func (s *State) applyReport(a *allocation, report TaskReport) {
	switch report.Outcome {
	case ReportRunning:
		s.taskRunning(a, report)
	case ReportSucceeded:
		s.endAllocation(a, report.Outcome)
		s.taskSucceeded(a)
	case ReportFailed:
		s.endAllocation(a, report.Outcome)
		s.taskFailed(a, report.Detail)
	case ReportStopped, ReportCheckpointed:
		s.endAllocation(a, report.Outcome)
		s.requeueLostTask(a)
	}
}

func (s *State) taskRunning(a *allocation, report TaskReport) {
	if !a.running {
		a.running = true
		a.startedAt = s.now
		if !a.stopping {
			a.task().state = cell.TaskRunning
		}
		s.emit(Event{TaskStarted: &TaskStarted{Allocation: a.ID}})
	}
	if !report.Used.IsZero() {
		s.emit(Event{UsageReported: &UsageReported{Allocation: a.ID, Report: report}})
	}
}

// taskSucceeded ends a task. A service runs until it is cancelled, so a service task that exits by
// itself is treated as failed and started again.
func (s *State) taskSucceeded(a *allocation) {
	switch {
	case a.job.kind != cell.KindService:
		s.completeTask(a.job, a.Task.Index)
	case a.stopping:
		s.requeueLostTask(a)
	default:
		s.taskFailed(a, "the task of a service ended by itself")
	}
}

// taskFailed counts a failure, unless the task was asked to stop: then the failure may be a consequence
// of the stop. The first failure of a gang stops its other tasks, so each start of a gang counts at
// most one failure.
func (s *State) taskFailed(a *allocation, detail string) {
	if a.stopping {
		a.task().detail = truncate(detail)
		s.requeueLostTask(a)
		return
	}
	s.resetServiceFailures(a)
	s.failTask(a.job, a.Task.Index, detail)
	s.stopGang(a.job, false)
}

// resetServiceFailures resets the failure count of a service task that ran for longer than the maximum
// backoff. The limit of attempts is meant for tasks that fail at startup, not for a service that
// fails every few weeks.
func (s *State) resetServiceFailures(a *allocation) {
	if a.job.kind != cell.KindService || !a.running {
		return
	}
	if s.now.Sub(a.startedAt) > s.config.policies[a.job.spec.Policy].BackoffMax {
		a.task().attempts = 0
	}
}
