package dispatcher

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// teamLoadInterval is the minimum time between two publications of the loads of the teams, each of which
// inspects all jobs.
const teamLoadInterval = time.Second

// Log events of teams.
var (
	eventTeamAtCap   = eventlog.Declare(4061, zapcore.InfoLevel, "steps of a team wait for its cap")
	eventTeamOffCap  = eventlog.Declare(4062, zapcore.InfoLevel, "no step of a team waits for its cap any more")
	metricTeamUsed   = metrics.Declare("team_used", metrics.KindGauge, "demand of the open runs of a team, by resource (at the leader)")
	metricTeamCap    = metrics.Declare("team_cap", metrics.KindGauge, "limit of the open runs of a team, by resource; 0 means none (at the leader)")
	metricTeamShare  = metrics.Declare("team_share", metrics.KindGauge, "part of the cell that a team uses, and part of all weights (at the leader)")
	metricTeamWaits  = metrics.Declare("team_waiting_tasks", metrics.KindGauge, "tasks of a team that wait for room, within and beyond its share (at the leader)")
	metricTeamOldest = metrics.Declare("team_longest_wait_seconds", metrics.KindGauge, "age of the oldest job of a team with a task that waits for room (at the leader)")
)

// teamLoads is what was last published of the loads of the teams.
type teamLoads struct {
	nextAt time.Time
	atCap  map[workload.TeamName]bool // by published team
}

// recordTeams publishes the loads of the teams if that is due.
func (l *eventLoop) recordTeams(now time.Time) {
	if now.Before(l.teams.nextAt) {
		return
	}
	l.teams.nextAt = now.Add(teamLoadInterval)
	l.publishTeams(l.term.core.TeamLoads())
}

// publishTeams publishes loads, and zeros for the teams that are no longer listed.
func (l *eventLoop) publishTeams(loads []dispatch.TeamLoad) {
	published := map[workload.TeamName]bool{}
	for _, load := range loads {
		published[load.Team] = load.AtCap
		l.publishTeam(load)
		l.logTeamAtCap(load)
	}
	for team := range l.teams.atCap {
		if _, listed := published[team]; !listed {
			l.publishTeam(dispatch.TeamLoad{Team: team})
		}
	}
	l.teams.atCap = published
}

func (l *eventLoop) publishTeam(load dispatch.TeamLoad) {
	set := func(m metrics.Metric, reason string, value float64) {
		l.opts.Metrics.SetGaugeForTeam(m, string(load.Team), reason, value)
	}
	for m, r := range map[metrics.Metric]workload.Resources{metricTeamUsed: load.Used, metricTeamCap: load.Cap} {
		set(m, "cpu_millicores", float64(r.MilliCPU))
		set(m, "memory_mb", float64(r.MemoryMB))
		set(m, "gpus", float64(r.GPUs))
	}
	set(metricTeamShare, "used", load.Share)
	set(metricTeamShare, "guaranteed", load.Guaranteed)
	set(metricTeamWaits, "within-share", float64(load.WaitingTasks-load.WaitingBeyondShare))
	set(metricTeamWaits, "beyond-share", float64(load.WaitingBeyondShare))
	set(metricTeamOldest, "waiting", load.LongestWait.Seconds())
}

// logTeamAtCap logs when the cap of a team begins or ceases to hold back steps.
func (l *eventLoop) logTeamAtCap(load dispatch.TeamLoad) {
	if load.AtCap == l.teams.atCap[load.Team] {
		return
	}
	event := eventTeamOffCap
	if load.AtCap {
		event = eventTeamAtCap
	}
	l.opts.Logger.Log(event, zap.String("team", string(load.Team)), zap.Any("used", load.Used), zap.Any("cap", load.Cap), zap.Int("waiting", load.WaitingTasks))
}
