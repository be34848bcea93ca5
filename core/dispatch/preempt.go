package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/fairshare"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Work of a queue of higher priority may preempt runs that save their progress, of teams that use more than
// their share.
//
// It handles a cell that is full of long runs of a hot team while urgent work of other teams waits: without it,
// the urgent work waits for the end of a run. It is a last resort, because the worker needs time to stop the
// run and the task loses what it did since its last checkpoint.
const (
	// preemptDelay is how long a step must have waited for room. The ends of runs that are on their way to the
	// leader, and the room of a plan that is not committed yet, arrive within it.
	preemptDelay = 200 * time.Millisecond
	// preemptInterval is the time between two preemptions for a step, within which the room of the first one
	// is free: a worker takes some time to save the progress of a run.
	preemptInterval = time.Second
	// maxPreemptionsPerStep limits how many runs are preempted for a step at a time.
	maxPreemptionsPerStep = 4
	// maxPreemptPercent is the progress from which a run is not preempted, because it ends soon.
	maxPreemptPercent = 80
)

const stopReasonPreempted = "preempted"

// preempt stops runs for the most urgent steps that have waited for room. It follows the placements of a plan.
func (c *Core) preempt(steps []readyStep) {
	var above map[workload.TeamName]bool
	for _, r := range steps {
		if !c.mayPreempt(r) {
			continue
		}
		if above == nil {
			above = c.teamsAboveShare()
		}
		if len(above) == 0 {
			return
		}
		c.preemptFor(r, above)
	}
}

// teamsAboveShare returns the teams whose dominant share of all capacity exceeds their part of all weights.
func (c *Core) teamsAboveShare() map[workload.TeamName]bool {
	above := map[workload.TeamName]bool{}
	config := c.state.Config()
	if config == nil || len(config.Teams) == 0 {
		return above
	}
	total, weights := c.teamTotals(config)
	for _, team := range config.Teams {
		if c.state.TeamUse(team.Name).DominantShare(total) > fairshare.Ratio(max(team.Weight, 0), weights) {
			above[team.Name] = true
		}
	}
	return above
}

// mayPreempt reports whether runs may be stopped for a step now.
func (c *Core) mayPreempt(r readyStep) bool {
	s := &r.job.steps[r.index]
	if r.job.Team == "" || r.job.BeyondShare || r.timeliness == obsolete || r.spec().Gang || s.waitingTasks == 0 || s.blockedSince.IsZero() {
		return false
	}
	if due := s.blockedSince.Add(preemptDelay); c.now.Before(due) {
		c.scheduleJobWake(r.job, due)
		return false
	}
	return !c.now.Before(s.nextPreemptAt) && !c.isBlockedByTeamCap(r.job, r.spec())
}

// preemptFor stops runs whose room the waiting tasks of a step fit into. Each of them takes the place of one
// run, so that no run is stopped in vain.
func (c *Core) preemptFor(r readyStep, above map[workload.TeamName]bool) {
	s := &r.job.steps[r.index]
	limit := min(s.waitingTasks, maxPreemptionsPerStep, c.teamSlots(r.job, r.spec()))
	stopped := 0
	for _, cand := range c.candidates(r, s, r.spec(), false, true) {
		if stopped == limit {
			break
		}
		if c.preemptOn(cand.worker, r, above) {
			stopped++
		}
	}
	if stopped > 0 {
		s.nextPreemptAt = c.now.Add(preemptInterval)
		c.scheduleJobWake(r.job, s.nextPreemptAt)
	}
}

// victim is a run that may be preempted.
type victim struct {
	id   workload.TaskID
	run  *run
	size int64 // in thousandths of a core
}

// preemptOn stops the smallest run on a worker that leaves room for a task of a step, and reports whether
// there was one.
func (c *Core) preemptOn(w *worker, r readyStep, above map[workload.TeamName]bool) bool {
	var victims []victim
	for id, run := range w.runs {
		job := c.jobsByID[id.Job]
		if job == nil || !above[job.Team] || job.Queue.Priority <= r.job.Queue.Priority || !mayBePreempted(run, &job.steps[id.Step], &job.Spec.Steps[id.Step]) {
			continue
		}
		size := job.Spec.Steps[id.Step].Size
		if r.spec().Size.Fits(w.freeInPlan.Add(size)) {
			victims = append(victims, victim{id, run, size.MilliCPU})
		}
	}
	if len(victims) == 0 {
		return false
	}
	v := slices.MinFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.size, b.size), workload.CompareTaskIDs(a.id, b.id))
	})
	c.jobsByID[v.id.Job].steps[v.id.Step].preempted = true
	c.requestStop(w, v.run, stopReasonPreempted)
	return true
}

// mayBePreempted reports whether a run can be stopped for another one. A step is preempted once: it has been
// put off already, and would otherwise give way to every urgent step that follows. Gangs are not, because all
// of their runs would end for the room of one.
func mayBePreempted(r *run, s *step, spec *workload.StepSpec) bool {
	return spec.Checkpoints && !spec.Gang && !s.preempted && r.confirmed && r.listedByWorker && !r.callInFlight && !r.stopRequested &&
		!r.endProposed && !r.closedInState && r.latestReport.percent < maxPreemptPercent
}
