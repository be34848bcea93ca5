package dispatch

import "time"

// Bound of what a new leader takes up. It is made for a leader that begins with thousands of workers at
// once, each of which has to be called before it can get work. The answers come in a burst and delay all
// other events, and a process has few sockets. Callers need the first workers to be used at once, while the
// others are being called. A new leader therefore calls a limited number of workers for the first time
// until they have answered or failed to. The bound ends when all workers were called.
const (
	// maxFirstHolds is the number of workers that are called for the first time at once. Cells of up to
	// that many workers are taken up at once. With round trips of 30 ms it is several thousand workers a
	// second, less than a leader can handle.
	maxFirstHolds = 400
	// firstHoldRetry is the time after which a worker that waits for its first call is considered again.
	firstHoldRetry = 20 * time.Millisecond
)

// delaysFirstHold reports whether a worker has to wait for its first call of this leader.
func (c *Core) delaysFirstHold(w *worker) bool {
	if w.answeredThisTerm || w.unresponsive || c.firstHolds < maxFirstHolds {
		return false
	}
	c.recordBound(BoundTakeover, "first-holds")
	c.scheduleWake(w, c.now.Add(firstHoldRetry))
	return true
}

// countFirstHold counts a hold to a worker that has not answered this leader yet.
func (c *Core) countFirstHold(w *worker) {
	if !w.answeredThisTerm && !w.firstHoldInFlight {
		w.firstHoldInFlight = true
		c.firstHolds++
	}
}

// endFirstHold ends the count when the hold has ended or the worker is replaced by its later boot.
func (c *Core) endFirstHold(w *worker) {
	if w.firstHoldInFlight {
		w.firstHoldInFlight = false
		c.firstHolds--
	}
}
