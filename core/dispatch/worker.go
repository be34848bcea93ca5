package dispatch

import (
	"cmp"
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
	// again. The call itself has waited for its own timeout by then. For a stop it
	// doubles up to retryStopMax: a worker that has gone refuses each connection
	// until its lease is over.
	retryCall    = 50 * time.Millisecond
	retryStopMax = time.Second
	// startTries is how often a start is sent before the run is given up.
	startTries = 3
	// firstStartTimeout bounds the first try of a start, startTimeout the others.
	// The longest way is 16 ms both ways and a busy worker answers within 100 ms;
	// the others may wait for a leader that is short of processor.
	firstStartTimeout = 200 * time.Millisecond
	startTimeout      = 400 * time.Millisecond
	// shortHoldWait is how long a worker may wait for an end while answers are
	// lost, because an end is heard only with the next answer, after the wait and
	// a time-out; before it leaves, because the progress of its runs decides
	// whether they stay; and while it ends runs that the state has closed, because
	// their tasks wait for that.
	shortHoldWait = 200 * time.Millisecond
	// lossyTime is how long answers count as being lost after one was.
	lossyTime = 2 * time.Second
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
	expected workload.Resources // that steps whose first advice call is on the way will probably take

	adopted bool // it has answered a hold of this term
	silent  bool // the last hold failed
	ending  bool // EndBoot was proposed
	// restarted says that a later boot has answered.
	restarted bool
	holding   bool // a hold is on the way
	holdAt    time.Time
	sentAt    time.Time // of the hold on the way
	// endedBoots counts the boots of the id that have ended, as far as this leader
	// knows, and fenced says that the worker has answered a call with that token.
	endedBoots uint64
	fenced     bool
	// provenAt is when the last hold left that this boot has answered.
	provenAt time.Time
	backoff  time.Duration

	clock   int64 // of the worker, in ms, read not after clockAt
	clockAt time.Time
	until   int64 // highest end of the lease that was sent, by the worker's clock

	seen   uint64 // ends up to this number are committed
	listed uint64 // ends up to this number are proposed
	runs   map[workload.TaskID]*run
	// late are the starts that this boot, or a later one, may still carry out.
	late      map[workload.TaskID]bool
	speed     float64        // of its runs, against others of the same step
	evidence  float64        // that runs fail because of the worker, 0 for none
	failedJob workload.JobID // of the last run that failed
	// timesAvoided counts how often it was avoided as failing since the evidence
	// was last 0.
	timesAvoided int
	avoid        time.Time // nothing new before; zero where it is not avoided
	leavesAt     time.Time // at the earliest; zero where it has not said
	wake         time.Time
}

// run is an open run on a worker.
type run struct {
	number     workload.RunNumber
	own        bool // opened in this term
	confirmed  bool // the worker has it
	confirmAt  time.Time
	listed     bool // a report of the boot has named it
	calling    bool // a start or stop is on the way
	starting   bool // a start is on the way
	tries      int
	callAt     time.Time     // next call
	stop       bool          // to be stopped
	stopWait   time.Duration // before the next stop
	stopped    bool          // the worker has taken the stop
	stoppedAt  time.Time
	reported   bool               // its end is proposed
	unknown    bool               // the state has no such run: it is only stopped
	size       workload.Resources // reserved for an unknown run
	ticket     string
	checkpoint string
	reason     string
	seen       progress // in the first report that listed it
	first      progress // when it had advanced for the first time
	last       progress // in the latest report, below 100 percent
}

// follow takes a registered worker over from the state.
func (c *Core) follow(w workload.Worker) {
	c.registrations++
	known := c.workers[w.ID]
	if known != nil && known.Boot == w.Boot {
		known.Worker = w
		c.noteLeave(known)
		c.wakeAt(known, c.now)
		return
	}
	fresh := &worker{Worker: w, runs: map[workload.TaskID]*run{}, late: map[workload.TaskID]bool{}, holdAt: c.now, speed: 1}
	if known != nil {
		fresh.reserved, fresh.expected = known.reserved, known.expected
		for _, r := range known.runs {
			fresh.reserved = fresh.reserved.Sub(r.size)
		}
	}
	at, listed := slices.BinarySearchFunc(c.list, w.ID, func(w *worker, id workload.WorkerID) int { return cmp.Compare(w.ID, id) })
	if listed {
		c.list[at] = fresh
	} else {
		c.list = slices.Insert(c.list, at, fresh)
	}
	c.workers[w.ID] = fresh
	c.noteLeave(fresh)
	c.wakeAt(fresh, c.now)
	for _, open := range c.state.OpenRuns(w.ID) {
		r := &run{number: open.Run}
		if job := c.state.Job(open.Task.Job); job.State == workload.JobCancelled || job.State == workload.JobFailed {
			// The earlier leader may not have stopped it.
			r.stop, r.reason = true, "job-"+string(job.State)
		}
		fresh.runs[open.Task] = r
	}
	if known != nil {
		known.restarted = true
		c.noteEndedBoot(known)
		c.inherit(known, fresh)
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
	return Call{Worker: w.ID, Boot: w.Boot, Address: w.Address, Token: c.token(w)}
}

// checkWorkers sends what is due and gives up the boots whose lease is over.
func (c *Core) checkWorkers() {
	for _, w := range c.dueWorkers() {
		if !w.Gone {
			c.checkWorker(w)
		}
	}
}

func (c *Core) checkWorker(w *worker) {
	c.checkAvoided(w)
	if w.silent && !w.ending && (w.hasOpen() || w.Draining) && c.leaseOver(w) {
		// One that had said that it leaves is not called any more.
		c.endBoot(w, endLease, w.Draining)
	}
	if !c.mayOrder() {
		c.wakeAt(w, c.now.Add(retryCall))
		return
	}
	c.moveLeaving(w)
	if !w.holding {
		if c.now.Before(w.holdAt) {
			c.wakeAt(w, w.holdAt)
		} else {
			c.hold(w)
		}
	}
	if !w.ending {
		for _, id := range sortedRuns(w.runs) {
			c.checkRun(w, id, w.runs[id])
		}
	}
	if w.silent && (w.hasOpen() || w.Draining) && !w.ending {
		c.wakeAt(w, c.now.Add(retryCall))
	}
}

// hasOpen reports whether the state has an open run on the worker.
func (w *worker) hasOpen() bool {
	for _, r := range w.runs {
		if !r.unknown {
			return true
		}
	}
	return false
}

func sortedRuns(runs map[workload.TaskID]*run) []workload.TaskID {
	ids := make([]workload.TaskID, 0, len(runs))
	for id, r := range runs {
		// Nothing is due for a run that goes on.
		if !r.confirmed || r.stop {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, workload.CompareTaskIDs)
	return ids
}

func (c *Core) hold(w *worker) {
	wait := c.opts.HoldWait
	switch {
	case !w.adopted || w.silent:
		wait = 0
	case (c.now.Before(c.lossyUntil) || !w.leavesAt.IsZero()) && len(w.runs) > 0, w.endsClosed():
		wait = min(wait, shortHoldWait)
	}
	w.holding = true
	w.sentAt = c.now
	c.out.Holds = append(c.out.Holds, Hold{Call: c.callTo(w), Until: c.extend(w), Seen: w.seen, Wait: wait})
}

// Reasons of the end of a boot.
const (
	endLease     = "lease"      // its lease is over
	endLaterBoot = "later-boot" // a later boot has answered
	endOtherBoot = "other-boot" // another worker has answered at its address
)

// endBoot proposes the end of a boot, once, with the progress heard so far. left
// says that it will not come back.
func (c *Core) endBoot(w *worker, reason string, left bool) {
	if w.ending {
		return
	}
	w.ending = true
	command := workload.EndBoot{Worker: w.ID, Boot: w.Boot, Permanent: left, Replaced: reason == endOtherBoot}
	for _, open := range c.state.OpenRuns(w.ID) {
		r := w.runs[open.Task]
		switch {
		case r == nil:
		case r.checkpoint != "":
			command.Checkpoints = append(command.Checkpoints, workload.TaskCheckpoint{Task: open.Task, Run: open.Run, Checkpoint: r.checkpoint})
		case r.own && !r.confirmed:
			command.UnconfirmedRuns = append(command.UnconfirmedRuns, open.Task)
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
	if ended.Replaced {
		c.forgetAllLate(w)
	} else {
		c.noteEndedBoot(w)
	}
	for _, r := range w.runs {
		w.reserved = w.reserved.Sub(r.size)
	}
	w.runs = map[workload.TaskID]*run{}
	w.raiseToken()
	c.followID(ended.Worker)
	c.settleAll(closed)
}
