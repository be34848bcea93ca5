package dispatch

import (
	"cmp"
	"container/heap"
	"time"
)

// wakeUp says when something is due for a worker. It is stale where the worker
// is to be woken at another time by now, or has been replaced by another boot.
type wakeUp struct {
	at     time.Time
	worker *worker
}

// wakeUps is a heap of wake-ups, the earliest first, then by the worker's id.
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

// scheduleWake wakes a worker at a time at the latest.
func (c *Core) scheduleWake(w *worker, at time.Time) {
	if w.nextWake.IsZero() || at.Before(w.nextWake) {
		w.nextWake = at
		heap.Push(&c.wakeUps, wakeUp{at, w})
	}
}

// nextWorkerWake returns when the first worker is to be woken, or the zero time.
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

// dueWorkers returns the workers to be woken now, each once, in a fixed order.
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

// scheduleJobWake plans again at a time at the latest, for a step that has something to
// do without an event.
func (c *Core) scheduleJobWake(j *job, at time.Time) {
	if j.nextWake.IsZero() || at.Before(j.nextWake) {
		j.nextWake = at
	}
	if c.nextJobWake.IsZero() || at.Before(c.nextJobWake) {
		c.nextJobWake = at
	}
}

// processDueJobs plans again where a job is due.
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
