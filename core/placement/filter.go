package placement

import "github.com/godwitlink/godwitlink/core/cell"

// checkTeamLimits is the filter phase for what does not depend on a worker: the team's
// quota and its limit of urgent work. count is the number of tasks that would
// start together.
func (c *taskClass) checkTeamLimits(count int) Reason {
	t := c.team
	size := c.key.size.Scale(int64(count))
	if !t.usage.Add(size).Fits(t.quota) {
		return ReasonQuota
	}
	if c.urgent() && t.urgentUsage+size.MilliCPU > t.urgentLimit {
		return ReasonUrgentLimit
	}
	return ReasonNone
}

// visitFitting calls yield for the workers of a group that can hold size now, with
// the tightest first; the index leaves out what cannot.
func (g *group) visitFitting(size cell.Resources, yield func(*worker) bool) {
	g.index.visit(size, yield)
}
