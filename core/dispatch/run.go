package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// sendDueCall sends the start or the stop of a run that is due.
func (c *Core) sendDueCall(w *worker, id workload.TaskID, r *run) {
	if r.callInFlight || r.endProposed || r.stopAcked || w.countCallsInFlight() >= c.callsInFlightLimit() {
		// An answer wakes the worker.
		return
	}
	if c.now.Before(r.nextCallAt) {
		c.scheduleWake(w, r.nextCallAt)
		return
	}
	switch {
	case r.stopRequested:
		// Once the stop is carried out, the worker would still take the lease end of an earlier start of
		// the run, although it refuses to begin it.
		c.fenceLeaseCalls(w)
		r.callInFlight = true
		c.recordDecision(Decision{Kind: DecisionRunStopped, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: r.stopReason})
		c.pendingEffects.Stops = append(c.pendingEffects.Stops, Stop{Call: c.callTo(w), Task: id, Run: r.number})
	case r.openedThisTerm && !r.confirmed:
		job := c.state.Job(id.Job)
		if job == nil {
			return
		}
		if _, blocked := c.blockingStart(id); blocked && r.startAttempts == 0 || w.Draining {
			// After the assignment was proposed, an earlier run of the task was found or the worker
			// began to leave.
			c.withdrawRun(w, id, r)
			return
		}
		if r.startOutcome == OutcomeNoAnswer && !w.clockReadAt.After(r.startSentAt) {
			c.delayRepeatedStart(w, id, r)
			return
		}
		if r.startOutcome != OutcomeFenced {
			// The repetition of a start that another call has overtaken keeps the token, so that its
			// rejection shows a later leader.
			c.fenceLeaseCalls(w)
		}
		r.callInFlight, r.startInFlight = true, true
		if r.startAttempts == 0 {
			r.firstToken, r.giveUpStartAt = c.token(w), c.now.Add(c.startWait(w, id))
		}
		r.startSentAt, r.startOutcome = c.now, OutcomeOK
		r.startAttempts++
		lease := c.extendLease(w)
		c.pendingEffects.Starts = append(c.pendingEffects.Starts, Start{
			Call: c.callTo(w), Task: id, Run: r.number, LeaseUntil: lease, Payload: job.Spec.Payload,
			Checkpoint: job.Steps[id.Step].Tasks[id.Index].Checkpoint, Ticket: r.ticket,
		})
		c.addLeaseStart(w, id, r, lease)
	}
}

// callsInFlightLimit returns how many starts and stops to one worker may be on their way now.
func (c *Core) callsInFlightLimit() int {
	if c.now.Before(c.answerLossUntil) {
		return maxCallsWhileLost
	}
	return maxCallsInFlight
}

// startWait returns how long a run that is to be started waits for the answer to a start.
func (c *Core) startWait(w *worker, id workload.TaskID) time.Duration {
	j := c.jobsByID[id.Job]
	if j == nil {
		return maxStartWait
	}
	ticket, advised := j.steps[id.Step].tickets[w.ID]
	if !advised {
		return maxStartWait
	}
	return min(max(ticket.expiresAt.Sub(c.now), minStartWait), maxStartWait)
}

// delayRepeatedStart delays the repetition of a start until the worker has answered any call since. If
// the worker has started again, each further copy may extend the lease of a run that the first one begins
// late.
func (c *Core) delayRepeatedStart(w *worker, id workload.TaskID, r *run) {
	if !c.now.Before(r.giveUpStartAt) {
		c.giveUpStart(w, id, r)
		return
	}
	// An answer wakes the worker before.
	c.scheduleWake(w, r.giveUpStartAt)
}

// withdrawRun closes a run that must not start any more. If a start was sent already, the run is
// stopped first.
func (c *Core) withdrawRun(w *worker, id workload.TaskID, r *run) {
	if r.startAttempts > 0 {
		c.requestStop(w, r, "draining")
		return
	}
	c.queueEnd(w, id, r, workload.EndNeverStarted, "", 0)
}

// StartAnswered processes the answer to a Start.
func (c *Core) StartAnswered(now time.Time, start Start, outcome Outcome, clock int64) {
	w := c.workerAnswered(now, start.Call, clock)
	if w == nil {
		return
	}
	c.callEnded(w, start.Call, 0, outcome)
	c.startEnded(w, start, outcome)
	if outcome == OutcomeNoAnswer {
		c.answerLossUntil = c.now.Add(answerLossPeriod)
		w.startUnansweredAt = c.now
		c.recordInDoubtStart(w, start.Task, start.Run, start.Token)
		c.recordDecision(Decision{
			Kind: DecisionStartInDoubt, Job: start.Task.Job, Step: start.Task.Step, Task: start.Task.Index, Run: start.Run,
			Worker: w.ID, Boot: w.Boot, Reason: outcome.String(),
		})
	}
	r := w.runs[start.Task]
	if r == nil || r.number != start.Run {
		return
	}
	r.callInFlight, r.startInFlight = false, false
	r.startOutcome = outcome
	if r.confirmed || r.endProposed {
		return
	}
	switch outcome {
	case OutcomeOK:
		r.confirmed, r.confirmedAt = true, c.now
		c.recordBegun(start.Task)
	case OutcomeFenced:
		c.handleFenced(w, start.Call)
	case OutcomeOtherWorker:
		c.otherWorkerAnswered(w, start.Call)
	case OutcomeNoAnswer, OutcomeNotSent, OutcomeLeaseExpired:
		c.retryStart(w, start, r, outcome)
	case OutcomeRunClosed:
		// The run has ended there, or will be reported as ended. If neither holds, the answer to
		// the stop decides.
		c.requestStop(w, r, "old")
	default:
		c.startRefused(w, start.Task, r, outcome)
	}
}

// retryStart schedules the repetition of a start, or gives the run up.
func (c *Core) retryStart(w *worker, start Start, r *run, outcome Outcome) {
	timedOut := outcome != OutcomeLeaseExpired && start.timedOut(c.now)
	if outcome != OutcomeNoAnswer && !timedOut {
		r.rejectedStarts++
	}
	if r.rejectedStarts >= maxRejectedStarts || !c.now.Before(r.giveUpStartAt) {
		c.giveUpStart(w, start.Task, r)
		return
	}
	r.nextCallAt = c.now
	if !timedOut {
		r.nextCallAt = c.now.Add(callRetryDelay)
	}
}

// giveUpStart stops a run whose starts were not answered, and the rest of its gang.
func (c *Core) giveUpStart(w *worker, id workload.TaskID, r *run) {
	c.avoidWorker(w, "no-answer", unhealthyAvoidance)
	c.requestStop(w, r, "no-answer")
	c.stopGang(id)
}

// startRefused closes a run that the worker has refused to start. If an earlier start of the run is
// in doubt, the run is stopped first.
func (c *Core) startRefused(w *worker, id workload.TaskID, r *run, outcome Outcome) {
	if outcome == OutcomeUnhealthy || outcome == OutcomeRefused {
		c.avoidWorker(w, outcome.String(), unhealthyAvoidance)
	}
	if c.mayStillStart(w, id, r.number) {
		c.requestStop(w, r, outcome.String())
		return
	}
	c.recordDecision(Decision{
		Kind: DecisionRefused, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: outcome.String(),
	})
	c.queueEnd(w, id, r, workload.EndNeverStarted, "", 0)
	if outcome == OutcomeBadTicket {
		c.dropTickets(id.StepID())
	}
}

func (c *Core) requestStop(w *worker, r *run, reason string) {
	if r.stopRequested {
		return
	}
	r.stopRequested, r.stopReason = true, reason
	r.nextCallAt = c.now
	c.scheduleWake(w, c.now)
}

// StopAnswered processes the answer to a Stop.
func (c *Core) StopAnswered(now time.Time, stop Stop, outcome Outcome, clock int64) {
	w := c.workerAnswered(now, stop.Call, clock)
	if w == nil {
		return
	}
	c.callEnded(w, stop.Call, 0, outcome)
	r := w.runs[stop.Task]
	if r == nil || r.number != stop.Run {
		return
	}
	r.callInFlight = false
	switch outcome {
	case OutcomeOK:
		r.stopAcked, r.stopAckedAt = true, c.now
	case OutcomeFenced:
		c.handleFenced(w, stop.Call)
	case OutcomeOtherWorker:
		c.otherWorkerAnswered(w, stop.Call)
	default:
		if w.clockReadAt.After(stop.SentAt) {
			// Only this call was lost.
			r.stopBackoff = 0
		}
		r.stopBackoff = min(max(2*r.stopBackoff, callRetryDelay), maxStopRetryDelay)
		r.nextCallAt = c.now.Add(r.stopBackoff)
	}
}

// retryStops sends the unanswered stops of a worker again without waiting for their back-off.
func (c *Core) retryStops(w *worker) {
	for _, r := range w.runs {
		if r.stopRequested && r.stopBackoff > 0 {
			r.stopBackoff, r.nextCallAt = 0, c.now
		}
	}
}
