package dispatch

import (
	"cmp"
	"container/heap"
	"time"
)

// wakeUp is the time at which a worker is due. It is stale if the worker's wake time has changed
// since or the worker was replaced by another boot.
type wakeUp struct {
	at     time.Time
	worker *worker
}

// wakeUps is a heap of wake-ups, ordered by time and then by worker ID.
type wakeUps []wakeUp

func (h wakeUps) Len() int { return len(h) }

func (h wakeUps) Less(i, j int) bool {
	if order := h[i].at.Compare(h[j].at); order != 0 {
		return order < 0
	}
	return cmp.Less(h[i].worker.ID, h[j].worker.ID)
}

func (h wakeUps) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *wakeUps) Push(x any) { *h = append(*h, x.(wakeUp)) }

// Pop implements heap.Interface.
func (h *wakeUps) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = wakeUp{}
	*h = old[:len(old)-1]
	return last
}

// isEarlier reports whether a time is before another one, which is zero if there is none.
func isEarlier(at, other time.Time) bool { return other.IsZero() || at.Before(other) }

// scheduleWake makes a worker due at the given time or earlier.
func (c *Core) scheduleWake(w *worker, at time.Time) {
	if isEarlier(at, w.nextWake) {
		w.nextWake = at
		heap.Push(&c.wakeUps, wakeUp{at, w})
	}
}

// nextWorkerWake returns when the next worker is due, or the zero time if none is.
func (c *Core) nextWorkerWake() time.Time {
	for len(c.wakeUps) > 0 {
		first := c.wakeUps[0]
		if first.worker.nextWake.Equal(first.at) && c.workers[first.worker.ID] == first.worker {
			return first.at
		}
		heap.Pop(&c.wakeUps)
	}
	return time.Time{}
}

// dueWorkers returns the workers that are due now, each once, in a deterministic order.
func (c *Core) dueWorkers() []*worker {
	due := c.dueBuffer[:0]
	for {
		at := c.nextWorkerWake()
		if at.IsZero() || c.now.Before(at) {
			c.dueBuffer = due
			return due
		}
		w := heap.Pop(&c.wakeUps).(wakeUp).worker
		w.nextWake = time.Time{}
		due = append(due, w)
	}
}

// scheduleJobWake requests a plan at the given time or earlier, for a step that is due without an
// event.
func (c *Core) scheduleJobWake(j *job, at time.Time) {
	if isEarlier(at, j.nextWake) {
		j.nextWake = at
	}
	if isEarlier(at, c.nextJobWake) {
		c.nextJobWake = at
	}
}

// processDueJobs requests a plan if a job is due.
func (c *Core) processDueJobs() {
	if c.nextJobWake.IsZero() || c.now.Before(c.nextJobWake) {
		return
	}
	c.nextJobWake = time.Time{}
	for _, j := range c.liveJobs {
		switch {
		case j.nextWake.IsZero():
		case c.now.Before(j.nextWake):
			c.scheduleJobWake(j, j.nextWake)
		default:
			j.nextWake = time.Time{}
			c.planNeeded = true
		}
	}
}
