package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// RunTime compares the run time of a task with what was predicted when it ended, both on a worker of the
// usual speed.
type RunTime struct {
	Queue               string
	Predicted, Measured time.Duration
}

// LateCause says why a job missed its objective.
type LateCause string

// The causes of late jobs, the first that applies.
const (
	LateRestarted LateCause = "restarted" // a run of a task was closed without success
	LateLongRun   LateCause = "long-run"  // tasks took so much longer than their siblings that the job would have been on time otherwise
	LateWaited    LateCause = "waited"    // its tasks waited for workers
)

// LateJob is a job that was completed after its objective.
type LateJob struct {
	Queue string
	Cause LateCause
}

// recordRunTime passes a measured run time on to the metrics.
func (c *Core) recordRunTime(j *job, predicted, measured time.Duration) {
	c.pendingEffects.RunTimes = append(c.pendingEffects.RunTimes, RunTime{Queue: j.Queue.Name, Predicted: predicted, Measured: measured})
}

// recordLateJob passes a completed job on to the metrics if it is late.
func (c *Core) recordLateJob(j *job) {
	late := c.now.Sub(j.localAcceptedAt) - j.objective
	if j.State != workload.JobCompleted || j.objective <= 0 || late <= 0 {
		return
	}
	c.pendingEffects.LateJobs = append(c.pendingEffects.LateJobs, LateJob{Queue: j.Queue.Name, Cause: j.lateCause(late)})
}

func (j *job) lateCause(late time.Duration) LateCause {
	excess := time.Duration(0)
	for i := range j.steps {
		for _, task := range j.Steps[i].Tasks {
			if task.Run > 1 {
				return LateRestarted
			}
		}
		excess += max(j.steps[i].longest-j.steps[i].expected, 0)
	}
	if excess >= late {
		return LateLongRun
	}
	return LateWaited
}

// recordGivenUpRun logs a run that is given up for its predicted end: how long it would still have taken,
// 0 if that is not known, and what is expected of a run of its step.
func (c *Core) recordGivenUpRun(w *worker, id workload.TaskID, r *run, reason string, remaining time.Duration) {
	d := Decision{Kind: DecisionRunGivenUp, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: reason, Remaining: remaining}
	if j := c.jobsByID[id.Job]; j != nil {
		d.Expected = j.steps[id.Step].expected
	}
	c.recordDecision(d)
}
