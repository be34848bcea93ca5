package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// sendDueCall sends the start or the stop of a run that is due.
func (c *Core) sendDueCall(w *worker, id workload.TaskID, r *run) {
	if r.callInFlight || r.endProposed || r.stopAcked {
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
		if c.isKnownDone(id) {
			c.withdrawRun(w, id, r, stopReasonTaskDone)
			return
		}
		if c.isKnownFailed(id) {
			c.withdrawRun(w, id, r, stopReasonTaskFailed)
			return
		}
		if c.exceedsTeamCap(job) {
			c.withdrawRun(w, id, r, stopReasonTeamCap)
			return
		}
		if _, blocked := c.blockingStart(id); blocked && r.startAttempts == 0 || w.Draining {
			// After the assignment was proposed, an earlier run of the task was found or the worker
			// began to leave.
			c.withdrawRun(w, id, r, "draining")
			return
		}
		if c.hasExpiredTicket(r) {
			c.withdrawExpired(w, id, r)
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
			r.firstToken = c.token(w)
		}
		if r.giveUpStartAt.IsZero() {
			r.giveUpStartAt = c.now.Add(maxStartWait)
		}
		r.startSentAt, r.startOutcome = c.now, OutcomeOK
		r.startAttempts++
		timeout := startTimeout
		if r.startAttempts == 1 {
			timeout = firstStartTimeout
		}
		lease := c.extendLease(w)
		c.pendingEffects.Starts = append(c.pendingEffects.Starts, Start{
			Call: c.callTo(w), Task: id, Run: r.number, LeaseUntil: lease, Payload: job.Spec.Payload,
			Checkpoint: job.Steps[id.Step].Tasks[id.Index].Checkpoint, Ticket: r.ticket, Timeout: timeout,
		})
		c.addLeaseStart(w, id, r, lease)
	}
}

// delayRepeatedStart delays the repetition of a start until the worker has answered any call since. If
// the worker has started again, each further copy may extend the lease of a run that the first one begins
// late.
func (c *Core) delayRepeatedStart(w *worker, id workload.TaskID, r *run) {
	if !c.now.Before(r.giveUpStartAt) {
		c.giveUpStart(w, id, r)
		return
	}
	r.nextCallAt = c.now.Add(callRetryDelay)
	c.scheduleWake(w, r.nextCallAt)
}

// withdrawRun closes a run that must not start any more. If a start was sent already, the run is
// stopped first.
func (c *Core) withdrawRun(w *worker, id workload.TaskID, r *run, reason string) {
	if r.startAttempts > 0 {
		c.requestStop(w, r, reason)
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
	c.startEnded(w, start, outcome)
	if outcome == OutcomeNoAnswer {
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
	c.recordStart(r, outcome)
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
	case OutcomeNoSocket:
		c.recordSocketShortage()
		c.repeatUnsentStart(w, start.Task, r, outcome)
	case OutcomeNotPermitted:
		c.repeatUnsentStart(w, start.Task, r, outcome)
	case OutcomeNoAnswer, OutcomeNotSent, OutcomeLeaseExpired:
		r.nextCallAt = c.now.Add(callRetryDelay)
		if r.startAttempts >= maxStartAttempts {
			c.giveUpStart(w, start.Task, r)
		}
	case OutcomeRunClosed:
		// The run has ended there, or will be reported as ended. If neither holds, the answer to
		// the stop decides.
		c.requestStop(w, r, "old")
	default:
		c.startRefused(w, start.Task, r, outcome)
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
	case OutcomeNotPermitted:
		r.nextCallAt = c.now.Add(callRetryDelay)
	default:
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
