package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Course of TestHotTeamDelaysNoOtherTeam. The teams usually send nine tenths of what they are guaranteed,
// which fills three quarters of the cell.
const (
	hotTeams = 20
	hotBegin = 10 * time.Second
	hotEnd   = hotBegin + 6*time.Second
	hotTeam  = 14
	// hotTeamWeight makes the sum of all weights 66 jobs a second, of 80 that the workers end with the delays
	// of calls and commits.
	hotTeamWeight = 14
	lastHotTime   = hotEnd + 10*time.Second
	usualShare    = 0.9
	// hotQueueLatency and hotQueueSlack give a job 2.4 s more than it runs.
	hotQueueLatency = 400 * time.Millisecond
	hotQueueSlack   = 1.5
)

// hotWeights are the weights of the other teams in turn. The hot team has hotTeamWeight.
var hotWeights = []float64{2, 2, 3, 3, 4}

// hotJob is what the caller of a job has got.
type hotJob struct {
	team    int
	sentAt  time.Duration
	refusal workload.Refusal
	retry   time.Duration
	endedAt time.Duration // zero if it has not ended
	beyond  bool
}

// hotCell is a cell in which teams send jobs.
type hotCell struct {
	*overloadedCell
	all    map[workload.JobID]*hotJob
	factor float64       // of the usual rate of hotTeam while it is hot
	sent   [hotTeams]int // jobs, by team
	times  []*rand.Rand  // by team, so that the others send the same jobs whatever the hot team does
}

func newHotCell(t *testing.T, seed uint64, factor float64) *hotCell {
	c := &hotCell{overloadedCell: newOverloadedCell(), all: map[workload.JobID]*hotJob{}, factor: factor}
	config := &workload.Config{Version: 3, KeysRequired: true, Queues: []workload.Queue{{
		Name: "teams", Service: "shop", MaxAttempts: 5, SlackFactor: hotQueueSlack, TargetLatency: hotQueueLatency,
	}}}
	for i := range hotTeams {
		config.Teams = append(config.Teams, workload.Team{Name: hotTeamName(i), Weight: hotWeight(i)})
	}
	c.apply(workload.Command{Configure: config})
	for _, w := range c.workers {
		w.validTicket = nil // the queue has no adviser
		ended := w.onEnd
		w.onEnd = func(end dispatch.ListedEnd) {
			ended(end)
			if job := c.all[end.Task.Job]; end.Result == workload.EndDone && job.endedAt == 0 {
				job.endedAt = c.now
			}
		}
	}
	c.elect(t)
	for i := range hotTeams {
		c.times = append(c.times, rand.New(rand.NewPCG(seed, uint64(i))))
		c.after(time.Second, func() { c.sendJobs(i) })
	}
	return c
}

func hotWeight(team int) float64 {
	if team == hotTeam {
		return hotTeamWeight
	}
	return hotWeights[team%len(hotWeights)]
}

func hotTeamName(i int) workload.TeamName { return workload.TeamName(fmt.Sprintf("team-%02d", i)) }

// sendJobs submits jobs of a team at random times until lastHotTime.
func (c *hotCell) sendJobs(team int) {
	if c.now > lastHotTime {
		return
	}
	rate := hotWeight(team) * usualShare
	if team == hotTeam && c.now >= hotBegin && c.now < hotEnd {
		rate *= c.factor
	}
	c.after(time.Duration(c.times[team].ExpFloat64()/rate*float64(time.Second)), func() {
		c.submitOf(team)
		c.sendJobs(team)
	})
}

func (c *hotCell) submitOf(team int) {
	c.sent[team]++
	id := workload.JobID(fmt.Sprint(hotTeamName(team), "-", c.sent[team]))
	command := submitJobTo("teams", id, workload.StepSpec{Tasks: 1, Size: oneCore, Estimate: overloadRunTime})
	command.Submit.Team = hotTeamName(team)
	at, retained := c.time(), c.now
	result := c.committed.Apply(at, retained, command)
	job := &hotJob{team: team, sentAt: c.now, refusal: result.Refusal, retry: result.RetryAfter}
	if accepted := c.committed.Job(id); accepted != nil {
		job.beyond = accepted.BeyondShare
	}
	c.all[id] = job
	c.send(leaderEvent{commandCost, c.term, func(now time.Time) { c.core.Apply(now, at, retained, command) }})
}

// inTime reports whether a job ended within its objective.
func (j *hotJob) inTime() bool {
	objective := time.Duration(hotQueueSlack*float64(overloadRunTime)) + hotQueueLatency
	return j.endedAt > 0 && j.endedAt-j.sentAt <= objective
}

// outcome counts what the callers of some jobs have got.
type outcomeCount struct{ sent, inTime, late, refused, beyond int }

func (o outcomeCount) add(j *hotJob) outcomeCount {
	o.sent++
	switch {
	case j.refusal != workload.RefusalNone:
		o.refused++
	case j.inTime():
		o.inTime++
	default:
		o.late++
	}
	if j.beyond {
		o.beyond++
	}
	return o
}

// Guards against a team that sends several times its usual rate and delays the jobs of the other teams, or
// has them refused, while the cell is full; against jobs beyond its share that are accepted without bound;
// and against refusals of what the team is guaranteed.
func TestHotTeamDelaysNoOtherTeam(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		usual := runHotCell(t, seed, 1)
		for _, factor := range []float64{4, 7.5} {
			hot := runHotCell(t, seed, factor)
			t.Logf("seed %d, %v times: %s", seed, factor, hot.summary())
			hot.check(t, usual)
		}
	}
}

func runHotCell(t *testing.T, seed uint64, factor float64) *hotCell {
	c := newHotCell(t, seed, factor)
	c.runUntil(lastHotTime + 10*time.Second)
	return c
}

// summary counts what the callers have got.
func (c *hotCell) summary() string {
	var others, within, beyond outcomeCount
	for _, job := range c.all {
		switch {
		case job.team != hotTeam:
			others = others.add(job)
		case job.beyond || job.refusal != workload.RefusalNone:
			beyond = beyond.add(job)
		default:
			within = within.add(job)
		}
	}
	return fmt.Sprintf("others %+v, hot team within its share %+v, beyond it %+v", others, within, beyond)
}

// check compares what the callers have got with a run in which the team was not hot.
func (c *hotCell) check(t *testing.T, usual *hotCell) {
	t.Helper()
	accepted, late, refused, served := 0, 0, 0, 0
	for id, job := range c.all {
		expected := usual.all[id]
		if job.team == hotTeam && job.sentAt >= hotBegin && job.sentAt < hotEnd && job.inTime() {
			served++
		}
		switch {
		case job.refusal != workload.RefusalNone:
			refused++
			if job.refusal != workload.RefusalNoRoomBeyondShare || job.retry < time.Second {
				t.Errorf("%s is refused with %q and %v", id, job.refusal, job.retry)
			}
		case job.team != hotTeam && !job.beyond && !job.inTime() && expected.inTime():
			t.Errorf("%s, which is within the share of its team, takes %v", id, job.endedAt-job.sentAt)
		case job.beyond && job.team == hotTeam:
			accepted++
			if !job.inTime() {
				late++
			}
		}
		if job.team != hotTeam && expected.refusal == workload.RefusalNone && !expected.beyond && job.refusal != workload.RefusalNone {
			t.Errorf("%s of another team is refused because of the hot team", id)
		}
	}
	// The hot team is guaranteed its weight in jobs a second, not that they are the jobs marked as such: its
	// jobs within the share wait while its other jobs use what it is due.
	if guaranteed := hotTeamWeight * int((hotEnd-hotBegin)/time.Second); served < guaranteed {
		t.Errorf("%d jobs of the hot team end in time, %d are guaranteed", served, guaranteed)
	}
	// Of what is accepted, at least the part of a day that is to be served ends in time.
	if accepted == 0 || refused == 0 || (accepted-late)*100 < accepted*servedPercent {
		t.Errorf("%d jobs beyond the share are accepted, of which %d end late, and %d are refused", accepted, late, refused)
	}
}
