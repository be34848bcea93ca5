package dispatch

import "github.com/godwitlink/godwitlink/core/workload"

// maxStepShare is the part of all workers' capacity, 1/maxStepShare, that a single step is assumed to get.
// The platform counts further rounds for a wider step.
const maxStepShare = 4

// waves returns in how many rounds the tasks of a step run one after the other because they are more than
// its team may run at a time, or than fit into the part of all workers that a step is assumed to get. The
// tasks of a gang run together.
func (c *Core) waves(j *workload.Job, index int) int {
	spec := &j.Spec.Steps[index]
	if spec.Gang {
		return 1
	}
	atOnce := spec.Tasks
	if j.Team != "" {
		atOnce = workload.SlotsWithinCap(c.state.TeamCap(j.Team), workload.Resources{}, spec.Size, atOnce)
	}
	// A dimension without capacity does not limit the step: no worker is known, or the step cannot run.
	total := c.state.ServiceCapacity(j.Queue.Service)
	part := workload.Resources{MilliCPU: total.MilliCPU / maxStepShare, MemoryMB: total.MemoryMB / maxStepShare, GPUs: total.GPUs / maxStepShare}
	atOnce = max(workload.SlotsWithinCap(part, workload.Resources{}, spec.Size, atOnce), 1)
	return (spec.Tasks + atOnce - 1) / atOnce
}
