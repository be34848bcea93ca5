package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Times of calls to workers.
const (
	// retryHold is the wait after a failed hold. A refused connection costs a
	// new one each time, so it is not shorter.
	retryHold    = 250 * time.Millisecond
	retryHoldMax = time.Second
	// retryCall is the wait before a start or a stop without an answer is sent
	// again. The call itself has waited for its own timeout by then.
	retryCall = 50 * time.Millisecond
	// startTries is how often a start is sent before the run is given up.
	startTries = 3
	// leaseMargin covers the time between the reading of a worker's clock and
	// the sending of its answer.
	leaseMargin = 100 * time.Millisecond
	// avoidUnhealthy is how long a worker that refused a start as unhealthy
	// gets nothing new.
	avoidUnhealthy = 2 * time.Second
	// maxListedEnds is the most ends that a worker lists at once.
	maxListedEnds = 500
	// lateOrder is how long a call without an answer may still be carried out:
	// the platform names 12 s.
	lateOrder = 13 * time.Second
	// callMargin is the time that a start needs until the worker has it: a
	// commit over two regions and the way to the worker.
	callMargin = 250 * time.Millisecond
)

// worker is what the leader knows of one boot of a worker.
type worker struct {
	workload.Worker
	reserved workload.Resources // by proposals and advice calls on the way
	room     workload.Resources // left in the plan that is being made

	adopted bool // it has answered a hold of this term
	silent  bool // the last hold failed
	ending  bool // EndBoot was proposed
	holding bool // a hold is on the way
	holdAt  time.Time
	sentAt  time.Time // of the hold on the way
	backoff time.Duration

	clock   int64 // of the worker, in ms, read not after clockAt
	clockAt time.Time
	until   int64 // highest end of the lease that was sent, by the worker's clock

	seen   uint64 // ends up to this number are committed
	listed uint64 // ends up to this number are proposed
	runs   map[workload.TaskID]*run
	// unanswered are the starts that may still be carried out.
	unanswered map[workload.TaskID]unansweredStart
	failedRuns int            // failed runs since the last good one
	failedJob  workload.JobID // of the first of them
	avoid      time.Time      // nothing new before; zero where it is not avoided
	wake       time.Time
}

// unansweredStart is the last start of a task that got no answer.
type unansweredStart struct {
	run workload.RunNumber
	at  time.Time
}

// run is an open run on a worker.
type run struct {
	number     workload.RunNumber
	own        bool // opened in this term
	confirmed  bool // the worker has it
	confirmAt  time.Time
	calling    bool // a start or stop is on the way
	tries      int
	callAt     time.Time // next call
	stop       bool      // to be stopped
	stopped    bool      // the worker has taken the stop
	stoppedAt  time.Time
	reported   bool               // its end is proposed
	unknown    bool               // the state has no such run: it is only stopped
	size       workload.Resources // reserved for an unknown run
	ticket     string
	checkpoint string
	percent    int
	reason     string
}

// follow takes a registered worker over from the state.
func (c *Core) follow(w workload.Worker) {
	known := c.workers[w.ID]
	if known != nil && known.Boot == w.Boot {
		known.Worker = w
		c.wakeAt(known, c.now)
		return
	}
	fresh := &worker{Worker: w, runs: map[workload.TaskID]*run{}, unanswered: map[workload.TaskID]unansweredStart{}, holdAt: c.now, wake: c.now}
	if known != nil {
		fresh.reserved = known.reserved
		for _, r := range known.runs {
			fresh.reserved = fresh.reserved.Sub(r.size)
		}
	} else {
		at, _ := slices.BinarySearch(c.order, w.ID)
		c.order = slices.Insert(c.order, at, w.ID)
	}
	c.workers[w.ID] = fresh
	for _, open := range c.state.Runs(w.ID) {
		r := &run{number: open.Run}
		if job := c.state.Job(open.Task.Job); job.State == workload.JobCancelled || job.State == workload.JobFailed {
			// The earlier leader may not have stopped it.
			r.stop, r.reason = true, "job-"+string(job.State)
		}
		fresh.runs[open.Task] = r
	}
	if known != nil {
		c.refuseOnNewBoot(known, fresh)
	}
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

func (c *Core) followID(id workload.WorkerID) {
	if w, ok := c.state.Worker(id); ok {
		c.follow(w)
	}
}

func (c *Core) registered(id workload.WorkerID, closed []workload.OpenRun) {
	c.followID(id)
	c.settleAll(closed)
}

func (c *Core) wakeAt(w *worker, at time.Time) {
	if w.wake.IsZero() || at.Before(w.wake) {
		w.wake = at
	}
}

// clockNow is the least value that the worker's clock has now.
func (c *Core) clockNow(w *worker) int64 {
	elapsed := c.now.Sub(w.clockAt)
	elapsed -= time.Duration(int64(elapsed) / million * c.opts.ClockLagPPM)
	return w.clock + elapsed.Milliseconds()
}

const million = 1_000_000

// leaseOver reports whether everything that ran on the worker has surely ended.
func (c *Core) leaseOver(w *worker) bool {
	if w.adopted {
		return c.clockNow(w) > w.until+leaseMargin.Milliseconds()
	}
	// An earlier leader sent at most Lease ahead, and ended before this one
	// began.
	return c.now.After(c.started.Add(c.slowest(c.opts.Lease) + leaseMargin))
}

// slowest is how long a slow clock may take for d.
func (c *Core) slowest(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)/(million-c.opts.ClockLagPPM)*c.opts.ClockLagPPM) + time.Millisecond
}

// extend returns the end of the lease to send: Lease from the least time that
// the worker's clock can show now. A worker that does not answer gets no longer
// lease, so that it ends and its runs can be given up.
func (c *Core) extend(w *worker) int64 {
	if !w.adopted {
		return 0
	}
	if w.silent {
		return w.until
	}
	w.until = max(w.until, c.clockNow(w)+c.opts.Lease.Milliseconds())
	return w.until
}

func (c *Core) callTo(w *worker) Call {
	return Call{Worker: w.ID, Boot: w.Boot, Address: w.Address, Token: c.opts.Token}
}

// checkWorkers sends what is due and gives up the boots whose lease is over.
func (c *Core) checkWorkers() {
	for _, id := range c.order {
		w := c.workers[id]
		if w.wake.IsZero() || c.now.Before(w.wake) {
			continue
		}
		w.wake = time.Time{}
		if w.Gone {
			continue
		}
		c.checkWorker(w)
	}
}

func (c *Core) checkWorker(w *worker) {
	if w.silent && !w.ending && (len(w.runs) > 0 || w.Draining) && c.leaseOver(w) {
		// One that had said that it leaves is not called any more.
		c.endBoot(w, "lease", w.Draining)
	}
	if !c.mayOrder() {
		c.wakeAt(w, c.now.Add(retryCall))
		return
	}
	if !w.holding {
		if c.now.Before(w.holdAt) {
			c.wakeAt(w, w.holdAt)
		} else {
			c.hold(w)
		}
	}
	for _, id := range sortedRuns(w.runs) {
		c.checkRun(w, id, w.runs[id])
	}
	if w.silent && (len(w.runs) > 0 || w.Draining) && !w.ending {
		c.wakeAt(w, c.now.Add(retryCall))
	}
}

func sortedRuns(runs map[workload.TaskID]*run) []workload.TaskID {
	ids := make([]workload.TaskID, 0, len(runs))
	for id, r := range runs {
		// Nothing is due for a run that goes on.
		if !r.confirmed || r.stop {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, workload.CompareTasks)
	return ids
}

func (c *Core) hold(w *worker) {
	wait := c.opts.HoldWait
	if !w.adopted || w.silent {
		wait = 0
	}
	w.holding = true
	w.sentAt = c.now
	c.out.Holds = append(c.out.Holds, Hold{Call: c.callTo(w), Until: c.extend(w), Seen: w.seen, Wait: wait})
}

// endBoot proposes the end of a boot, with the progress heard so far.
func (c *Core) endBoot(w *worker, reason string, left bool) {
	w.ending = true
	command := workload.EndBoot{Worker: w.ID, Boot: w.Boot, Left: left}
	for _, open := range c.state.Runs(w.ID) {
		if r := w.runs[open.Task]; r != nil && r.checkpoint != "" {
			command.Checkpoints = append(command.Checkpoints, workload.SavedProgress{Task: open.Task, Run: open.Run, Checkpoint: r.checkpoint})
		}
	}
	c.decide(Decision{Kind: DecisionBootEnded, Worker: w.ID, Reason: reason, Count: len(w.runs), Age: c.age(w)})
	c.propose(&proposal{command: workload.Command{EndBoot: &command}})
}

// age is how long ago the worker was last heard.
func (c *Core) age(w *worker) time.Duration {
	if w.clockAt.IsZero() {
		return c.now.Sub(c.started)
	}
	return c.now.Sub(w.clockAt)
}

func (c *Core) bootEnded(ended workload.EndBoot, closed []workload.OpenRun) {
	w := c.workers[ended.Worker]
	if w == nil || w.Boot != ended.Boot {
		return
	}
	w.ending = false
	for _, r := range w.runs {
		w.reserved = w.reserved.Sub(r.size)
	}
	w.runs = map[workload.TaskID]*run{}
	c.followID(ended.Worker)
	c.settleAll(closed)
}

// HoldAnswered takes the answer to a Hold. sent is when the hold left.
func (c *Core) HoldAnswered(now time.Time, call Call, report Report) {
	c.advance(now)
	w := c.workers[call.Worker]
	if w == nil || w.Boot != call.Boot {
		return
	}
	w.holding = false
	c.wakeAt(w, c.now)
	if report.Outcome == OutcomeOK && report.Boot > w.Boot {
		report.Outcome = OutcomeOtherBoot
	}
	if report.Outcome != OutcomeOK {
		c.holdFailed(w, report.Outcome)
		return
	}
	c.heard(w, report.Clock)
	first := !w.adopted
	w.adopted = true
	if first {
		c.decide(Decision{Kind: DecisionAdopted, Worker: w.ID, Count: len(w.runs), Age: c.now.Sub(c.started)})
		c.changed = true
	}
	if w.silent {
		w.silent = false
		c.changed = true
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

func (c *Core) holdFailed(w *worker, outcome Outcome) {
	switch outcome {
	case OutcomeFenced:
		c.fence(w)
		return
	case OutcomeOtherBoot:
		if !w.ending {
			c.endBoot(w, "other-boot", true)
		}
	}
	if !w.silent {
		w.silent = true
		c.decide(Decision{Kind: DecisionSilent, Worker: w.ID, Reason: outcome.String(), Count: len(w.runs), Age: c.age(w)})
	}
	w.backoff = min(max(2*w.backoff, retryHold), retryHoldMax)
	w.holdAt = c.now.Add(w.backoff)
	c.wakeAt(w, w.holdAt)
}

func (c *Core) fence(w *worker) {
	if c.fenced {
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
		c.takeActive(w, a)
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
		if a, there := active[id]; there && a.Run == r.number || r.reported {
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
	slices.SortFunc(ids, workload.CompareTasks)
	return ids
}

func (c *Core) takeActive(w *worker, a ActiveRun) {
	r := w.runs[a.Task]
	if r == nil {
		// The state has closed the run: the worker must not go on with it.
		stray := &run{number: a.Run, unknown: true, confirmed: true, confirmAt: c.now, stop: true, reason: "closed-run"}
		if job := c.state.Job(a.Task.Job); job != nil && a.Task.Step < len(job.Spec.Steps) {
			stray.size = job.Spec.Steps[a.Task.Step].Size
		}
		w.reserved = w.reserved.Add(stray.size)
		w.runs[a.Task] = stray
		return
	}
	if r.number != a.Run {
		// Another run of the task, which the state has closed. It is stopped
		// with each report until it is gone.
		if c.mayOrder() {
			c.out.Stops = append(c.out.Stops, Stop{Call: c.callTo(w), Task: a.Task, Run: a.Run})
		}
		return
	}
	if !r.confirmed {
		r.confirmed, r.confirmAt = true, c.now
	}
	r.percent = a.Percent
	if a.Checkpoint != "" {
		r.checkpoint = a.Checkpoint
	}
}

func (c *Core) takeEnd(w *worker, end ListedEnd) {
	if end.Number <= w.listed {
		return
	}
	w.listed = end.Number
	r := w.runs[end.Task]
	if r == nil || r.number != end.Run {
		return
	}
	if r.unknown {
		c.dropStray(w, end.Task, r)
		return
	}
	if !r.reported {
		c.runEnded(w, end.Task.Job, end.How)
		c.report(w, end.Task, r, end.How, end.Checkpoint, 0)
	}
}

// report proposes the end of a run.
func (c *Core) report(w *worker, id workload.TaskID, r *run, how workload.RunEnd, checkpoint string, age time.Duration) {
	r.reported = true
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	c.ends = append(c.ends, workload.Ending{Worker: w.ID, Boot: w.Boot, Task: id, Run: r.number, How: how, Checkpoint: checkpoint})
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
		if !r.stop || r.stopped {
			c.dropStray(w, id, r)
		}
	case r.confirmed && r.confirmAt.Before(w.sentAt):
		// It was there when the hold left, and its end is not listed.
		c.report(w, id, r, workload.EndLost, "", c.now.Sub(r.confirmAt))
	case !r.own:
		// An earlier leader's order. From this answer on the worker refuses it.
		c.report(w, id, r, workload.EndNever, "", c.now.Sub(c.started))
	case r.stopped && r.stoppedAt.Before(w.sentAt):
		c.report(w, id, r, workload.EndNever, "", c.now.Sub(r.stoppedAt))
	}
}

// checkRun sends the start or the stop that is due.
func (c *Core) checkRun(w *worker, id workload.TaskID, r *run) {
	if r.calling || r.reported || r.stopped {
		return
	}
	if c.now.Before(r.callAt) {
		c.wakeAt(w, r.callAt)
		return
	}
	switch {
	case r.stop:
		r.calling = true
		c.decide(Decision{Kind: DecisionStop, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: r.reason})
		c.out.Stops = append(c.out.Stops, Stop{Call: c.callTo(w), Task: id, Run: r.number})
	case r.own && !r.confirmed:
		job := c.state.Job(id.Job)
		if job == nil {
			return
		}
		if w.Draining {
			c.withdraw(w, id, r)
			return
		}
		r.calling = true
		r.tries++
		c.out.Starts = append(c.out.Starts, Start{
			Call: c.callTo(w), Task: id, Run: r.number, Until: c.extend(w), Payload: job.Spec.Payload,
			Checkpoint: job.Steps[id.Step].Tasks[id.Index].Checkpoint, Ticket: r.ticket,
		})
	}
}

// withdraw closes a run on a worker that leaves before the run has begun.
func (c *Core) withdraw(w *worker, id workload.TaskID, r *run) {
	if r.tries > 0 {
		c.stopRun(w, r, "draining")
		return
	}
	c.report(w, id, r, workload.EndNever, "", 0)
}

// StartAnswered takes the answer to a Start.
func (c *Core) StartAnswered(now time.Time, start Start, outcome Outcome, clock int64) {
	c.advance(now)
	w := c.workers[start.Worker]
	if w == nil || w.Boot != start.Boot {
		return
	}
	c.wakeAt(w, c.now)
	if clock > 0 {
		c.heard(w, clock)
	}
	if outcome == OutcomeNoAnswer {
		c.noteUnanswered(w, start)
	}
	r := w.runs[start.Task]
	if r == nil || r.number != start.Run {
		return
	}
	r.calling = false
	if r.confirmed || r.reported {
		return
	}
	switch outcome {
	case OutcomeOK:
		r.confirmed, r.confirmAt = true, c.now
	case OutcomeFenced:
		c.fence(w)
	case OutcomeOtherBoot:
		if !w.ending {
			c.endBoot(w, "other-boot", true)
		}
	case OutcomeNoAnswer, OutcomeNotSent, OutcomeLate:
		r.callAt = c.now.Add(retryCall)
		if r.tries >= startTries {
			c.avoidWorker(w, "no-answer", avoidUnhealthy)
			c.stopRun(w, r, "no-answer")
		}
	case OutcomeOld:
		// It has ended there, or will be listed as ended; if neither, the stop
		// settles it.
		c.stopRun(w, r, "old")
	default:
		c.startRefused(w, start.Task, r, outcome)
	}
}

// startRefused closes a run that the worker has not begun. An earlier try
// without an answer could still begin it, so that one is stopped first.
func (c *Core) startRefused(w *worker, id workload.TaskID, r *run, outcome Outcome) {
	if outcome == OutcomeUnhealthy || outcome == OutcomeRefused {
		c.avoidWorker(w, outcome.String(), avoidUnhealthy)
	}
	if r.tries > 1 {
		c.stopRun(w, r, outcome.String())
		return
	}
	c.decide(Decision{
		Kind: DecisionRefused, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: outcome.String(),
	})
	c.report(w, id, r, workload.EndNever, "", 0)
	if outcome == OutcomeBadTicket {
		c.dropTickets(id.StepOf())
	}
}

func (c *Core) stopRun(w *worker, r *run, reason string) {
	if r.stop {
		return
	}
	r.stop, r.reason = true, reason
	r.callAt = c.now
	c.wakeAt(w, c.now)
}

// StopAnswered takes the answer to a Stop.
func (c *Core) StopAnswered(now time.Time, stop Stop, outcome Outcome, clock int64) {
	c.advance(now)
	w := c.workers[stop.Worker]
	if w == nil || w.Boot != stop.Boot {
		return
	}
	c.wakeAt(w, c.now)
	if clock > 0 {
		c.heard(w, clock)
	}
	r := w.runs[stop.Task]
	if r == nil || r.number != stop.Run {
		return
	}
	r.calling = false
	switch outcome {
	case OutcomeOK:
		r.stopped, r.stoppedAt = true, c.now
	case OutcomeFenced:
		c.fence(w)
	case OutcomeOtherBoot:
		if !w.ending {
			c.endBoot(w, "other-boot", true)
		}
	default:
		r.callAt = c.now.Add(retryCall)
	}
}
