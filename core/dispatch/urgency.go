package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// timeliness classifies a job by whether it can still end in time.
type timeliness uint8

const (
	onTime   timeliness = iota // the job can meet its objective
	overdue                    // the job can still end within workload.MaxLateness times its objective
	obsolete                   // the result is no longer of use
)

// fastWorkerFactor is the multiple of its remaining work that a job must have time for to be placed on
// slow workers. They take 1.3 times as long, and the estimate is rough.
const fastWorkerFactor = 2

// plannedWork returns how long a step takes once it may start, if its tasks run in a number of waves.
func plannedWork(j *job, index, waves int) time.Duration {
	work := time.Duration(waves) * j.steps[index].expected
	if j.Queue.Advice != nil {
		work += adviceTime(j.Queue.Advice, workload.ObjectiveAdviceWorkers)
	}
	return work
}

// computeObjective calculates the objective of a job and the critical path from each step on.
func (c *Core) computeObjective(j *job) {
	longest := time.Duration(0)
	for i := len(j.steps) - 1; i >= 0; i-- {
		// Steps depend on earlier steps only, so the critical path of this step is complete.
		j.steps[i].criticalPath += plannedWork(j, i, c.waves(j.Job, i))
		for _, dependency := range j.Spec.Steps[i].DependsOn {
			j.steps[dependency].criticalPath = max(j.steps[dependency].criticalPath, j.steps[i].criticalPath)
		}
		longest = max(longest, j.steps[i].criticalPath)
	}
	j.objective = time.Duration(j.Queue.SlackFactor*float64(longest)) + j.Queue.TargetLatency
}

// timeliness classifies a job by its remaining work from a step on.
func (j *job) timeliness(index int, now time.Time) timeliness {
	endsAfter := now.Add(j.steps[index].criticalPath).Sub(j.localAcceptedAt)
	switch {
	case j.objective <= 0 || endsAfter <= j.objective:
		return onTime
	case endsAfter <= workload.MaxLateness*j.objective:
		return overdue
	}
	return obsolete
}

// needsFastWorkers reports whether a job could be late because of a slow worker.
func (j *job) needsFastWorkers(index int, now time.Time) bool {
	return j.objective > 0 && now.Add(fastWorkerFactor*j.steps[index].criticalPath).Sub(j.localAcceptedAt) > j.objective
}
