package workload

// The platform computes the objective of a job from its longest chain of work, in which it counts these.
const (
	// MaxLateness is the multiple of its objective within which the end of a job is still of use.
	MaxLateness = 3
	// ObjectiveAdviceWorkers is the number of workers in the advice call that is counted for each step.
	ObjectiveAdviceWorkers = 30
	// maxStepShare is the part of all workers' capacity, 1/maxStepShare, that a single step is assumed to
	// get. Further rounds are counted for a wider step.
	maxStepShare = 4
)

// Rounds returns in how many rounds the tasks of a step run one after the other because they are more than
// its team may run at a time, or than fit into the part of all workers that a step is assumed to get. The
// tasks of a gang run together. A dimension without capacity or cap does not limit the step.
func (spec *StepSpec) Rounds(capacity, teamCap Resources) int {
	if spec.Gang || spec.Tasks <= 1 {
		return 1
	}
	atOnce := SlotsWithinCap(teamCap, Resources{}, spec.Size, spec.Tasks)
	part := Resources{MilliCPU: capacity.MilliCPU / maxStepShare, MemoryMB: capacity.MemoryMB / maxStepShare, GPUs: capacity.GPUs / maxStepShare}
	atOnce = max(SlotsWithinCap(part, Resources{}, spec.Size, atOnce), 1)
	return (spec.Tasks + atOnce - 1) / atOnce
}
