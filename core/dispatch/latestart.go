package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// A boot that has closed a run refuses every start of it. A later boot of the
// worker knows nothing of that, and a start names its worker only by the id. So
// the fencing token of a worker rises with each end of a boot, and a task is not
// placed while a start of an earlier run may still reach a boot that has not
// answered a call with the present token.

// inDoubtStart is the last start of a task that a worker may still carry out.
type inDoubtStart struct {
	worker     *worker
	run        workload.RunNumber
	latestSend time.Time // it was not sent later
}

// inDoubtStarts are the starts that may still be carried out.
type inDoubtStarts map[workload.TaskID][]inDoubtStart

// recordInDoubtStart remembers that a worker may still carry out a start of this leader,
// which has been sent by now.
func (c *Core) recordInDoubtStart(w *worker, id workload.TaskID, number workload.RunNumber) {
	c.addInDoubtStart(id, inDoubtStart{worker: w, run: number, latestSend: c.now})
}

// addInDoubtStart takes the place of an earlier start of the task on the same worker.
func (c *Core) addInDoubtStart(id workload.TaskID, start inDoubtStart) {
	start.worker.inDoubtTasks[id] = true
	for i, known := range c.inDoubtStarts[id] {
		if known.worker.ID == start.worker.ID {
			c.inDoubtStarts[id][i] = start
			return
		}
	}
	c.inDoubtStarts[id] = append(c.inDoubtStarts[id], start)
}

// inDoubtStartOn returns the start of a task that a worker may still carry out.
func (c *Core) inDoubtStartOn(w *worker, id workload.TaskID) (inDoubtStart, bool) {
	for _, start := range c.inDoubtStarts[id] {
		if start.worker.ID == w.ID && c.now.Sub(start.latestSend) < maxCallDelay {
			return start, true
		}
	}
	return inDoubtStart{}, false
}

// removeInDoubtStart drops the start of a task that a worker can no longer carry out.
func (c *Core) removeInDoubtStart(w *worker, id workload.TaskID) {
	delete(w.inDoubtTasks, id)
	kept := slices.DeleteFunc(c.inDoubtStarts[id], func(start inDoubtStart) bool { return start.worker.ID == w.ID })
	if len(kept) > 0 {
		c.inDoubtStarts[id] = kept
	} else {
		delete(c.inDoubtStarts, id)
	}
	c.planNeeded = true
}

// expireInDoubtStarts drops the starts that can no longer come.
func (c *Core) expireInDoubtStarts() {
	if len(c.inDoubtStarts) == 0 || c.now.Before(c.nextInDoubtExpiry) {
		return
	}
	c.nextInDoubtExpiry = c.now.Add(inDoubtExpiryInterval)
	for _, w := range c.sortedWorkers {
		for id := range w.inDoubtTasks {
			if _, known := c.inDoubtStartOn(w, id); !known {
				c.removeInDoubtStart(w, id)
			}
		}
	}
}

// mayStillStart reports whether a worker may still carry out an earlier start of a run.
func (c *Core) mayStillStart(w *worker, id workload.TaskID, number workload.RunNumber) bool {
	start, known := c.inDoubtStartOn(w, id)
	return known && start.run >= number
}

// recordStartsOfEndedBoot notes the starts whose outcome at an ended boot is not known.
func (c *Core) recordStartsOfEndedBoot(w *worker) {
	for id, r := range w.runs {
		switch {
		case r.startInFlight:
			c.recordInDoubtStart(w, id, r.number)
		case w.laterBootSeen && r.openedThisTerm && r.confirmed && !r.listedByWorker && !r.confirmedAt.Before(w.answeredHoldSentAt):
			// The later boot may have taken it, as it was answered after the last
			// proof that the former one was there.
			c.recordInDoubtStart(w, id, r.number)
		}
	}
}

// transferInDoubtStarts makes the late starts of a worker those of its later boot.
func (c *Core) transferInDoubtStarts(former, fresh *worker) {
	fresh.inDoubtTasks, fresh.endedBoots = former.inDoubtTasks, former.endedBoots
	fresh.raiseToken()
	for id := range fresh.inDoubtTasks {
		for i := range c.inDoubtStarts[id] {
			if start := &c.inDoubtStarts[id][i]; start.worker == former {
				start.worker = fresh
			}
		}
	}
}

// tokenBits are the low bits of a token, which count the ends of boots of a worker
// under one leader. The others are the leader's term.
const tokenBits = 20

// token is the fencing token of the calls to a worker.
func (c *Core) token(w *worker) uint64 { return c.opts.Token<<tokenBits | w.endedBoots }

// raiseToken makes the worker reject every call that was sent before, once it
// has answered one with the new token.
func (w *worker) raiseToken() {
	w.endedBoots = min(w.endedBoots+1, 1<<tokenBits-1)
	w.tokenAccepted = false
}

// hasClosedRuns reports whether a worker is told to end runs that the state has closed.
func (w *worker) hasClosedRuns() bool {
	for _, r := range w.runs {
		if r.closedInState {
			return true
		}
	}
	return false
}

// refusesStartsOf reports whether the present boot of a worker surely refuses the starts
// of a task that has no run there.
func (w *worker) refusesStartsOf(id workload.TaskID) bool {
	r := w.runs[id]
	return w.tokenAccepted && !w.unresponsive && !w.bootEndProposed && !w.Gone && (r == nil || !r.closedInState)
}

// recoverInDoubtStarts takes over what earlier leaders may have sent: the starts of open
// runs, before this one began, and those of closed ones, before they were closed.
func (c *Core) recoverInDoubtStarts() {
	for _, j := range c.liveJobs {
		for i := range j.Steps {
			closedAt := c.startedAt.Add(-c.state.ClosedFor(&j.Steps[i]))
			for k, task := range j.Steps[i].Tasks {
				w, at := c.workers[task.Worker], closedAt
				if task.Open {
					at = c.startedAt
				}
				if w != nil && c.now.Sub(at) < maxCallDelay {
					c.addInDoubtStart(workload.TaskID{Job: j.ID, Step: i, Index: k}, inDoubtStart{worker: w, run: task.Run, latestSend: at})
				}
			}
		}
	}
}

// removeStartsToFormerWorkers takes a worker as the only one at its address: what is still on its
// way there names another worker, and is rejected.
func (c *Core) removeStartsToFormerWorkers(w *worker) {
	for _, former := range c.sortedWorkers {
		if former != w && former.Address == w.Address {
			c.removeInDoubtStartsOn(former)
		}
	}
}

func (c *Core) removeInDoubtStartsOn(w *worker) {
	for id := range w.inDoubtTasks {
		c.removeInDoubtStart(w, id)
	}
}

// removeRun forgets a run that the state has closed and that has ended.
func (c *Core) removeRun(w *worker, id workload.TaskID, r *run) {
	delete(w.runs, id)
	w.reserved = w.reserved.Sub(r.reservedSize)
	c.planNeeded = true
}

// blockingStart reports whether a task must not be placed yet, and which start it
// waits for.
func (c *Core) blockingStart(id workload.TaskID) (inDoubtStart, bool) {
	for _, start := range c.inDoubtStarts[id] {
		if c.now.Sub(start.latestSend) < maxCallDelay && !start.worker.refusesStartsOf(id) {
			return start, true
		}
	}
	return inDoubtStart{}, false
}

// placeableTasks is the number of tasks of a step that wait and are under no embargo;
// of a gang all or none. The job is woken when an embargo ends by itself.
func (c *Core) placeableTasks(r readyStep) int {
	s := &r.job.steps[r.index]
	if len(c.inDoubtStarts) == 0 {
		return s.waitingTasks
	}
	blockedTasks := 0
	var firstBlocking inDoubtStart
	for index, task := range r.job.Steps[r.index].Tasks {
		if task.State != workload.TaskPending || s.proposed[index] {
			continue
		}
		start, blocked := c.blockingStart(workload.TaskID{Job: r.job.ID, Step: r.index, Index: index})
		if !blocked {
			continue
		}
		c.scheduleJobWake(r.job, start.latestSend.Add(maxCallDelay))
		if blockedTasks == 0 {
			firstBlocking = start
		}
		blockedTasks++
	}
	c.updateInDoubtWait(r, s, blockedTasks, firstBlocking)
	if blockedTasks > 0 && r.job.Spec.Steps[r.index].Gang {
		return 0
	}
	return s.waitingTasks - blockedTasks
}

// updateInDoubtWait logs a step that begins to wait for late starts.
func (c *Core) updateInDoubtWait(r readyStep, s *step, blockedTasks int, firstBlocking inDoubtStart) {
	if blockedTasks > 0 && !s.awaitsInDoubtStarts {
		c.recordDecision(Decision{
			Kind: DecisionEmbargo, Job: r.job.ID, Step: r.index, Run: firstBlocking.run, Worker: firstBlocking.worker.ID, Count: blockedTasks, Age: c.now.Sub(firstBlocking.latestSend),
		})
	}
	s.awaitsInDoubtStarts = blockedTasks > 0
}
