package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// job is a live job: one that has not ended, in the order of acceptance.
type job struct {
	*workload.Job
	steps     []step
	wake      time.Time     // when a step has something to do without an event
	since     time.Time     // accepted, by this process's clock where it saw it
	objective time.Duration // from then to the end of the last step
}

// step is what the leader knows of a step besides its tasks.
type step struct {
	proposed []bool        // by task: a run is proposed
	waiting  int           // tasks that are pending and not proposed
	chain    time.Duration // longest work from here to the end of the job

	// Permission of the adviser. The workers that may run a step never change;
	// the tickets that prove it run out.
	asking       uint64 // advice call on the way, or 0
	granted      map[workload.WorkerID]ticket
	freshUntil   time.Time                  // end of the tickets that were given last
	namedAll     int                        // number of registrations at which all workers were named
	named        map[workload.WorkerID]bool // the adviser has answered for them
	askAt        time.Time                  // not before
	held         []reservation
	blockedSince time.Time // first plan in which it found no room
	// failedOn are the workers on which a run failed or stalled.
	failedOn map[workload.WorkerID]bool
	paces    paces
	// embargoed says that tasks wait until late starts of them are refused.
	embargoed bool
}

// ticket proves that a worker may run a step.
type ticket struct {
	value string
	until time.Time
}

// track follows a job that has not ended, which was accepted at since.
func (c *Core) track(j *workload.Job, since time.Time) {
	if j.State.Ended() {
		return
	}
	live := &job{Job: j, steps: make([]step, len(j.Steps)), since: since}
	live.plan()
	for i := range live.steps {
		live.steps[i].proposed = make([]bool, len(j.Steps[i].Tasks))
	}
	live.count()
	c.byID[j.ID] = live
	c.jobs = append(c.jobs, live)
}

// count updates the number of tasks that wait to be placed.
func (j *job) count() {
	for i := range j.steps {
		waiting := 0
		for k, task := range j.Steps[i].Tasks {
			if task.State == workload.TaskPending && !task.Open && !j.steps[i].proposed[k] {
				waiting++
			}
		}
		j.steps[i].waiting = waiting
	}
}

func (c *Core) submitted(id workload.JobID) {
	if j := c.state.Job(id); j != nil && c.byID[id] == nil {
		c.track(j, c.now)
	}
}

// settle follows a change of a job: it stops the runs of one that has ended.
func (c *Core) settle(id workload.JobID) {
	j := c.state.Job(id)
	if j == nil {
		return
	}
	if !j.State.Ended() {
		if live := c.byID[id]; live != nil {
			live.count()
		}
		return
	}
	c.untrack(id)
	if j.State == workload.JobCompleted {
		return
	}
	for i := range j.Steps {
		for k, task := range j.Steps[i].Tasks {
			if !task.Open {
				continue
			}
			taskID := workload.TaskID{Job: id, Step: i, Index: k}
			if w := c.workers[task.Worker]; w != nil && w.runs[taskID] != nil && !w.runs[taskID].reported {
				c.stopRun(w, w.runs[taskID], "job-"+string(j.State))
			}
		}
	}
}

func (c *Core) untrack(id workload.JobID) {
	live := c.byID[id]
	if live == nil {
		return
	}
	delete(c.byID, id)
	c.jobs = slices.DeleteFunc(c.jobs, func(j *job) bool { return j == live })
	for i := range live.steps {
		c.releaseHeld(&live.steps[i])
	}
}

// settleAll follows the jobs of runs that were closed together.
func (c *Core) settleAll(closed []workload.OpenRun) {
	last := workload.JobID("")
	for _, run := range closed {
		c.stopRest(run.Task)
		if run.Task.Job != last {
			last = run.Task.Job
			c.settle(last)
		}
	}
}

// decided follows a committed batch of ends and assignments.
func (c *Core) decided(d workload.Decide, result workload.Result) {
	for _, end := range d.Ends {
		if w := c.workers[end.Worker]; w != nil && w.Boot == end.Boot {
			if r := w.runs[end.Task]; r != nil && r.number == end.Run && (!r.unknown || r.reported) {
				c.dropRun(w, end.Task, r)
			}
			c.advanceSeen(w)
		}
	}
	for i, assign := range d.Assigns {
		c.assigned(assign, result.Assigns[i])
	}
	for _, end := range d.Ends {
		c.stopRest(end.Task)
		c.settle(end.Task.Job)
	}
}

// stopRest stops the members of a gang run of which one has closed without the
// run being done: they would wait for it until their time is up.
func (c *Core) stopRest(ended workload.TaskID) {
	j := c.byID[ended.Job]
	if j == nil {
		return
	}
	if task := j.Steps[ended.Step].Tasks[ended.Index]; task.State != workload.TaskDone && !task.Open {
		c.stopMembers(ended)
	}
}

// stopMembers stops the open runs of the gang of a task; without a gang none.
func (c *Core) stopMembers(of workload.TaskID) {
	j := c.byID[of.Job]
	if j == nil || !j.Spec.Steps[of.Step].Gang {
		return
	}
	for i, task := range j.Steps[of.Step].Tasks {
		if !task.Open {
			continue
		}
		id := workload.TaskID{Job: of.Job, Occurrence: of.Occurrence, Step: of.Step, Index: i}
		if w := c.workers[task.Worker]; w != nil && w.runs[id] != nil && !w.runs[id].reported {
			c.stopRun(w, w.runs[id], "gang-incomplete")
		}
	}
}

// advanceSeen lets the worker forget the ends that are committed.
func (c *Core) advanceSeen(w *worker) {
	for _, r := range w.runs {
		if r.reported {
			return
		}
	}
	if w.listed == w.seen {
		return
	}
	w.seen = w.listed
	if !w.silent {
		w.holdAt = c.now
	}
	c.wakeAt(w, c.now)
}

// assigned starts the runs that an assignment opened.
func (c *Core) assigned(assign workload.Assign, result workload.AssignResult) {
	live := c.byID[assign.Step.Job]
	refusals := 0
	reason := workload.RefusalNone
	for i, m := range assign.Members {
		if live != nil {
			live.steps[assign.Step.Step].proposed[m.Index] = false
		}
		got := result.Members[i]
		if got.Refusal != workload.RefusalNone {
			refusals++
			reason = got.Refusal
			continue
		}
		c.opened(live, assign.Step, m, got.Run)
	}
	if refusals > 0 {
		c.decide(Decision{Kind: DecisionRefused, Job: assign.Step.Job, Step: assign.Step.Step, Count: refusals, Reason: string(reason)})
	}
	if live != nil {
		live.count()
	}
}

func (c *Core) opened(live *job, id workload.StepID, m workload.TaskAssignment, number workload.RunNumber) {
	w := c.workers[m.Worker]
	if w == nil || w.Boot != m.Boot {
		return
	}
	r := &run{number: number, own: true, callAt: c.now}
	if live != nil {
		r.ticket = live.steps[id.Step].granted[m.Worker].value
	} else {
		r.stop, r.reason = true, "job-ended"
	}
	task := workload.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: m.Index}
	if closed := w.runs[task]; closed != nil {
		c.dropRun(w, task, closed)
	}
	w.runs[task] = r
	c.wakeAt(w, c.now)
}

// release takes back an assignment that was not committed.
func (c *Core) release(assign workload.Assign) {
	live := c.byID[assign.Step.Job]
	if live == nil {
		return
	}
	for _, m := range assign.Members {
		live.steps[assign.Step.Step].proposed[m.Index] = false
	}
	live.count()
}
