package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// answered takes what any answer of a worker says. It returns the worker, or nil
// where the call was to another boot. clock is that of the worker, in ms, or 0
// where the answer does not tell it.
func (c *Core) answered(now time.Time, call Call, clock int64) *worker {
	c.advance(now)
	w := c.workers[call.Worker]
	if w == nil || w.Boot != call.Boot {
		return nil
	}
	c.wakeAt(w, c.now)
	if clock > 0 {
		c.heard(w, clock)
	}
	return w
}

// HoldAnswered takes the answer to a Hold.
func (c *Core) HoldAnswered(now time.Time, call Call, report Report) {
	w := c.answered(now, call, 0)
	if w == nil {
		return
	}
	w.holding = false
	if report.Outcome == OutcomeOK && report.Boot > w.Boot {
		report.Outcome = OutcomeLaterBoot
	}
	if report.Outcome != OutcomeOK {
		c.holdFailed(w, call, report.Outcome)
		return
	}
	c.heard(w, report.Clock)
	w.provenAt = w.sentAt
	if call.Token == c.token(w) && !w.fenced {
		w.fenced = true
		c.changed = true
	}
	first := !w.adopted
	w.adopted = true
	if first {
		c.decide(Decision{Kind: DecisionAdopted, Worker: w.ID, Count: len(w.runs), Age: c.now.Sub(c.started)})
		c.answersAt(w)
		c.changed = true
	}
	if w.silent {
		w.silent = false
		c.changed = true
		c.repeatStops(w)
		if w.backoff == 0 {
			// Only the one answer was lost.
			c.lossyUntil = c.now.Add(lossyTime)
		}
		c.decide(Decision{Kind: DecisionBack, Worker: w.ID, Count: len(w.runs)})
	}
	w.backoff = 0
	c.takeRuns(w, report)
	w.holdAt = c.now
	if w.listed > w.seen {
		// The ends are forgotten with the next hold, once they are committed.
		w.holdAt = c.now.Add(retryHoldMax)
	}
	c.changed = c.changed || len(report.Ends) > 0
}

func (c *Core) heard(w *worker, clock int64) {
	if clock >= c.clockNow(w) || w.clockAt.IsZero() {
		w.clock, w.clockAt = clock, c.now
	}
}

func (c *Core) holdFailed(w *worker, call Call, outcome Outcome) {
	switch outcome {
	case OutcomeFenced:
		w.holdAt = c.now
		c.fence(w, call)
		return
	case OutcomeLaterBoot:
		w.restarted = true
		c.endBoot(w, endLaterBoot, true)
	case OutcomeOtherBoot:
		c.endBoot(w, endOtherBoot, true)
	}
	if !w.silent {
		w.silent = true
		c.decide(Decision{Kind: DecisionSilent, Worker: w.ID, Reason: outcome.String(), Count: len(w.runs), Age: c.age(w)})
		if outcome == OutcomeNoAnswer {
			// It may have been lost on its way: the ends that it listed are
			// waited for.
			w.holdAt = c.now
			c.wakeAt(w, w.holdAt)
			return
		}
	}
	w.backoff = min(max(2*w.backoff, retryHold), retryHoldMax)
	w.holdAt = c.now.Add(w.backoff)
	c.wakeAt(w, w.holdAt)
}

// fence ends the dispatching of this leader because a worker has seen a later
// one, unless the call was overtaken by one with a higher token of this leader.
func (c *Core) fence(w *worker, call Call) {
	if c.fenced || call.Token < c.token(w) {
		return
	}
	c.fenced = true
	c.decide(Decision{Kind: DecisionFenced, Worker: w.ID})
}

// takeRuns compares what the worker lists with the open runs.
func (c *Core) takeRuns(w *worker, report Report) {
	active := map[workload.TaskID]ActiveRun{}
	for _, a := range report.Active {
		active[a.Task] = a
		c.takeActive(w, a, report.Clock)
	}
	for _, end := range report.Ends {
		c.takeEnd(w, end)
	}
	if len(report.Ends) >= maxListedEnds {
		// More ends follow once these are forgotten; a run that is not listed
		// may be among them.
		return
	}
	for _, id := range allRuns(w.runs) {
		r := w.runs[id]
		if a, there := active[id]; there && (a.Run == r.number || r.unknown) || r.reported {
			continue
		}
		c.absent(w, id, r)
	}
}

func allRuns(runs map[workload.TaskID]*run) []workload.TaskID {
	ids := make([]workload.TaskID, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, workload.CompareTaskIDs)
	return ids
}

func (c *Core) takeActive(w *worker, a ActiveRun, clock int64) {
	r := w.runs[a.Task]
	if r == nil {
		// The state has closed the run: the worker must not go on with it.
		c.foundStray(w, a)
		c.noteLate(w, a.Task, a.Run)
		stray := &run{number: a.Run, unknown: true, confirmed: true, confirmAt: c.now, stop: true, reason: "closed-run"}
		if job := c.state.Job(a.Task.Job); job != nil && a.Task.Step < len(job.Spec.Steps) {
			stray.size = job.Spec.Steps[a.Task.Step].Size
		}
		w.reserved = w.reserved.Add(stray.size)
		w.runs[a.Task] = stray
		return
	}
	if r.unknown {
		// Its task waits for as long as the worker may run it.
		c.noteLate(w, a.Task, r.number)
	}
	if r.number != a.Run {
		// Another run of the task, which the state has closed. It is stopped
		// with each report until it is gone.
		c.foundStray(w, a)
		if c.mayOrder() {
			c.out.Stops = append(c.out.Stops, Stop{Call: c.callTo(w), Task: a.Task, Run: a.Run})
		}
		return
	}
	if !r.confirmed {
		r.confirmed, r.confirmAt = true, c.now
	}
	r.listed = true
	if a.Checkpoint != "" {
		r.checkpoint = a.Checkpoint
	}
	c.advanced(w, a.Task, r, a.Percent, clock)
}

// foundStray notes a run that the state has closed. Where another run of its
// task is open, the task may be running twice.
func (c *Core) foundStray(w *worker, a ActiveRun) {
	d := Decision{
		Kind: DecisionStray, Job: a.Task.Job, Step: a.Task.Step, Task: a.Task.Index, Run: a.Run, Worker: w.ID, Boot: w.Boot,
	}
	if task := c.state.Task(a.Task); task != nil && task.Open && task.Run != a.Run {
		d.Kind, d.Other = DecisionOverlap, task.Run
	}
	c.decide(d)
}

func (c *Core) takeEnd(w *worker, end ListedEnd) {
	if end.Number <= w.listed {
		return
	}
	w.listed = end.Number
	r := w.runs[end.Task]
	if r == nil || r.unknown || r.number != end.Run {
		c.takeClosedEnd(w, r, end)
		return
	}
	if !r.reported {
		c.runEnded(w, end.Task, r, end.How)
		c.report(w, end.Task, r, end.How, end.Checkpoint, 0)
	}
}

// takeClosedEnd takes the end of a run that the state has closed. Where it still
// counts, it is forgotten by the worker only after its commit.
func (c *Core) takeClosedEnd(w *worker, r *run, end ListedEnd) {
	if r != nil && (r.number != end.Run || r.reported) {
		return
	}
	task := c.state.Task(end.Task)
	switch {
	case task != nil && task.AcceptsLateEnd(end.Run, end.How):
		if r == nil {
			r = &run{number: end.Run, unknown: true}
			w.runs[end.Task] = r
		}
		c.report(w, end.Task, r, end.How, end.Checkpoint, 0)
	case r != nil:
		c.dropRun(w, end.Task, r)
	}
}

// report proposes the end of a run.
func (c *Core) report(w *worker, id workload.TaskID, r *run, how workload.RunEnd, checkpoint string, age time.Duration) {
	r.reported = true
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	c.ends = append(c.ends, workload.EndedRun{Worker: w.ID, Boot: w.Boot, Task: id, Run: r.number, How: how, Checkpoint: checkpoint})
	if how != workload.EndDone {
		c.decide(Decision{
			Kind: DecisionRunEnded, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID,
			Reason: string(how), Age: age,
		})
	}
}

// absent decides on an open run that the worker does not list.
func (c *Core) absent(w *worker, id workload.TaskID, r *run) {
	switch {
	case r.unknown:
		if r.stopped && r.stoppedAt.Before(w.sentAt) {
			c.dropRun(w, id, r)
		}
	case r.confirmed && r.confirmAt.Before(w.sentAt):
		// It was there when the hold left, and its end is not listed.
		c.report(w, id, r, workload.EndLost, "", c.now.Sub(r.confirmAt))
	case !r.own:
		// An earlier leader's order. From this answer on the worker refuses it.
		c.report(w, id, r, workload.EndNeverStarted, "", c.now.Sub(c.started))
	case r.stopped && r.stoppedAt.Before(w.sentAt):
		c.report(w, id, r, workload.EndNeverStarted, "", c.now.Sub(r.stoppedAt))
	}
}
