package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// A boot that has closed a run refuses every start of it. A later boot of the
// worker knows nothing of that, and a start names its worker only by the id. So
// a task is not placed while a start of an earlier run may still reach a boot
// that cannot be relied on to refuse it.

// lateStart is the last start of a task that a worker may still carry out.
type lateStart struct {
	worker *worker
	run    workload.RunNumber
	at     time.Time // it was not sent later
	// former says that an earlier leader sent it. A boot that has answered this
	// leader rejects it for its token.
	former bool
}

// lateStarts are the starts that may still be carried out.
type lateStarts map[workload.TaskID][]lateStart

// noteLate remembers that a worker may still carry out a start of this leader,
// which has been sent by now.
func (c *Core) noteLate(w *worker, id workload.TaskID, number workload.RunNumber) {
	c.addLate(id, lateStart{worker: w, run: number, at: c.now})
}

// noteFormer remembers that a worker may still carry out a start of an earlier
// leader: it has been sent before this one began.
func (c *Core) noteFormer(w *worker, id workload.TaskID, number workload.RunNumber) {
	start := lateStart{worker: w, run: number, at: c.started, former: true}
	if _, known := c.lateOn(w, id); !known && c.now.Sub(start.at) < lateOrder {
		c.addLate(id, start)
	}
}

// addLate takes the place of an earlier start of the task on the same worker.
func (c *Core) addLate(id workload.TaskID, start lateStart) {
	start.worker.late[id] = true
	for i, known := range c.late[id] {
		if known.worker.ID == start.worker.ID {
			c.late[id][i] = start
			return
		}
	}
	c.late[id] = append(c.late[id], start)
}

// lateOn returns the start of a task that a worker may still carry out.
func (c *Core) lateOn(w *worker, id workload.TaskID) (lateStart, bool) {
	for _, start := range c.late[id] {
		if start.worker.ID == w.ID && c.now.Sub(start.at) < lateOrder {
			return start, true
		}
	}
	return lateStart{}, false
}

// forgetLate drops the start of a task that a worker can no longer carry out.
func (c *Core) forgetLate(w *worker, id workload.TaskID) {
	delete(w.late, id)
	kept := slices.DeleteFunc(c.late[id], func(start lateStart) bool { return start.worker.ID == w.ID })
	if len(kept) > 0 {
		c.late[id] = kept
	} else {
		delete(c.late, id)
	}
	c.changed = true
}

// sweepLate drops the starts that can no longer come.
func (c *Core) sweepLate() {
	if len(c.late) == 0 || c.now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = c.now.Add(sweepInterval)
	for _, w := range c.list {
		for id := range w.late {
			if _, known := c.lateOn(w, id); !known {
				c.forgetLate(w, id)
			}
		}
	}
}

// inDoubt reports whether a worker may still carry out an earlier start of a run.
func (c *Core) inDoubt(w *worker, id workload.TaskID, number workload.RunNumber) bool {
	start, known := c.lateOn(w, id)
	return known && start.run >= number
}

// noteEndedBoot notes the starts whose outcome at an ended boot is not known.
func (c *Core) noteEndedBoot(w *worker) {
	for id, r := range w.runs {
		switch {
		case r.starting:
			c.noteLate(w, id, r.number)
		case w.restarted && r.own && r.confirmed && !r.listed && !r.confirmAt.Before(w.provenAt):
			// The later boot may have taken it, as it was answered after the last
			// proof that the former one was there.
			c.noteLate(w, id, r.number)
		}
	}
}

// inherit makes the late starts of a worker those of its later boot.
func (c *Core) inherit(former, fresh *worker) {
	fresh.late = former.late
	for id := range fresh.late {
		for i := range c.late[id] {
			if start := &c.late[id][i]; start.worker == former {
				start.worker = fresh
			}
		}
	}
}

// refuseLate makes a worker refuse the late starts of this leader that it may
// not know of.
func (c *Core) refuseLate(w *worker) {
	if w.Gone {
		return
	}
	for id := range w.late {
		if start, known := c.lateOn(w, id); known && !start.former && w.runs[id] == nil {
			w.runs[id] = &run{number: start.run, unknown: true, stop: true, reason: "late-start"}
		}
	}
}

// refusing reports whether a worker is told to end or refuse runs that the state
// has closed.
func (w *worker) refusing() bool {
	for _, r := range w.runs {
		if r.unknown {
			return true
		}
	}
	return false
}

// refuses reports whether the present boot of a worker surely refuses the starts
// of a task that has no run there.
func (w *worker) refuses(id workload.TaskID) bool {
	r := w.runs[id]
	return w.adopted && !w.silent && !w.ending && !w.Gone && (r == nil || !r.unknown)
}

// adoptLate takes over what earlier leaders may have sent: the runs that are
// open, and the last ones of tasks whose worker has not reported their end.
func (c *Core) adoptLate() {
	for _, j := range c.jobs {
		for i := range j.Steps {
			for k, task := range j.Steps[i].Tasks {
				if w := c.workers[task.Worker]; w != nil {
					c.noteFormer(w, workload.TaskID{Job: j.ID, Step: i, Index: k}, task.Run)
				}
			}
		}
	}
}

// answersAt takes a worker as the only one at its address: what is still on its
// way there names another worker, and is rejected.
func (c *Core) answersAt(w *worker) {
	for _, former := range c.list {
		if former != w && former.Address == w.Address {
			c.forgetAllLate(former)
		}
	}
}

func (c *Core) forgetAllLate(w *worker) {
	for id := range w.late {
		c.forgetLate(w, id)
	}
}

// dropRun forgets a run that the state has closed and that has ended.
func (c *Core) dropRun(w *worker, id workload.TaskID, r *run) {
	delete(w.runs, id)
	w.reserved = w.reserved.Sub(r.size)
	c.changed = true
}

// embargoed reports whether a task must not be placed yet, and which start it
// waits for.
func (c *Core) embargoed(id workload.TaskID) (lateStart, bool) {
	for _, start := range c.late[id] {
		if c.now.Sub(start.at) < lateOrder && !start.worker.refuses(id) {
			return start, true
		}
	}
	return lateStart{}, false
}

// placeable is the number of tasks of a step that wait and are under no embargo;
// of a gang all or none. The job is woken when an embargo ends by itself.
func (c *Core) placeable(r ready) int {
	s := &r.job.steps[r.index]
	if len(c.late) == 0 {
		return s.waiting
	}
	held := 0
	var first lateStart
	for index, task := range r.job.Steps[r.index].Tasks {
		if task.State != workload.TaskPending || s.proposed[index] {
			continue
		}
		start, waits := c.embargoed(workload.TaskID{Job: r.job.ID, Step: r.index, Index: index})
		if !waits {
			continue
		}
		c.wakeJob(r.job, start.at.Add(lateOrder))
		if held == 0 {
			first = start
		}
		held++
	}
	c.noteEmbargo(r, s, held, first)
	if held > 0 && r.job.Spec.Steps[r.index].Gang {
		return 0
	}
	return s.waiting - held
}

// noteEmbargo logs a step that begins to wait for late starts.
func (c *Core) noteEmbargo(r ready, s *step, held int, first lateStart) {
	if held > 0 && !s.embargoed {
		c.decide(Decision{
			Kind: DecisionEmbargo, Job: r.job.ID, Step: r.index, Run: first.run, Worker: first.worker.ID, Count: held, Age: c.now.Sub(first.at),
		})
	}
	s.embargoed = held > 0
}
