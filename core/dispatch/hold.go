package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// workerAnswered processes the part that all answers of workers have in common. It returns the
// worker, or nil if the call was addressed to another boot. clock is the worker's clock in ms, or 0
// if the answer does not contain it.
func (c *Core) workerAnswered(now time.Time, call Call, clock int64) *worker {
	c.advanceClock(now)
	w := c.workers[call.Worker]
	if w == nil || w.Boot != call.Boot {
		return nil
	}
	c.scheduleWake(w, c.now)
	if clock > 0 {
		c.updateClock(w, clock)
	}
	return w
}

// HoldAnswered processes the answer to a Hold.
func (c *Core) HoldAnswered(now time.Time, call Call, report HoldReport) {
	w := c.workerAnswered(now, call, 0)
	if w == nil {
		return
	}
	w.holdInFlight = false
	c.endFirstHold(w)
	switch {
	case report.Outcome != OutcomeOK:
	case report.Boot > w.Boot:
		report.Outcome = OutcomeLaterBoot
	case report.Boot != 0 && report.Boot < w.Boot:
		// This is another boot, although its start time is lower: the time of day may have been set back.
		report.Outcome = OutcomeNoAnswer
	}
	c.holdEnded(w, call, report.Outcome)
	switch report.Outcome {
	case OutcomeNoSocket:
		c.recordSocketShortage()
		c.repeatUnsentHold(w)
		return
	case OutcomeNotPermitted:
		c.repeatUnsentHold(w)
		return
	}
	if report.Outcome != OutcomeOK {
		c.holdFailed(w, call, report.Outcome)
		if report.Outcome == OutcomeLaterBoot {
			c.laterBootAnswered(w, call, report.Boot)
		}
		return
	}
	if report.Boot == w.Boot && !w.holdSentAt.Before(w.clockReadAt) && report.Clock < c.minWorkerClockAt(w, w.holdSentAt) {
		// The worker's clock stood still, for example while its machine was suspended.
		w.clockReadAt = time.Time{}
	}
	c.updateClock(w, report.Clock)
	w.answeredHoldSentAt = w.holdSentAt
	w.ackAnswered = max(w.ackAnswered, w.ackSent)
	if call.Token >= w.bootToken && !w.tokenAccepted {
		w.tokenAccepted = true
		c.planNeeded = true
		// Until now the worker accepted calls of earlier leaders and calls to its earlier boots. A
		// lease end by the clock of an earlier boot is shortened to the longest lease.
		w.leaseUntil = max(w.leaseUntil, report.Clock+c.opts.MaxLease.Milliseconds())
	}
	firstAnswer := !w.answeredThisTerm
	w.answeredThisTerm = true
	if firstAnswer {
		c.recordDecision(Decision{Kind: DecisionAdopted, Worker: w.ID, Count: len(w.runs), Age: c.now.Sub(c.startedAt)})
		c.removeStartsToFormerWorkers(w)
		c.planNeeded = true
	}
	if w.unresponsive {
		w.unresponsive = false
		c.planNeeded = true
		c.retryStops(w)
		if w.holdBackoff == 0 {
			// Only a single answer was lost.
			c.answerLossUntil = c.now.Add(answerLossPeriod)
		}
		c.recordDecision(Decision{Kind: DecisionResponsive, Worker: w.ID, Count: len(w.runs)})
	}
	w.holdBackoff = 0
	c.reconcileRuns(w, report)
	w.holdAnsweredAt = c.now
	w.endsListFull = len(report.Ends) >= maxListedEnds
	if !w.endsListFull {
		c.removeResolvedStarts(w)
	}
	// Ends that do not count need no commit.
	c.acknowledgeEnds(w)
	w.nextHoldAt = c.now
	switch {
	case w.lastHandledEnd > w.ackedEnd:
		// The next hold acknowledges the ends. It is sent as soon as they are committed.
		w.nextHoldAt = c.now.Add(maxHoldRetryDelay)
	case w.ackedEnd != w.ackAnswered && w.hasUnlistedStarts():
		// The worker answers at once while it lists ends.
		w.nextHoldAt = c.now.Add(callRetryDelay)
	case c.socketsShort():
		w.nextHoldAt = c.now.Add(shortageHoldInterval)
	}
	c.planNeeded = c.planNeeded || len(report.Ends) > 0
}

// LateHoldAnswered processes an answer to a Hold that arrives after the hold has counted as unanswered. The
// worker may regard the ends in it as received, so they count. The list of active runs may be outdated by
// answers to later holds and is ignored.
func (c *Core) LateHoldAnswered(now time.Time, call Call, report HoldReport) {
	w := c.workerAnswered(now, call, 0)
	c.lateAnswersUntil = c.now.Add(lateAnswersPeriod)
	if w == nil || report.Outcome != OutcomeOK || report.Boot != w.Boot {
		return
	}
	c.updateClock(w, report.Clock)
	w.answeredLateAt = c.now
	for _, end := range report.Ends {
		c.handleEnd(w, end)
	}
	c.acknowledgeEnds(w)
	c.planNeeded = c.planNeeded || len(report.Ends) > 0
}

func (c *Core) updateClock(w *worker, clock int64) {
	if clock >= c.minWorkerClock(w) || w.clockReadAt.IsZero() {
		w.clockMillis, w.clockReadAt = clock, c.now
	}
}

func (c *Core) holdFailed(w *worker, call Call, outcome Outcome) {
	switch outcome {
	case OutcomeNoAnswer:
		if !c.leaseExpired(w, w.holdSentAt) {
			w.lateAnswerUntil = c.now.Add(c.opts.LateAnswerTime)
		}
	case OutcomeFenced:
		w.nextHoldAt = c.now
		c.handleFenced(w, call)
		return
	case OutcomeLaterBoot:
		c.proposeBootEnd(w, bootEndLaterBoot, true)
	case OutcomeOtherWorker:
		c.otherWorkerAnswered(w, call)
	}
	if !w.unresponsive {
		w.unresponsive = true
		c.recordDecision(Decision{Kind: DecisionUnresponsive, Worker: w.ID, Reason: outcome.String(), Count: len(w.runs), Age: c.timeSinceAnswer(w)})
		if outcome == OutcomeNoAnswer {
			// The answer may have been lost on its way. The hold is repeated at once, because tasks
			// may wait for the ends that the answer listed.
			w.nextHoldAt = c.now
			c.scheduleWake(w, w.nextHoldAt)
			return
		}
	}
	w.holdBackoff = min(max(2*w.holdBackoff, holdRetryDelay), maxHoldRetryDelay)
	w.nextHoldAt = c.now.Add(w.holdBackoff)
	c.scheduleWake(w, w.nextHoldAt)
}

// laterBootAnswered raises the token once for each later boot that has answered a hold, and calls that
// boot with it. The boot then rejects the late calls for the former one, which it would carry out until
// it has registered. Whether the former boot had accepted the last token stays known: it decides which
// starts that boot has refused.
func (c *Core) laterBootAnswered(w *worker, call Call, boot workload.Boot) {
	if boot > w.laterBoot {
		w.laterBoot = boot
		w.countEndedBoot()
		w.fenceToken, w.fenceUntil = c.token(w), c.now.Add(maxCallDelay)
		w.nextHoldAt = c.now
		c.scheduleWake(w, w.nextHoldAt)
		return
	}
	if call.Token >= w.fenceToken {
		w.fenceUntil = time.Time{}
	}
}

// handleFenced ends the dispatching of this leader because a worker has seen a later leader. It
// does nothing if the rejected call was overtaken by one with a higher token of this leader.
func (c *Core) handleFenced(w *worker, call Call) {
	if c.fenced || call.Token < c.token(w) {
		return
	}
	c.fenced = true
	c.recordDecision(Decision{Kind: DecisionFenced, Worker: w.ID})
}

// reconcileRuns compares the runs and ends that the worker reports with the leader's view.
func (c *Core) reconcileRuns(w *worker, report HoldReport) {
	active := map[workload.TaskID]ActiveRun{}
	for _, a := range report.Active {
		active[a.Task] = a
		c.recordBegun(a.Task)
		c.reconcileActiveRun(w, a, report.Clock)
	}
	for _, end := range report.Ends {
		c.handleEnd(w, end)
	}
	if len(report.Ends) >= maxListedEnds {
		// The list is full: a run that is not listed may be among the ends that follow once these
		// are acknowledged.
		return
	}
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if a, listed := active[id]; listed && (a.Run == r.number || r.closedInState) || r.endProposed {
			continue
		}
		c.reconcileMissingRun(w, id, r)
	}
}

func sortedTasks(runs map[workload.TaskID]*run) []workload.TaskID {
	ids := make([]workload.TaskID, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, workload.CompareTaskIDs)
	return ids
}

func (c *Core) reconcileActiveRun(w *worker, a ActiveRun, clock int64) {
	r := w.runs[a.Task]
	if r == nil {
		// The run is closed in the state, so the worker must end it.
		c.recordClosedRun(w, a)
		c.recordInDoubtStart(w, a.Task, a.Run, 0)
		closed := &run{number: a.Run, closedInState: true, confirmed: true, confirmedAt: c.now, stopRequested: true, stopReason: "closed-run"}
		if c.state.Task(a.Task) != nil {
			closed.reservedSize = c.state.Job(a.Task.Job).Spec.Steps[a.Task.Step].Size
		}
		w.reserved = w.reserved.Add(closed.reservedSize)
		w.runs[a.Task] = closed
		return
	}
	if r.closedInState {
		// The task must not be placed while the worker may run it.
		c.recordInDoubtStart(w, a.Task, r.number, 0)
	}
	if r.number != a.Run {
		// This is another run of the task, which is closed in the state. It is stopped again after
		// each report until it has ended.
		c.recordClosedRun(w, a)
		if c.mayCallWorkers() {
			c.pendingEffects.Stops = append(c.pendingEffects.Stops, Stop{Call: c.callTo(w), Task: a.Task, Run: a.Run})
		}
		return
	}
	if !r.confirmed {
		r.confirmed, r.confirmedAt = true, c.now
	}
	r.listedByWorker = true
	if a.Checkpoint != "" {
		r.checkpoint = a.Checkpoint
	}
	c.recordProgress(w, a.Task, r, a.Percent, clock)
}

// recordClosedRun logs an active run that is closed in the state, with how it was closed if the
// state still lists it. If another run of the task is open, the task may be running twice.
func (c *Core) recordClosedRun(w *worker, a ActiveRun) {
	d := Decision{
		Kind: DecisionClosedRun, Job: a.Task.Job, Step: a.Task.Step, Task: a.Task.Index, Run: a.Run, Worker: w.ID, Boot: w.Boot,
	}
	if closed, age, listed := c.state.ClosedRun(a.Task, w.ID, a.Run); listed {
		d.Reason, d.Age = string(closed.How), age
	}
	if task := c.state.Task(a.Task); task != nil && task.Open && task.Run != a.Run {
		d.Kind, d.OpenRun = DecisionOverlap, task.Run
	}
	c.recordDecision(d)
}

func (c *Core) handleEnd(w *worker, end ListedEnd) {
	if end.Number <= w.lastHandledEnd {
		return
	}
	w.lastHandledEnd = end.Number
	r := w.runs[end.Task]
	if r == nil || r.closedInState || r.number != end.Run {
		c.handleClosedRunEnd(w, r, end)
		return
	}
	switch {
	case !r.endProposed:
		c.updateHealth(w, end.Task, r, end.Result)
		c.queueEnd(w, end.Task, r, end.Result, end.Checkpoint, 0)
	case end.Result == workload.EndDone || end.Result == workload.EndFailed:
		// Another end was proposed and is not committed yet. This end counts once it is.
		c.proposeLateEnd(w, end)
	}
}

// handleClosedRunEnd processes the end of a run that is closed in the state. If the end still
// counts, it is committed before the worker may forget it.
func (c *Core) handleClosedRunEnd(w *worker, r *run, end ListedEnd) {
	accepted := c.state.AcceptsLateEnd(end.Task, w.ID, end.Run, end.Result)
	if !accepted {
		c.recordUncountedEnd(w, end, "not-accepted")
	}
	switch {
	case r != nil && (r.number != end.Run || r.endProposed):
		if accepted {
			c.proposeLateEnd(w, end)
		}
	case accepted:
		if r == nil {
			r = &run{number: end.Run, closedInState: true}
			w.runs[end.Task] = r
		}
		c.queueEnd(w, end.Task, r, end.Result, end.Checkpoint, 0)
	case r != nil:
		c.removeRun(w, end.Task, r)
	}
}

// recordUncountedEnd logs a done end that the worker will be told to forget although its task is not done.
func (c *Core) recordUncountedEnd(w *worker, end ListedEnd, reason string) {
	if end.Result != workload.EndDone || !c.awaitsDone(end.Task) {
		return
	}
	d := Decision{
		Kind: DecisionUncountedEnd, Job: end.Task.Job, Step: end.Task.Step, Task: end.Task.Index, Run: end.Run, Worker: w.ID, Boot: w.Boot, Reason: reason,
	}
	if task := c.state.Task(end.Task); task.Open {
		d.OpenRun = task.Run
	}
	c.recordDecision(d)
}

// awaitsDone reports whether a task of a job in progress still needs a run that is done.
func (c *Core) awaitsDone(id workload.TaskID) bool {
	job, task := c.state.Job(id.Job), c.state.Task(id)
	return task != nil && !job.State.Ended() && task.State != workload.TaskDone && !c.state.IsDoneByClosedRun(id)
}

// queueEnd adds the end of a run to the next proposal.
func (c *Core) queueEnd(w *worker, id workload.TaskID, r *run, result workload.RunEnd, checkpoint string, age time.Duration) {
	r.endProposed = true
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	c.proposeEnd(w, id, r.number, result, checkpoint)
	if result != workload.EndDone {
		c.recordDecision(Decision{
			Kind: DecisionRunEnded, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID,
			Reason: string(result), Age: age,
		})
	}
}

// proposeLateEnd adds the end of a run to the next proposal, beside another run or another end of its task.
func (c *Core) proposeLateEnd(w *worker, end ListedEnd) {
	w.proposedLateEnds[end.Task] = lateEnd{end.Run, end.Result}
	c.proposeEnd(w, end.Task, end.Run, end.Result, end.Checkpoint)
}

func (c *Core) proposeEnd(w *worker, id workload.TaskID, number workload.RunNumber, result workload.RunEnd, checkpoint string) {
	switch result {
	case workload.EndDone:
		c.recordReportedDone(id)
	case workload.EndFailed:
		c.recordReportedFailure(id, number)
	}
	c.pendingEnds = append(c.pendingEnds, workload.EndedRun{Worker: w.ID, Boot: w.Boot, Task: id, Run: number, How: result, Checkpoint: checkpoint})
}

// reconcileMissingRun handles a run that the worker does not report.
func (c *Core) reconcileMissingRun(w *worker, id workload.TaskID, r *run) {
	switch {
	case r.closedInState:
		if r.stopAcked && r.stopAckedAt.Before(w.holdSentAt) {
			c.removeRun(w, id, r)
		}
	case r.confirmed && r.confirmedAt.Before(w.holdSentAt):
		// The run was active when the hold was sent, and the worker does not report its end.
		c.queueEnd(w, id, r, workload.EndLost, "", c.now.Sub(r.confirmedAt))
	case !r.openedThisTerm:
		// An earlier leader sent the start. The worker has answered this leader's hold and now
		// refuses that start.
		c.queueEnd(w, id, r, workload.EndNeverStarted, "", c.now.Sub(c.startedAt))
	case r.stopAcked && r.stopAckedAt.Before(w.holdSentAt):
		c.queueEnd(w, id, r, workload.EndNeverStarted, "", c.now.Sub(r.stopAckedAt))
	}
}
