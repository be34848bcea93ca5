package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Times of calls to workers.
const (
	// holdRetryDelay is the wait after a failed hold. A refused connection costs a
	// new one each time, so it is not shorter.
	holdRetryDelay    = 250 * time.Millisecond
	maxHoldRetryDelay = time.Second
	// callRetryDelay is the wait before a start or a stop without an answer is sent
	// again. The call itself has waited for its own timeout by then. For a stop it
	// doubles up to retryStopMax: a worker that has gone refuses each connection
	// until its lease is over.
	callRetryDelay    = 50 * time.Millisecond
	maxStopRetryDelay = time.Second
	// maxStartAttempts is how often a start is sent before the run is given up.
	maxStartAttempts = 3
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
	// answerLossPeriod is how long answers count as being lost after one was.
	answerLossPeriod = 2 * time.Second
	// leaseMargin covers the time between the reading of a worker's clock and
	// the sending of its answer.
	leaseMargin = 100 * time.Millisecond
	// unhealthyAvoidance is how long a worker that refused a start as unhealthy
	// gets nothing new.
	unhealthyAvoidance = 2 * time.Second
	// maxListedEnds is the most ends that a worker lists at once.
	maxListedEnds = 500
	// maxCallDelay is how long a call without an answer may still be carried out:
	// the platform names 12 s.
	maxCallDelay = 13 * time.Second
	// startDeliveryMargin is the time that a start needs until the worker has it: a
	// commit over two regions and the way to the worker.
	startDeliveryMargin = 250 * time.Millisecond
)

// worker is what the leader knows of one boot of a worker.
type worker struct {
	workload.Worker
	reserved    workload.Resources // by proposals and advice calls on the way
	freeInPlan  workload.Resources // left in the plan that is being made
	expectedUse workload.Resources // that steps whose first advice call is on the way will probably take

	adopted         bool // it has answered a hold of this term
	unresponsive    bool // the last hold failed
	bootEndProposed bool // EndBoot was proposed
	// laterBootSeen says that a later boot has answered.
	laterBootSeen bool
	holdInFlight  bool // a hold is on the way
	nextHoldAt    time.Time
	holdSentAt    time.Time // of the hold on the way
	// endedBoots counts the boots of the id that have ended, as far as this leader
	// knows, and fenced says that the worker has answered a call with that token.
	endedBoots    uint64
	tokenAccepted bool
	// answeredHoldSentAt is when the last hold left that this boot has answered.
	answeredHoldSentAt time.Time
	holdBackoff        time.Duration

	clockMillis int64 // of the worker, in ms, read not after clockAt
	clockReadAt time.Time
	leaseUntil  int64 // highest end of the lease that was sent, by the worker's clock

	ackedEnd       uint64 // ends up to this number are committed
	lastHandledEnd uint64 // ends up to this number are proposed
	runs           map[workload.TaskID]*run
	// inDoubtTasks are the starts that this boot, or a later one, may still carry out.
	inDoubtTasks    map[workload.TaskID]bool
	speed           float64        // of its runs, against others of the same step
	failureEvidence float64        // that runs fail because of the worker, 0 for none
	lastFailedJob   workload.JobID // of the last run that failed
	// timesAvoided counts how often it was avoided as failing since the evidence
	// was last 0.
	timesAvoided int
	avoidUntil   time.Time // nothing new before; zero where it is not avoided
	leavesAt     time.Time // at the earliest; zero where it has not said
	nextWake     time.Time
}

// run is an open run on a worker.
type run struct {
	number         workload.RunNumber
	openedThisTerm bool // opened in this term
	confirmed      bool // the worker has it
	confirmedAt    time.Time
	listedByWorker bool // a report of the boot has named it
	callInFlight   bool // a start or stop is on the way
	startInFlight  bool // a start is on the way
	startAttempts  int
	nextCallAt     time.Time     // next call
	stopRequested  bool          // to be stopped
	stopBackoff    time.Duration // before the next stop
	stopAcked      bool          // the worker has taken the stop
	stopAckedAt    time.Time
	endProposed    bool               // its end is proposed
	closedInState  bool               // the state has no such run: it is only stopped
	reservedSize   workload.Resources // reserved for an unknown run
	ticket         string
	checkpoint     string
	stopReason     string
	firstReport    progress // in the first report that listed it
	firstAdvance   progress // when it had advanced for the first time
	latestReport   progress // in the latest report, below 100 percent
}

// updateWorker takes a registered worker over from the state.
func (c *Core) updateWorker(w workload.Worker) {
	c.registrations++
	known := c.workers[w.ID]
	if known != nil && known.Boot == w.Boot {
		known.Worker = w
		c.updateLeaveTime(known)
		c.scheduleWake(known, c.now)
		return
	}
	fresh := &worker{Worker: w, runs: map[workload.TaskID]*run{}, inDoubtTasks: map[workload.TaskID]bool{}, nextHoldAt: c.now, speed: 1}
	if known != nil {
		fresh.reserved, fresh.expectedUse = known.reserved, known.expectedUse
		for _, r := range known.runs {
			fresh.reserved = fresh.reserved.Sub(r.reservedSize)
		}
	}
	at, listed := slices.BinarySearchFunc(c.sortedWorkers, w.ID, func(w *worker, id workload.WorkerID) int { return cmp.Compare(w.ID, id) })
	if listed {
		c.sortedWorkers[at] = fresh
	} else {
		c.sortedWorkers = slices.Insert(c.sortedWorkers, at, fresh)
	}
	c.workers[w.ID] = fresh
	c.updateLeaveTime(fresh)
	c.scheduleWake(fresh, c.now)
	for _, open := range c.state.Runs(w.ID) {
		r := &run{number: open.Run}
		if job := c.state.Job(open.Task.Job); job.State == workload.JobCancelled || job.State == workload.JobFailed {
			// The earlier leader may not have stopped it.
			r.stopRequested, r.stopReason = true, "job-"+string(job.State)
		}
		fresh.runs[open.Task] = r
	}
	if known != nil {
		known.laterBootSeen = true
		c.recordStartsOfEndedBoot(known)
		c.transferInDoubtStarts(known, fresh)
	}
}

func (c *Core) updateWorkerByID(id workload.WorkerID) {
	if w, ok := c.state.Worker(id); ok {
		c.updateWorker(w)
	}
}

func (c *Core) workerRegistered(id workload.WorkerID, closed []workload.OpenRun) {
	c.updateWorkerByID(id)
	c.updateJobsOf(closed)
}

// minWorkerClock is the least value that the worker's clock has now.
func (c *Core) minWorkerClock(w *worker) int64 {
	elapsed := c.now.Sub(w.clockReadAt)
	elapsed -= time.Duration(int64(elapsed) / million * c.opts.ClockLagPPM)
	return w.clockMillis + elapsed.Milliseconds()
}

const million = 1_000_000

// leaseExpired reports whether everything that ran on the worker has surely ended.
func (c *Core) leaseExpired(w *worker) bool {
	if w.adopted {
		return c.minWorkerClock(w) > w.leaseUntil+leaseMargin.Milliseconds()
	}
	// An earlier leader sent at most Lease ahead, and ended before this one
	// began.
	return c.now.After(c.startedAt.Add(c.slowClockDuration(c.opts.Lease) + leaseMargin))
}

// slowClockDuration is how long a slow clock may take for d.
func (c *Core) slowClockDuration(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)/(million-c.opts.ClockLagPPM)*c.opts.ClockLagPPM) + time.Millisecond
}

// extendLease returns the end of the lease to send: Lease from the least time that
// the worker's clock can show now. A worker that does not answer gets no longer
// lease, so that it ends and its runs can be given up.
func (c *Core) extendLease(w *worker) int64 {
	if !w.adopted {
		return 0
	}
	if w.unresponsive {
		return w.leaseUntil
	}
	w.leaseUntil = max(w.leaseUntil, c.minWorkerClock(w)+c.opts.Lease.Milliseconds())
	return w.leaseUntil
}

func (c *Core) callTo(w *worker) Call {
	return Call{Worker: w.ID, Boot: w.Boot, Address: w.Address, Token: c.token(w)}
}

// processDueWorkers sends what is due and gives up the boots whose lease is over.
func (c *Core) processDueWorkers() {
	for _, w := range c.dueWorkers() {
		if !w.Gone {
			c.processWorker(w)
		}
	}
}

func (c *Core) processWorker(w *worker) {
	c.endAvoidance(w)
	if w.unresponsive && !w.bootEndProposed && (w.hasOpenRuns() || w.Draining) && c.leaseExpired(w) {
		// One that had said that it leaves is not called any more.
		c.proposeBootEnd(w, bootEndLeaseExpired, w.Draining)
	}
	if !c.mayCallWorkers() {
		c.scheduleWake(w, c.now.Add(callRetryDelay))
		return
	}
	c.stopRunsBeforeLeave(w)
	if !w.holdInFlight {
		if c.now.Before(w.nextHoldAt) {
			c.scheduleWake(w, w.nextHoldAt)
		} else {
			c.sendHold(w)
		}
	}
	if !w.bootEndProposed {
		for _, id := range runsNeedingCalls(w.runs) {
			c.sendDueCall(w, id, w.runs[id])
		}
	}
	if w.unresponsive && (w.hasOpenRuns() || w.Draining) && !w.bootEndProposed {
		c.scheduleWake(w, c.now.Add(callRetryDelay))
	}
}

// hasOpenRuns reports whether the state has an open run on the worker.
func (w *worker) hasOpenRuns() bool {
	for _, r := range w.runs {
		if !r.closedInState {
			return true
		}
	}
	return false
}

func runsNeedingCalls(runs map[workload.TaskID]*run) []workload.TaskID {
	ids := make([]workload.TaskID, 0, len(runs))
	for id, r := range runs {
		// Nothing is due for a run that goes on.
		if !r.confirmed || r.stopRequested {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, workload.CompareTasks)
	return ids
}

func (c *Core) sendHold(w *worker) {
	wait := c.opts.HoldWait
	switch {
	case !w.adopted || w.unresponsive:
		wait = 0
	case (c.now.Before(c.answerLossUntil) || !w.leavesAt.IsZero()) && len(w.runs) > 0, w.hasClosedRuns():
		wait = min(wait, shortHoldWait)
	}
	w.holdInFlight = true
	w.holdSentAt = c.now
	c.pendingEffects.Holds = append(c.pendingEffects.Holds, Hold{Call: c.callTo(w), Until: c.extendLease(w), Seen: w.ackedEnd, Wait: wait})
}

// Reasons of the end of a boot.
const (
	bootEndLeaseExpired = "lease"      // its lease is over
	bootEndLaterBoot    = "later-boot" // a later boot has answered
	bootEndOtherWorker  = "other-boot" // another worker has answered at its address
)

// proposeBootEnd proposes the end of a boot, once, with the progress heard so far. left
// says that it will not come back.
func (c *Core) proposeBootEnd(w *worker, reason string, left bool) {
	if w.bootEndProposed {
		return
	}
	w.bootEndProposed = true
	command := workload.EndBoot{Worker: w.ID, Boot: w.Boot, Left: left, Replaced: reason == bootEndOtherWorker}
	for _, open := range c.state.Runs(w.ID) {
		r := w.runs[open.Task]
		switch {
		case r == nil:
		case r.checkpoint != "":
			command.Checkpoints = append(command.Checkpoints, workload.SavedProgress{Task: open.Task, Run: open.Run, Checkpoint: r.checkpoint})
		case r.openedThisTerm && !r.confirmed:
			command.Unheard = append(command.Unheard, open.Task)
		}
	}
	c.recordDecision(Decision{Kind: DecisionBootEnded, Worker: w.ID, Reason: reason, Count: len(w.runs), Age: c.timeSinceAnswer(w)})
	c.propose(&proposal{command: workload.Command{EndBoot: &command}})
}

// timeSinceAnswer is how long ago the worker was last heard.
func (c *Core) timeSinceAnswer(w *worker) time.Duration {
	if w.clockReadAt.IsZero() {
		return c.now.Sub(c.startedAt)
	}
	return c.now.Sub(w.clockReadAt)
}

func (c *Core) bootEndCommitted(ended workload.EndBoot, closed []workload.OpenRun) {
	w := c.workers[ended.Worker]
	if w == nil || w.Boot != ended.Boot {
		return
	}
	w.bootEndProposed = false
	if ended.Replaced {
		c.removeInDoubtStartsOn(w)
	} else {
		c.recordStartsOfEndedBoot(w)
	}
	for _, r := range w.runs {
		w.reserved = w.reserved.Sub(r.reservedSize)
	}
	w.runs = map[workload.TaskID]*run{}
	w.raiseToken()
	c.updateWorkerByID(ended.Worker)
	c.updateJobsOf(closed)
}
