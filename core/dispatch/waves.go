package dispatch

import "github.com/godwitlink/godwitlink/core/workload"

// waves returns in how many rounds the tasks of a step run.
func (c *Core) waves(j *workload.Job, index int) int {
	return j.Spec.Steps[index].Rounds(c.state.ServiceCapacity(j.Queue.Service), c.state.TeamCap(j.Team))
}
