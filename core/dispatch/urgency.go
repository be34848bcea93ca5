package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// timeliness says what a job can still reach.
type timeliness uint8

const (
	onTime   timeliness = iota // it can meet its objective
	overdue                    // it can still end within lateFactor times its objective
	obsolete                   // nobody waits for it any more
)

const (
	// maxOverdueFactor is by how much a job may exceed its objective and still be of
	// use: the platform's pages name three times.
	maxOverdueFactor = 3
	// fastWorkerFactor is for how many times its work a job must have time to be put
	// on slow workers: these take 1.3 times as long, and the estimate is rough.
	fastWorkerFactor = 2
	// estimatedAdviceWorkers is the number of workers for which the platform adds a call
	// for advice to the work of each step.
	estimatedAdviceWorkers = 30
)

// plannedWork is how long a step takes once it may begin.
func plannedWork(j *workload.Job, index int) time.Duration {
	work := j.Spec.Steps[index].Estimate
	if j.Queue.Advice != nil {
		work += adviceTime(j.Queue.Advice, estimatedAdviceWorkers)
	}
	return work
}

// computeObjective works out the objective of a job and the longest chain of work that
// begins with each step.
func (j *job) computeObjective() {
	longest := time.Duration(0)
	for i := len(j.steps) - 1; i >= 0; i-- {
		// Steps depend on earlier ones only, so the chain of this one is whole.
		j.steps[i].criticalPath += plannedWork(j.Job, i)
		for _, dependency := range j.Spec.Steps[i].DependsOn {
			j.steps[dependency].criticalPath = max(j.steps[dependency].criticalPath, j.steps[i].criticalPath)
		}
		longest = max(longest, j.steps[i].criticalPath)
	}
	j.objective = time.Duration(j.Queue.SlackFactor*float64(longest)) + j.Queue.TargetLatency
}

// timeliness judges a job by what is left to do from a step on.
func (j *job) timeliness(index int, now time.Time) timeliness {
	endsAfter := now.Add(j.steps[index].criticalPath).Sub(j.localAcceptedAt)
	switch {
	case j.objective <= 0 || endsAfter <= j.objective:
		return onTime
	case endsAfter <= maxOverdueFactor*j.objective:
		return overdue
	}
	return obsolete
}

// needsFastWorkers reports whether a job could be late because of a slow worker.
func (j *job) needsFastWorkers(index int, now time.Time) bool {
	return j.objective > 0 && now.Add(fastWorkerFactor*j.steps[index].criticalPath).Sub(j.localAcceptedAt) > j.objective
}
