package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// unansweredStart is the last start of a task that got no answer.
type unansweredStart struct {
	run workload.RunNumber
	at  time.Time
}

// embargo keeps a task from being placed.
type embargo struct {
	worker workload.WorkerID // that must refuse the earlier run
	until  time.Time
}

// refuseOnNewBoot makes the present boot of a worker refuse the starts that the
// former one has not answered: they name the worker by its id, and could reach
// the present boot late.
func (c *Core) refuseOnNewBoot(former, fresh *worker) {
	for id, r := range former.runs {
		if r.unknown || r.own && !r.confirmed && r.tries > 0 {
			former.unanswered[id] = unansweredStart{r.number, c.now}
		}
	}
	for id, start := range former.unanswered {
		if c.now.Sub(start.at) < lateOrder {
			fresh.runs[id] = &run{number: start.run, unknown: true, stop: true, reason: "former-boot"}
			fresh.unanswered[id] = start
			c.embargo[id] = embargo{worker: fresh.ID, until: c.now.Add(lateOrder)}
		}
	}
}

// noteUnanswered remembers a start that may still be carried out.
func (c *Core) noteUnanswered(w *worker, start Start) {
	for id, old := range w.unanswered {
		if c.now.Sub(old.at) >= lateOrder {
			delete(w.unanswered, id)
		}
	}
	w.unanswered[start.Task] = unansweredStart{start.Run, c.now}
}

// dropStray forgets a run that the state had closed and that has ended.
func (c *Core) dropStray(w *worker, id workload.TaskID, r *run) {
	delete(w.runs, id)
	w.reserved = w.reserved.Sub(r.size)
	c.liftEmbargo(w, id)
}

// checkEmbargo ends the embargoes after which no late start can come.
func (c *Core) checkEmbargo() {
	for id, held := range c.embargo {
		if !c.now.Before(held.until) {
			delete(c.embargo, id)
			c.changed = true
		}
	}
}

func (c *Core) liftEmbargo(w *worker, id workload.TaskID) {
	if c.embargo[id].worker == w.ID {
		delete(c.embargo, id)
		c.changed = true
	}
}
