package state

import (
	"github.com/godwitlink/godwitlink/core/cell"
)

// reportTasks takes a worker's news. Reports of allocations that have ended,
// or that are not on this worker, are late or repeated and change nothing.
func (s *State) reportTasks(c ReportTasks) Result {
	w := s.workers[c.Worker]
	if w == nil {
		return refuse(RefusalUnknownWorker, "worker %q is not registered", c.Worker)
	}
	if !w.current(c.Epoch) {
		return refuse(RefusalStaleEpoch, "epoch %d of worker %s is not current", c.Epoch, c.Worker)
	}
	for _, report := range c.Reports {
		a := s.allocations[report.Allocation]
		if a != nil && a.Worker == c.Worker {
			s.takeReport(a, report)
		}
	}
	return Result{Worker: &WorkerResult{Epoch: w.epoch}}
}

func (s *State) takeReport(a *allocation, report TaskReport) {
	switch report.Outcome {
	case ReportRunning:
		s.taskRuns(a, report)
	case ReportSucceeded:
		s.endAllocation(a, report.Outcome)
		s.taskSucceeded(a)
	case ReportFailed:
		s.endAllocation(a, report.Outcome)
		s.taskFailed(a, report.Detail)
	case ReportStopped, ReportCheckpointed:
		s.endAllocation(a, report.Outcome)
		s.loseTask(a)
	}
}

func (s *State) taskRuns(a *allocation, report TaskReport) {
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

// taskSucceeded ends a task. A service runs until it is cancelled, so a task of
// it that ends by itself is started again like one that failed.
func (s *State) taskSucceeded(a *allocation) {
	switch {
	case a.job.kind != cell.KindService:
		s.finishTask(a.job, a.Task.Index)
	case a.stopping:
		s.loseTask(a)
	default:
		s.taskFailed(a, "the task of a service ended by itself")
	}
}

// taskFailed counts a failure, unless the task was told to stop: then the way in
// which it ended says nothing of the task. A gang is told to stop with its first
// failure, so each of its starts counts once.
func (s *State) taskFailed(a *allocation, detail string) {
	if a.stopping {
		a.task().detail = shorten(detail)
		s.loseTask(a)
		return
	}
	s.forgiveService(a)
	s.failTask(a.job, a.Task.Index, detail)
	s.stopGang(a.job, false)
}

// forgiveService forgets the former failures of a service's task that ran for
// longer than the longest backoff. The limit of attempts is against tasks that
// do not start, not against a failure every few weeks.
func (s *State) forgiveService(a *allocation) {
	if a.job.kind != cell.KindService || !a.running {
		return
	}
	if s.now.Sub(a.startedAt) > s.config.policies[a.job.spec.Policy].BackoffMax {
		a.task().attempts = 0
	}
}
