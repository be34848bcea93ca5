package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// A boot that has closed a run refuses every start of it. A later boot of the
// worker knows nothing of that, and a start names its worker only by the id. So
// the fencing token of a worker rises with each end of a boot, and a task is not
// placed while a start of an earlier run may still reach a boot that has not
// answered a call with the present token.

// lateStart is the last start of a task that a worker may still carry out.
type lateStart struct {
	worker *worker
	run    workload.RunNumber
	at     time.Time // it was not sent later
}

// lateStarts are the starts that may still be carried out.
type lateStarts map[workload.TaskID][]lateStart

// noteLate remembers that a worker may still carry out a start of this leader,
// which has been sent by now.
func (c *Core) noteLate(w *worker, id workload.TaskID, number workload.RunNumber) {
	c.addLate(id, lateStart{worker: w, run: number, at: c.now})
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
	fresh.late, fresh.endedBoots = former.late, former.endedBoots
	fresh.raiseToken()
	for id := range fresh.late {
		for i := range c.late[id] {
			if start := &c.late[id][i]; start.worker == former {
				start.worker = fresh
			}
		}
	}
}

// tokenBits are the low bits of a token, which count the ends of boots of a worker
// under one leader. The others are the leader's term.
const tokenBits = 20

// token is the fencing token of the calls to a worker.
func (c *Core) token(w *worker) uint64 { return c.opts.Token<<tokenBits | w.endedBoots }

// raiseToken makes the worker reject every call that was sent before, once it
// has answered one with the new token.
func (w *worker) raiseToken() {
	w.endedBoots = min(w.endedBoots+1, 1<<tokenBits-1)
	w.fenced = false
}

// endsClosed reports whether a worker is told to end runs that the state has closed.
func (w *worker) endsClosed() bool {
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
	return w.fenced && !w.silent && !w.ending && !w.Gone && (r == nil || !r.unknown)
}

// adoptLate takes over what earlier leaders may have sent: the starts of open
// runs, before this one began, and those of closed ones, before they were closed.
func (c *Core) adoptLate() {
	for _, j := range c.jobs {
		for i := range j.Steps {
			closedAt := c.started.Add(-c.state.SinceLastClosed(&j.Steps[i]))
			for k, task := range j.Steps[i].Tasks {
				w, at := c.workers[task.Worker], closedAt
				if task.Open {
					at = c.started
				}
				if w != nil && c.now.Sub(at) < lateOrder {
					c.addLate(workload.TaskID{Job: j.ID, Step: i, Index: k}, lateStart{worker: w, run: task.Run, at: at})
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
