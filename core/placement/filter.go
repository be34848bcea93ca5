package placement

import "github.com/godwitlink/godwitlink/core/cell"

// checkTeamLimits is the part of the filter phase that does not depend on a worker: it checks the
// quota of the team and its limit of urgent work for count tasks that would start together.
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

// visitFitting calls yield for the workers of a group that have size available, tightest fit first,
// until yield returns false.
func (g *workerGroup) visitFitting(size cell.Resources, yield func(*worker) bool) {
	g.index.visit(size, yield)
}
