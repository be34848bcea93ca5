package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// A start that was not answered may be carried out late. Until it is known to be refused, it is in
// doubt. A boot that has closed a run refuses every start of it. A later boot of the worker does
// not know about the closed run, and a start identifies its worker by the ID only, not by the boot.
// Therefore the fencing token of a worker increases with each boot that ends, and a task is not
// placed while a start of an earlier run may still reach a boot that has not answered a call with
// the current token, or while a run that it began there may still have a lease.

// inDoubtStart is the last start of a task that a worker may still carry out.
type inDoubtStart struct {
	worker     *worker
	run        workload.RunNumber
	token      uint64    // lowest token of the start; 0 if it is not known
	latestSend time.Time // upper bound of the time at which the start was sent
	// runsUntil is the latest time at which a run that the start begins may be active on a boot that
	// has not answered this leader, unless another call extends its lease (activeUntil).
	runsUntil time.Time
}

type inDoubtStarts map[workload.TaskID][]inDoubtStart

// recordInDoubtStart records a start, sent before now with the token or a higher one, that a worker may
// still carry out.
func (c *Core) recordInDoubtStart(w *worker, id workload.TaskID, number workload.RunNumber, token uint64) {
	c.addInDoubtStart(id, inDoubtStart{worker: w, run: number, token: token, latestSend: c.now}, c.inDoubtSpan(id.StepID()))
}

// ticketMargin covers the time from the grant of a ticket to its arrival at the leader, and the
// difference between the clocks that measure its validity.
const ticketMargin = time.Second

// inDoubtSpan returns the maximum time from the sending of an unanswered start to the end of a run on a
// boot that nobody has noticed. The boot counts the lease by its own clock, for which the requested end
// is far in the future, so it is as long as a worker accepts. A start that needs a ticket is refused once
// the ticket has expired.
func (c *Core) inDoubtSpan(id workload.StepID) time.Duration {
	return c.maxStartDelay(id) + c.slowClockDuration(c.opts.MaxLease)
}

// formerInDoubtSpan is inDoubtSpan for a start of an earlier leader, whose unanswered calls are not
// known. The wait covers what they extend only up to maxCallDelay: a longer one would leave accepted jobs
// idle at the end of the traffic.
func (c *Core) formerInDoubtSpan(id workload.StepID) time.Duration {
	return max(maxCallDelay, c.inDoubtSpan(id))
}

// maxStartDelay returns how long an unanswered start of a step may still be carried out. The adviser may
// grant tickets for longer than the queue said when the job was submitted.
func (c *Core) maxStartDelay(id workload.StepID) time.Duration {
	job := c.state.Job(id.Job)
	if job == nil || job.Queue.Advice == nil {
		return maxCallDelay
	}
	validity := job.Queue.Advice.TicketTTL
	if live := c.jobsByID[id.Job]; live != nil {
		validity = max(validity, live.steps[id.Step].maxTicketTTL)
	}
	return min(maxCallDelay, validity+ticketMargin)
}

// addInDoubtStart adds an in-doubt start whose run may be active until span after it was sent. It replaces
// an earlier start of the task on the same worker, which the worker may still carry out, too.
func (c *Core) addInDoubtStart(id workload.TaskID, start inDoubtStart, span time.Duration) {
	start.runsUntil = start.latestSend.Add(span)
	start.worker.inDoubtTasks[id] = true
	for i, known := range c.inDoubtStarts[id] {
		if known.worker.ID == start.worker.ID {
			start.token = min(start.token, known.token)
			if known.runsUntil.After(start.runsUntil) {
				start.runsUntil = known.runsUntil
			}
			c.inDoubtStarts[id][i] = start
			return
		}
	}
	c.inDoubtStarts[id] = append(c.inDoubtStarts[id], start)
}

// inDoubtStartOn returns the start of a task that a worker may still carry out, or that may have
// begun a run there.
func (c *Core) inDoubtStartOn(w *worker, id workload.TaskID) (inDoubtStart, bool) {
	for _, start := range c.inDoubtStarts[id] {
		if start.worker.ID == w.ID && c.mayBeActive(start) {
			return start, true
		}
	}
	return inDoubtStart{}, false
}

// removeInDoubtStart removes the start of a task after the worker can no longer carry it out.
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

// expireInDoubtStarts removes the starts whose runs have ended if they were carried out at all.
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

// mayStillStart reports whether a worker may still carry out an earlier start call for a run, or
// for a later run of the task.
func (c *Core) mayStillStart(w *worker, id workload.TaskID, number workload.RunNumber) bool {
	start, known := c.inDoubtStartOn(w, id)
	return known && start.run >= number
}

// recordStartsOfEndedBoot records the starts whose outcome is unknown when a boot ends.
func (c *Core) recordStartsOfEndedBoot(w *worker) {
	for id, r := range w.runs {
		switch {
		case r.startInFlight:
			c.recordInDoubtStart(w, id, r.number, r.firstToken)
		case r.openedThisTerm && r.confirmed && !r.listedByWorker && !r.confirmedAt.Before(w.answeredHoldSentAt):
			// The start was answered after the last hold that this boot has answered was sent, so a
			// later boot may have carried it out, whether or not that boot was noticed since.
			c.addInDoubtStart(id, inDoubtStart{worker: w, run: r.number, token: r.firstToken, latestSend: r.confirmedAt}, c.inDoubtSpan(id.StepID()))
		}
	}
}

// removeResolvedStarts removes the in-doubt starts that could no longer be carried out when the hold was
// sent that a worker has answered, and that have begun no run there according to the answer.
func (c *Core) removeResolvedStarts(w *worker) {
	for id := range w.inDoubtTasks {
		if r := w.runs[id]; r != nil && r.closedInState {
			continue
		}
		for _, start := range c.inDoubtStarts[id] {
			if start.worker == w && w.answeredHoldSentAt.After(start.latestSend.Add(c.maxStartDelay(id.StepID()))) {
				c.removeInDoubtStart(w, id)
				break
			}
		}
	}
}

// transferInDoubtStarts moves the in-doubt starts of a worker and its unanswered calls to its later boot.
func (c *Core) transferInDoubtStarts(former, later *worker) {
	later.inDoubtTasks, later.tokenCount, later.leaseCalls = former.inDoubtTasks, former.tokenCount, former.leaseCalls
	c.raiseToken(later)
	for id := range later.inDoubtTasks {
		for i := range c.inDoubtStarts[id] {
			if start := &c.inDoubtStarts[id][i]; start.worker == former {
				start.worker = later
			}
		}
	}
}

// tokenBits is the number of low bits of a token that increase under one leader, with the ended boots of a
// worker and with starts. The remaining bits are the leader's term.
const tokenBits = 20

// token returns the fencing token for calls to a worker.
func (c *Core) token(w *worker) uint64 { return c.opts.Term<<tokenBits | w.tokenCount }

// raiseToken increases the token at the end of a boot. Once the worker has answered a call with the new
// token, it rejects every call that was sent before.
func (c *Core) raiseToken(w *worker) {
	w.countEndedBoot()
	w.bootToken, w.tokenAccepted = c.token(w), false
}

func (w *worker) countEndedBoot() { w.tokenCount = min(w.tokenCount+1, 1<<tokenBits-1) }

// hasClosedRuns reports whether the worker has runs that are closed in the state and still have to
// end.
func (w *worker) hasClosedRuns() bool {
	for _, r := range w.runs {
		if r.closedInState {
			return true
		}
	}
	return false
}

// refusesStartsOf reports whether the current boot of a worker is known to refuse the starts of a
// task that has no run there.
func (w *worker) refusesStartsOf(id workload.TaskID) bool {
	r := w.runs[id]
	return w.tokenAccepted && !w.unresponsive && !w.bootEndProposed && !w.Gone && (r == nil || !r.closedInState)
}

// recoverInDoubtStarts records the starts that earlier leaders may have sent: those of open runs at
// any time before this term, those of closed runs before the runs were closed. The latest run of a
// task comes last, because it replaces an earlier one on the same worker.
func (c *Core) recoverInDoubtStarts() {
	for _, j := range c.liveJobs {
		for i := range j.Steps {
			step := &j.Steps[i]
			span := c.formerInDoubtSpan(j.StepID(i))
			addStart := func(index int, worker workload.WorkerID, run workload.RunNumber, latestSend time.Time) {
				if w := c.workers[worker]; w != nil && c.now.Before(latestSend.Add(span)) {
					c.addInDoubtStart(j.StepID(i).Task(index), inDoubtStart{worker: w, run: run, latestSend: latestSend}, span)
				}
			}
			c.state.ForEachClosedRun(step, func(r workload.ClosedRun, age time.Duration) {
				addStart(r.Index, r.Worker, r.Run, c.startedAt.Add(-age))
				if r.How != workload.EndLeaseExpired && r.How != workload.EndLost {
					// The boot had not ended when the run was closed, so the former leader may have
					// extended its lease until now.
					c.extendInDoubtStart(j.StepID(i).Task(r.Index), r.Worker, c.startedAt.Add(span))
				}
			})
			lastClosedAt := c.startedAt.Add(-c.state.SinceLastClosed(step))
			for k, task := range step.Tasks {
				latestSend := lastClosedAt
				if task.Open {
					latestSend = c.startedAt
				} else if _, _, listed := c.state.ClosedRun(j.StepID(i).Task(k), task.Worker, task.Run); listed {
					continue
				}
				addStart(k, task.Worker, task.Run, latestSend)
			}
		}
	}
}

// extendInDoubtStart extends the time for which the in-doubt start of a task on a worker is waited for.
func (c *Core) extendInDoubtStart(id workload.TaskID, worker workload.WorkerID, until time.Time) {
	for i := range c.inDoubtStarts[id] {
		if start := &c.inDoubtStarts[id][i]; start.worker.ID == worker {
			start.runsUntil = until
		}
	}
}

// removeStartsToFormerWorkers removes the in-doubt starts of workers that had the same address
// before. They name another worker, so the worker that has the address now rejects them.
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

// removeRun removes a run that has ended and is closed in the state.
func (c *Core) removeRun(w *worker, id workload.TaskID, r *run) {
	delete(w.runs, id)
	w.reserved = w.reserved.Sub(r.reservedSize)
	c.planNeeded = true
}

// blockingStart returns an in-doubt start because of which a task must not be placed yet.
func (c *Core) blockingStart(id workload.TaskID) (inDoubtStart, bool) {
	for _, start := range c.inDoubtStarts[id] {
		if !start.worker.refusesStartsOf(id) && c.mayBeActive(start) {
			return start, true
		}
	}
	return inDoubtStart{}, false
}

// placeableTasks returns the number of waiting tasks of a step that are neither blocked by in-doubt
// starts nor known to be done. For a gang with such a task it is 0. The job is woken when a blocking
// start expires.
func (c *Core) placeableTasks(r readyStep) int {
	s := &r.job.steps[r.index]
	if len(c.inDoubtStarts) == 0 && len(s.reportedDone) == 0 {
		return s.waitingTasks
	}
	blockedTasks, doneTasks := 0, 0
	var firstBlocking inDoubtStart
	for index, task := range r.job.Steps[r.index].Tasks {
		if task.State != workload.TaskPending || s.proposed[index] {
			continue
		}
		if s.reportedDone[index] {
			doneTasks++
			continue
		}
		start, blocked := c.blockingStart(r.job.StepID(r.index).Task(index))
		if !blocked {
			continue
		}
		c.scheduleJobWake(r.job, c.activeUntil(start))
		if blockedTasks == 0 {
			firstBlocking = start
		}
		blockedTasks++
	}
	c.updateInDoubtWait(r, s, blockedTasks, firstBlocking)
	if blockedTasks+doneTasks > 0 && r.job.Spec.Steps[r.index].Gang {
		return 0
	}
	return s.waitingTasks - blockedTasks - doneTasks
}

// updateInDoubtWait records whether a step waits for in-doubt starts and logs when it begins to.
func (c *Core) updateInDoubtWait(r readyStep, s *step, blockedTasks int, firstBlocking inDoubtStart) {
	if blockedTasks > 0 && !s.awaitsInDoubtStarts {
		c.recordDecision(Decision{
			Kind: DecisionTaskBlocked, Job: r.job.ID, Step: r.index, Run: firstBlocking.run, Worker: firstBlocking.worker.ID, Count: blockedTasks, Age: c.now.Sub(firstBlocking.latestSend),
		})
	}
	s.awaitsInDoubtStarts = blockedTasks > 0
}
