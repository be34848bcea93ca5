package dispatch

import "github.com/godwitlink/godwitlink/core/workload"

// teamReservations holds, by team, the total demand of the runs that are proposed but not committed yet.
// The state counts the open runs.
type teamReservations map[workload.TeamName]workload.Resources

func (t teamReservations) add(team workload.TeamName, demand workload.Resources) {
	if sum := t[team].Add(demand); sum != (workload.Resources{}) {
		t[team] = sum
	} else {
		delete(t, team)
	}
}

// teamSlots returns how many more tasks of a step its team may run at present.
func (c *Core) teamSlots(j *job, spec *workload.StepSpec) int {
	if j.Team == "" {
		return spec.Tasks
	}
	used := c.state.TeamUse(j.Team).Add(c.teamReservations[j.Team])
	return workload.SlotsWithinCap(c.state.TeamCap(j.Team), used, spec.Size, spec.Tasks)
}

// isBlockedByTeamCap reports whether the cap of a step's team leaves no room for any placement of the step.
func (c *Core) isBlockedByTeamCap(j *job, spec *workload.StepSpec) bool {
	slots := c.teamSlots(j, spec)
	return slots == 0 || spec.Gang && slots < spec.Tasks
}
