package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Reserved returns the resources reserved on each worker in addition to its open runs.
func (c *Core) Reserved() map[workload.WorkerID]workload.Resources {
	all := map[workload.WorkerID]workload.Resources{}
	for id, w := range c.workers {
		if w.reserved != (workload.Resources{}) {
			all[id] = w.reserved
		}
	}
	return all
}

// Objective returns the objective of a live job.
func (c *Core) Objective(id workload.JobID) time.Duration { return c.jobsByID[id].objective }

// StateSnapshot returns a snapshot of the state.
func (c *Core) StateSnapshot() workload.Snapshot { return c.state.Snapshot() }
