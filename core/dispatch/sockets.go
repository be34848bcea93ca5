package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

const (
	// socketShortagePeriod is how long this process is assumed to have too few sockets after a call was not
	// sent for lack of one.
	socketShortagePeriod = 2 * time.Second
	// shortageHoldInterval is the time between two holds to a worker while sockets are short. The holds do
	// not wait for an end, so that each occupies a connection for one round trip only. It is a fraction of
	// a lease, which the holds extend.
	shortageHoldInterval = 500 * time.Millisecond
)

// socketsShort reports whether this process has too few sockets for a hold to every worker at a time.
func (c *Core) socketsShort() bool { return c.now.Before(c.socketsShortUntil) }

func (c *Core) recordSocketShortage() {
	c.socketsShortUntil = c.now.Add(socketShortagePeriod)
}

// holdHadNoSocket sends a hold again later. The worker is not the cause, so it stays responsive.
func (c *Core) holdHadNoSocket(w *worker) {
	c.recordSocketShortage()
	w.nextHoldAt = c.now.Add(callRetryDelay)
	c.scheduleWake(w, w.nextHoldAt)
}

// startHadNoSocket sends a start again later, until the run has waited for too long. The attempt does not
// count, and the worker is not avoided.
func (c *Core) startHadNoSocket(w *worker, id workload.TaskID, r *run) {
	c.recordSocketShortage()
	r.startAttempts--
	r.nextCallAt = c.now.Add(callRetryDelay)
	c.scheduleWake(w, r.nextCallAt)
	if r.startAttempts == 0 && c.now.Before(r.giveUpStartAt) || r.startAttempts > 0 {
		return
	}
	c.recordDecision(Decision{
		Kind: DecisionRefused, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: OutcomeNoSocket.String(),
	})
	c.queueEnd(w, id, r, workload.EndNeverStarted, "", 0)
	c.stopGang(id)
}
