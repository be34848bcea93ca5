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
	used := c.state.TeamUse(j.Team).Add(c.teamReservations[j.Team]).Add(c.teamsInDoubt[j.Team])
	return workload.SlotsWithinCap(c.state.TeamCap(j.Team), used, spec.Size, spec.Tasks)
}

// isBlockedByTeamCap reports whether the cap of a step's team leaves no room for any placement of the step.
func (c *Core) isBlockedByTeamCap(j *job, spec *workload.StepSpec) bool {
	slots := c.teamSlots(j, spec)
	return slots == 0 || spec.Gang && slots < spec.Tasks
}

// stopReasonTeamCap is the reason for stopping a run whose start got no answer when its team's cap was cut.
const stopReasonTeamCap = "team-cap"

// exceedsTeamCap reports whether the open runs of a job's team exceed its cap, because it was cut. Runs that
// have begun go on, but no start is sent that would add to them.
func (c *Core) exceedsTeamCap(j *workload.Job) bool {
	return j.Team != "" && !c.state.TeamUse(j.Team).WithinCap(c.state.TeamCap(j.Team))
}

// updateTeamsInDoubt determines, by team, the demand of runs that the state has closed and that may be active
// all the same: a boot that the leader had not noticed may have carried out a start for its former boot, and
// its registration closes that run. A start does not count any more once its worker is known to refuse it.
func (c *Core) updateTeamsInDoubt() {
	clear(c.teamsInDoubt)
	if config := c.state.Config(); config == nil || len(config.Teams) == 0 {
		return
	}
	for id, starts := range c.inDoubtStarts {
		for _, start := range starts {
			if start.worker.refusesStartsOf(id) || !c.mayBeActive(start) {
				continue
			}
			job, task := c.state.Job(id.Job), c.state.Task(id)
			counted := task != nil && task.Open && task.Worker == start.worker.ID
			if job != nil && job.Team != "" && !counted {
				c.teamsInDoubt[job.Team] = c.teamsInDoubt[job.Team].Add(job.Spec.Steps[id.Step].Size)
			}
		}
	}
}
