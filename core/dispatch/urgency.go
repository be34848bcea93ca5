package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// lateness says what a job can still reach.
type lateness uint8

const (
	onTime  lateness = iota // it can meet its objective
	late                    // it can still end within lateFactor times its objective
	tooLate                 // nobody waits for it any more
)

const (
	// lateFactor is by how much a job may exceed its objective and still be of
	// use: the platform's pages name three times.
	lateFactor = 3
	// hurriedFactor is for how many times its work a job must have time to be put
	// on slow workers: these take 1.3 times as long, and the estimate is rough.
	hurriedFactor = 2
	// adviceWorkers is the number of workers for which the platform adds a call
	// for advice to the work of each step.
	adviceWorkers = 30
)

// plannedWork is how long a step takes once it may begin.
func plannedWork(j *workload.Job, index int) time.Duration {
	work := j.Spec.Steps[index].Estimate
	if j.Queue.Advice != nil {
		work += adviceTime(j.Queue.Advice, adviceWorkers)
	}
	return work
}

// plan works out the objective of a job and the longest chain of work that
// begins with each step.
func (j *job) plan() {
	longest := time.Duration(0)
	for i := len(j.steps) - 1; i >= 0; i-- {
		// Steps depend on earlier ones only, so the chain of this one is whole.
		j.steps[i].chain += plannedWork(j.Job, i)
		for _, before := range j.Spec.Steps[i].DependsOn {
			j.steps[before].chain = max(j.steps[before].chain, j.steps[i].chain)
		}
		longest = max(longest, j.steps[i].chain)
	}
	j.objective = time.Duration(j.Queue.SlackFactor*float64(longest)) + j.Queue.TargetLatency
}

// lateness judges a job by what is left to do from a step on.
func (j *job) lateness(index int, now time.Time) lateness {
	ends := now.Add(j.steps[index].chain).Sub(j.since)
	switch {
	case j.objective <= 0 || ends <= j.objective:
		return onTime
	case ends <= lateFactor*j.objective:
		return late
	}
	return tooLate
}

// hurried reports whether a job could be late because of a slow worker.
func (j *job) hurried(index int, now time.Time) bool {
	return j.objective > 0 && now.Add(hurriedFactor*j.steps[index].chain).Sub(j.since) > j.objective
}
