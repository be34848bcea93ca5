package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/fairshare"
	"github.com/godwitlink/godwitlink/core/workload"
)

// TeamLoad is what a team of the configuration uses and waits for.
type TeamLoad struct {
	Team       workload.TeamName
	Used       workload.Resources // demand of the open runs
	Cap        workload.Resources // 0 means no limit
	Share      float64            // dominant share of all capacity that is used
	Guaranteed float64            // part of the sum of all weights
	// WaitingTasks are tasks that could start if there were room. WaitingBeyondShare are those among them
	// whose jobs are beyond the team's share.
	WaitingTasks, WaitingBeyondShare int
	LongestWait                      time.Duration // age of the oldest job with such a task
	AtCap                            bool          // a task waits only because of the cap
}

// TeamLoads returns the load of each team in the order of the configuration.
func (c *Core) TeamLoads() []TeamLoad {
	config := c.state.Config()
	if config == nil || len(config.Teams) == 0 {
		return nil
	}
	total, weights := c.teamTotals(config)
	loads := make([]TeamLoad, len(config.Teams))
	byName := make(map[workload.TeamName]*TeamLoad, len(loads))
	for i, team := range config.Teams {
		used := c.state.TeamUse(team.Name)
		loads[i] = TeamLoad{
			Team: team.Name, Used: used, Cap: team.Cap, Share: used.DominantShare(total),
			Guaranteed: fairshare.Ratio(max(team.Weight, 0), weights),
		}
		byName[team.Name] = &loads[i]
	}
	for _, j := range c.liveJobs {
		if load := byName[j.Team]; load != nil {
			c.addWaiting(load, j)
		}
	}
	return loads
}

// teamTotals returns the capacity of all workers and the sum of all weights.
func (c *Core) teamTotals(config *workload.Config) (total workload.Resources, weights float64) {
	for _, w := range c.sortedWorkers {
		if !w.Gone {
			total = total.Add(w.Capacity)
		}
	}
	for _, team := range config.Teams {
		weights += max(team.Weight, 0)
	}
	return total, weights
}

// addWaiting adds the waiting tasks of a job to the load of its team.
func (c *Core) addWaiting(load *TeamLoad, j *job) {
	for i := range j.steps {
		waiting := j.steps[i].waitingTasks
		if waiting == 0 || !j.DependenciesDone(i) {
			continue
		}
		load.WaitingTasks += waiting
		if j.BeyondShare {
			load.WaitingBeyondShare += waiting
		}
		load.LongestWait = max(load.LongestWait, c.now.Sub(j.localAcceptedAt))
		load.AtCap = load.AtCap || c.isBlockedByTeamCap(j, &j.Spec.Steps[i])
	}
}

// configured logs what is probably wrong with the teams if a command has replaced the former configuration.
func (c *Core) configured(former *workload.Config, at time.Time) {
	if c.state.Config() == former {
		return
	}
	for _, warning := range c.state.TeamWarnings(at) {
		c.recordDecision(Decision{Kind: DecisionTeamWarning, Team: warning.Team, Reason: string(warning.Kind)})
	}
}
