package dispatch

import "github.com/godwitlink/godwitlink/core/workload"

// repeatUnsentHold sends a hold again later that was not sent for a reason that the worker has no part in.
// The worker stays responsive, and its lease is extended by the next hold.
func (c *Core) repeatUnsentHold(w *worker) {
	w.nextHoldAt = c.now.Add(callRetryDelay)
	c.scheduleWake(w, w.nextHoldAt)
}

// repeatUnsentStart sends a start again later that was not sent for a reason that the worker has no part in,
// until the run has waited for too long. The attempt does not count, and the worker is not avoided.
func (c *Core) repeatUnsentStart(w *worker, id workload.TaskID, r *run, outcome Outcome) {
	r.startAttempts--
	r.nextCallAt = c.now.Add(callRetryDelay)
	c.scheduleWake(w, r.nextCallAt)
	if r.startAttempts == 0 && c.now.Before(r.giveUpStartAt) || r.startAttempts > 0 {
		return
	}
	c.recordDecision(Decision{
		Kind: DecisionRefused, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: outcome.String(),
	})
	c.queueEnd(w, id, r, workload.EndNeverStarted, "", 0)
	c.stopGang(id)
}
