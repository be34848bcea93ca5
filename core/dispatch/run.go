package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// checkRun sends the start or the stop that is due.
func (c *Core) checkRun(w *worker, id workload.TaskID, r *run) {
	if r.calling || r.reported || r.stopped {
		return
	}
	if c.now.Before(r.callAt) {
		c.wakeAt(w, r.callAt)
		return
	}
	switch {
	case r.stop:
		r.calling = true
		c.decide(Decision{Kind: DecisionStop, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: r.reason})
		c.out.Stops = append(c.out.Stops, Stop{Call: c.callTo(w), Task: id, Run: r.number})
	case r.own && !r.confirmed:
		job := c.state.Job(id.Job)
		if job == nil {
			return
		}
		if _, waits := c.embargoed(id); waits && r.tries == 0 || w.Draining {
			// An earlier run was found since the assignment was proposed.
			c.withdraw(w, id, r)
			return
		}
		r.calling, r.starting = true, true
		r.tries++
		timeout := startTimeout
		if r.tries == 1 {
			timeout = firstStartTimeout
		}
		c.out.Starts = append(c.out.Starts, Start{
			Call: c.callTo(w), Task: id, Run: r.number, Until: c.extend(w), Payload: job.Spec.Payload,
			Checkpoint: job.Steps[id.Step].Tasks[id.Index].Checkpoint, Ticket: r.ticket, Timeout: timeout,
		})
	}
}

// withdraw closes a run that must not begin any more.
func (c *Core) withdraw(w *worker, id workload.TaskID, r *run) {
	if r.tries > 0 {
		c.stopRun(w, r, "draining")
		return
	}
	c.report(w, id, r, workload.EndNeverStarted, "", 0)
}

// StartAnswered takes the answer to a Start.
func (c *Core) StartAnswered(now time.Time, start Start, outcome Outcome, clock int64) {
	w := c.answered(now, start.Call, clock)
	if w == nil {
		return
	}
	if outcome == OutcomeNoAnswer {
		c.noteLate(w, start.Task, start.Run)
		c.decide(Decision{
			Kind: DecisionInDoubt, Job: start.Task.Job, Step: start.Task.Step, Task: start.Task.Index, Run: start.Run,
			Worker: w.ID, Boot: w.Boot, Reason: outcome.String(),
		})
	}
	r := w.runs[start.Task]
	if r == nil || r.number != start.Run {
		return
	}
	r.calling, r.starting = false, false
	if r.confirmed || r.reported {
		return
	}
	switch outcome {
	case OutcomeOK:
		r.confirmed, r.confirmAt = true, c.now
	case OutcomeFenced:
		c.fence(w, start.Call)
	case OutcomeOtherBoot:
		c.endBoot(w, endOtherBoot, true)
	case OutcomeNoAnswer, OutcomeNotSent, OutcomeLate:
		r.callAt = c.now.Add(retryCall)
		if r.tries >= startTries {
			c.avoidWorker(w, "no-answer", avoidUnhealthy)
			c.stopRun(w, r, "no-answer")
			c.stopMembers(start.Task)
		}
	case OutcomeOld:
		// It has ended there, or will be listed as ended; if neither, the stop
		// settles it.
		c.stopRun(w, r, "old")
	default:
		c.startRefused(w, start.Task, r, outcome)
	}
}

// startRefused closes a run that the worker has not begun. Where an earlier
// start without an answer could still begin it, it is stopped first.
func (c *Core) startRefused(w *worker, id workload.TaskID, r *run, outcome Outcome) {
	if outcome == OutcomeUnhealthy || outcome == OutcomeRefused {
		c.avoidWorker(w, outcome.String(), avoidUnhealthy)
	}
	if c.inDoubt(w, id, r.number) {
		c.stopRun(w, r, outcome.String())
		return
	}
	c.decide(Decision{
		Kind: DecisionRefused, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: outcome.String(),
	})
	c.report(w, id, r, workload.EndNeverStarted, "", 0)
	if outcome == OutcomeBadTicket {
		c.dropTickets(id.StepID())
	}
}

func (c *Core) stopRun(w *worker, r *run, reason string) {
	if r.stop {
		return
	}
	r.stop, r.reason = true, reason
	r.callAt = c.now
	c.wakeAt(w, c.now)
}

// StopAnswered takes the answer to a Stop.
func (c *Core) StopAnswered(now time.Time, stop Stop, outcome Outcome, clock int64) {
	w := c.answered(now, stop.Call, clock)
	if w == nil {
		return
	}
	r := w.runs[stop.Task]
	if r == nil || r.number != stop.Run {
		return
	}
	r.calling = false
	switch outcome {
	case OutcomeOK:
		r.stopped, r.stoppedAt = true, c.now
	case OutcomeFenced:
		c.fence(w, stop.Call)
	case OutcomeOtherBoot:
		c.endBoot(w, endOtherBoot, true)
	default:
		r.stopWait = min(max(2*r.stopWait, retryCall), retryStopMax)
		r.callAt = c.now.Add(r.stopWait)
	}
}

// repeatStops sends the stops at once that a worker has not answered.
func (c *Core) repeatStops(w *worker) {
	for _, r := range w.runs {
		if r.stop && r.stopWait > 0 {
			r.stopWait, r.callAt = 0, c.now
		}
	}
}
