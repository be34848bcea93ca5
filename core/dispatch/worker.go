package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/runtimes"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Timeouts, delays and limits of calls to workers.
const (
	// holdRetryDelay is the initial delay after a failed hold. It is not shorter because each
	// refused connection costs a new one.
	holdRetryDelay    = 250 * time.Millisecond
	maxHoldRetryDelay = time.Second
	// callRetryDelay is the delay before an unanswered start or stop is sent again, after the call
	// itself has timed out. For a stop the delay doubles up to maxStopRetryDelay, because a worker
	// that is gone refuses every connection until its lease has expired.
	callRetryDelay    = 50 * time.Millisecond
	maxStopRetryDelay = time.Second
	// maxStartAttempts is how often a start is sent before the run is given up.
	maxStartAttempts = 3
	// firstStartTimeout applies to the first attempt of a start, startTimeout to later ones. The
	// round trip takes up to 16 ms and a busy worker answers within 100 ms. Later attempts wait
	// longer, because the leader itself may be short of CPU time.
	firstStartTimeout = 200 * time.Millisecond
	startTimeout      = 400 * time.Millisecond
	// maxStartWait is how long a run without an answered start waits before it is given up. It covers
	// maxStartAttempts starts without an answer.
	maxStartWait = firstStartTimeout + 2*startTimeout + 2*callRetryDelay
	// shortHoldWait limits how long a worker may delay the answer to a hold in three cases. While
	// answers get lost, an end is received only with the next answer, after the wait and a timeout.
	// Before the worker leaves, the progress of its runs decides whether they can stay. While it
	// ends runs that are closed in the state, their tasks wait for those runs to end.
	shortHoldWait = 200 * time.Millisecond
	// answerLossPeriod is how long answers are assumed to get lost after one was lost.
	answerLossPeriod = 2 * time.Second
	// minLeaseLeft is how much of its lease a worker has left at least when a hold without a lease end is
	// sent. It covers the wait for the answer to that hold and a repetition.
	minLeaseLeft = 2500 * time.Millisecond
	// leaseMargin covers the time between a worker reading its clock and sending the answer.
	leaseMargin = 100 * time.Millisecond
	// unhealthyAvoidance is how long a worker is avoided after it refused a start as unhealthy or
	// did not answer one.
	unhealthyAvoidance = 2 * time.Second
	// lateAnswersPeriod is how long answers are assumed to arrive late after one has. It covers the longest
	// lease of a worker and the holds before its end.
	lateAnswersPeriod = 10 * time.Second
	// maxListedEnds is the maximum number of ends that a worker reports at once.
	maxListedEnds = 500
	// maxCallDelay is how long an unanswered call may still be carried out. The platform specifies
	// 12 s.
	maxCallDelay = 13 * time.Second
)

// worker is the leader's view of one boot of a worker.
type worker struct {
	workload.Worker
	laterWorker *worker // the next boot under the same ID, nil if there is none
	// reserved is the sum of the reservations for proposals, for advice calls and for runs that are
	// closed in the state.
	reserved     workload.Resources
	freeInPlan   workload.Resources // free resources that remain in the current plan
	usableInPlan uint64             // number of the last plan in which the worker could take runs
	expectedUse  workload.Resources // expected use by steps whose first advice call is in flight
	// uncommittedBound is an upper bound of the uncommitted processors in the current plan, in millicores.
	uncommittedBound int64

	answeredThisTerm bool // the worker has answered a hold in this term
	unresponsive     bool // the last hold failed
	bootEndProposed  bool // an EndBoot command has been proposed
	holdInFlight     bool // a hold is in flight
	// firstHoldInFlight is true while the hold in flight is the first one of this leader.
	firstHoldInFlight bool
	nextHoldAt        time.Time
	holdSentAt        time.Time // send time of the hold in flight
	// holdAnsweredAt is when the last hold was answered, and holdGap the time from then until the hold in
	// flight was sent. A run that has ended in this time is reported later than it ended.
	holdAnsweredAt time.Time
	holdGap        time.Duration
	// tokenCount increases with each ended boot of this worker ID that this leader knows of, and with
	// starts that are to be carried out before earlier calls. tokenAccepted is true after the worker has
	// answered a call with bootToken, the first token after the last ended boot, or a higher one.
	tokenCount    uint64
	bootToken     uint64
	tokenAccepted bool
	// laterBoot is the latest boot that has answered a hold for this one, 0 if there is none. It is
	// called with fenceToken or a higher token until it has answered such a call, or until fenceUntil,
	// when no late call for this boot can be carried out any more.
	laterBoot  workload.Boot
	fenceToken uint64
	fenceUntil time.Time
	// answeredHoldSentAt is the send time of the last hold that this boot has answered.
	answeredHoldSentAt time.Time
	// startUnansweredAt is when a start to this boot was last found to have no answer.
	startUnansweredAt time.Time
	holdBackoff       time.Duration
	// lateAnswerUntil is until when an answer to an unanswered hold may arrive that was sent before the lease
	// expired.
	lateAnswerUntil time.Time
	answeredLateAt  time.Time // when a late answer to a hold was last read

	clockMillis int64 // the worker's clock, read at clockReadAt or earlier
	clockReadAt time.Time
	leaseUntil  int64 // latest lease end that was sent, by the worker's clock, in ms
	// acceptedLease is the latest lease end in a call that was answered, by the worker's clock, in ms.
	acceptedLease int64
	// leaseCalls are the calls with a lease end that a later boot may have carried out or may still carry
	// out, sorted by their latest execution.
	leaseCalls []leaseCall

	ackedEnd       uint64 // ends up to this number are committed, so the worker may forget them
	ackSent        uint64 // acknowledgement in the hold in flight
	ackAnswered    uint64 // highest acknowledgement in a hold that was answered
	lastHandledEnd uint64 // ends up to this number have been processed
	endsListFull   bool   // the last answered hold may not have listed all ends
	// proposedLateEnds are ends that were proposed while another run of the task is known here, or another
	// end of the run was proposed.
	proposedLateEnds map[workload.TaskID]lateEnd
	runs             map[workload.TaskID]*run
	// inDoubtTasks are the tasks with a start that this boot, or a later one, may still carry out.
	inDoubtTasks map[workload.TaskID]bool
	speed        runtimes.Speed // speed of its runs, of which only the relation to other workers counts
	// slowUntil is until when the worker counts as slow, and slowedBy the run that showed it last.
	slowUntil time.Time
	slowedBy  *run
	// failureEvidence is the log-likelihood ratio of the assumption that the worker causes its runs
	// to fail; 0 means no evidence.
	failureEvidence float64
	lastFailedJob   workload.JobID // job of the last run that failed here
	// timesAvoided counts how often the worker was avoided as failing since failureEvidence was
	// last 0.
	timesAvoided int
	avoidUntil   time.Time // no new runs before this time; zero if the worker is not avoided
	leavesAt     time.Time // earliest time at which the worker leaves; zero if unknown
	nextWake     time.Time
}

// lateEnd is an end that is not that of the open run of its task.
type lateEnd struct {
	run    workload.RunNumber
	result workload.RunEnd
}

// run is a run on a worker. It is open in the state unless closedInState is set.
type run struct {
	number         workload.RunNumber
	openedThisTerm bool // this leader opened the run
	confirmed      bool // the worker is known to have started the run
	confirmedAt    time.Time
	listedByWorker bool // the boot has reported the run as active
	callInFlight   bool // a start or stop is in flight
	startInFlight  bool // a start is in flight
	startAttempts  int
	firstToken     uint64        // token of the first start
	startSentAt    time.Time     // send time of the last start
	startOutcome   Outcome       // outcome of the last start; OutcomeOK while it is in flight
	giveUpStartAt  time.Time     // when the run is stopped because no call was answered since a start
	nextCallAt     time.Time     // time of the next start or stop
	stopRequested  bool          // the run is to be stopped
	stopBackoff    time.Duration // delay before the next stop
	stopAcked      bool          // the worker has acknowledged the stop
	stopAckedAt    time.Time
	endProposed    bool               // the end of the run has been proposed
	closedInState  bool               // the run is closed in the state and is only to be stopped
	reservedSize   workload.Resources // resources reserved for a run that is closed in the state
	ticket         string
	// ticketExpiresAt is when the ticket is expected to expire; zero if the run needs none.
	ticketExpiresAt time.Time
	checkpoint      string
	stopReason      string
	firstReport     progress // first report of the run
	firstAdvance    progress // first report in which the run had advanced
	latestReport    progress // latest report below 100 percent
	slowdown        slowdown
}

// updateWorker follows a change of a registered worker in the state.
func (c *Core) updateWorker(w workload.Worker) {
	c.registrations++
	existing := c.workers[w.ID]
	if existing != nil && existing.Boot == w.Boot {
		existing.Worker = w
		c.updateLeaveTime(existing)
		c.scheduleWake(existing, c.now)
		return
	}
	created := &worker{Worker: w, runs: map[workload.TaskID]*run{}, inDoubtTasks: map[workload.TaskID]bool{},
		proposedLateEnds: map[workload.TaskID]lateEnd{}, nextHoldAt: c.now}
	if existing != nil {
		c.endFirstHold(existing)
		existing.laterWorker = created
		created.reserved, created.expectedUse = existing.reserved, existing.expectedUse
		for _, r := range existing.runs {
			created.reserved = created.reserved.Sub(r.reservedSize)
		}
	}
	at, listed := slices.BinarySearchFunc(c.sortedWorkers, w.ID, func(w *worker, id workload.WorkerID) int { return cmp.Compare(w.ID, id) })
	if listed {
		c.sortedWorkers[at] = created
	} else {
		c.sortedWorkers = slices.Insert(c.sortedWorkers, at, created)
	}
	c.workers[w.ID] = created
	c.updateLeaveTime(created)
	c.scheduleWake(created, c.now)
	for _, open := range c.state.OpenRuns(w.ID) {
		r := &run{number: open.Run}
		if job := c.state.Job(open.Task.Job); job.State == workload.JobCancelled || job.State == workload.JobFailed {
			// The previous leader may not have stopped the run.
			r.stopRequested, r.stopReason = true, "job-"+string(job.State)
		} else if c.state.IsDoneByClosedRun(open.Task) {
			r.stopRequested, r.stopReason = true, stopReasonTaskDone
		}
		created.runs[open.Task] = r
	}
	if existing != nil {
		c.recordStartsOfEndedBoot(existing)
		c.transferInDoubtStarts(existing, created)
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

// minWorkerClock returns a lower bound of the worker's current clock value, in ms.
func (c *Core) minWorkerClock(w *worker) int64 { return c.minWorkerClockAt(w, c.now) }

// minWorkerClockAt returns a lower bound of the worker's clock value at a time after the last reading.
func (c *Core) minWorkerClockAt(w *worker, at time.Time) int64 {
	elapsed := at.Sub(w.clockReadAt)
	elapsed -= time.Duration(int64(elapsed) / million * c.opts.ClockLagPPM)
	return w.clockMillis + elapsed.Milliseconds()
}

const million = 1_000_000

// mayGiveUp reports whether the boot of an unresponsive worker may be given up: its lease has expired, two
// holds in a row have failed, and no answer is expected to a hold that was sent before the lease expired.
// The worker regards an end that it has listed as received, although this process may be too slow to read
// the answer in time.
func (c *Core) mayGiveUp(w *worker) bool {
	switch {
	case !c.leaseExpired(w, c.now), w.holdBackoff == 0:
		return false
	case w.holdInFlight && !c.leaseExpired(w, w.holdSentAt):
		return false
	}
	return c.now.After(c.lateAnswersUntil) || c.now.After(w.lateAnswerUntil)
}

// leaseExpired reports whether the worker's lease has certainly expired at a time after the last answer, so
// that all of its runs have ended.
func (c *Core) leaseExpired(w *worker, at time.Time) bool {
	if w.answeredThisTerm {
		return c.minWorkerClockAt(w, at) > w.leaseUntil+leaseMargin.Milliseconds()
	}
	// The lease of the previous leader ended before this term began. A call to an earlier boot may
	// have extended the worker's lease by more than Lease.
	return at.After(c.startedAt.Add(c.slowClockDuration(max(c.opts.Lease, c.opts.MaxLease)) + leaseMargin))
}

// slowClockDuration returns how long a slow worker clock may take to advance by d.
func (c *Core) slowClockDuration(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)/(million-c.opts.ClockLagPPM)*c.opts.ClockLagPPM) + time.Millisecond
}

// answersLate reports whether an unresponsive worker still answers holds, and this process reads the answers
// after their timeout.
func (c *Core) answersLate(w *worker) bool {
	return !w.answeredLateAt.IsZero() && c.now.Sub(w.answeredLateAt) < maxHoldRetryDelay+c.opts.LateAnswerTime
}

// extendLease returns the lease end to send: Lease after the lower bound of the worker's clock. The lease of
// an unresponsive worker is extended only while it answers late, so that it expires otherwise and the runs
// can be given up.
func (c *Core) extendLease(w *worker) int64 {
	if !w.answeredThisTerm {
		return 0
	}
	if w.unresponsive && !c.answersLate(w) {
		return w.leaseUntil
	}
	w.leaseUntil = max(w.leaseUntil, c.minWorkerClock(w)+c.opts.Lease.Milliseconds())
	return w.leaseUntil
}

// leaseOfHold returns the lease end to send with a hold. Unless the worker answers late, only the first
// repetition of an unanswered hold contains it, because for a later boot, whose clock starts anew, it would
// be far in the future and would extend the lease of runs that this leader does not know about. For the same
// reason a hold has no lease end while the outcome of a start is open, unless the lease would soon expire.
func (c *Core) leaseOfHold(w *worker) int64 {
	if w.unresponsive && (w.holdBackoff > 0 && !c.answersLate(w) || len(w.inDoubtTasks) > 0) {
		return 0
	}
	if (w.startsInFlight() || w.isStartUnresolved()) && w.acceptedLease-c.minWorkerClock(w) > minLeaseLeft.Milliseconds() {
		return 0
	}
	return c.extendLease(w)
}

func (c *Core) callTo(w *worker) Call {
	return Call{Worker: w.ID, Boot: w.Boot, Address: w.Address, Token: c.token(w)}
}

// processDueWorkers sends the calls that are due and gives up boots whose lease has expired.
func (c *Core) processDueWorkers() {
	for _, w := range c.dueWorkers() {
		if !w.Gone || c.now.Before(w.fenceUntil) {
			c.processWorker(w)
		}
	}
}

func (c *Core) processWorker(w *worker) {
	c.endAvoidanceIfDue(w)
	if w.unresponsive && !w.bootEndProposed && (w.hasOpenRuns() || w.Draining) && c.mayGiveUp(w) {
		// A worker that has announced that it leaves is not called any more.
		c.proposeBootEnd(w, bootEndLeaseExpired, w.Draining)
	}
	c.stopRunsBeforeLeave(w)
	// The hold comes last, because it must not extend the lease of a run that these starts begin.
	if !w.bootEndProposed && w.laterBoot == 0 {
		for _, id := range runsNeedingCalls(w.runs) {
			c.sendDueCall(w, id, w.runs[id])
		}
	}
	if !w.holdInFlight {
		if c.now.Before(w.nextHoldAt) {
			c.scheduleWake(w, w.nextHoldAt)
		} else if !c.delaysFirstHold(w) {
			c.sendHold(w)
		}
	}
	if w.unresponsive && (w.hasOpenRuns() || w.Draining) && !w.bootEndProposed {
		c.scheduleWake(w, c.now.Add(callRetryDelay))
	}
}

// hasOpenRuns reports whether the worker has runs that are open in the state.
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
		// A confirmed run needs no call unless it is to be stopped.
		if !r.confirmed || r.stopRequested {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, workload.CompareTaskIDs)
	return ids
}

func (c *Core) sendHold(w *worker) {
	wait := c.opts.HoldWait
	switch {
	case !w.answeredThisTerm || w.unresponsive || w.isStartUnresolved(), c.socketsShort():
		wait = 0
	case (c.now.Before(c.answerLossUntil) || !w.leavesAt.IsZero()) && len(w.runs) > 0, w.hasClosedRuns():
		wait = min(wait, shortHoldWait)
	}
	w.holdInFlight = true
	c.countFirstHold(w)
	w.holdSentAt = c.now
	w.holdGap = c.now.Sub(w.holdAnsweredAt)
	w.ackSent = w.ackToSend()
	lease := c.leaseOfHold(w)
	if lease > 0 {
		c.addLeaseHold(w, lease)
	}
	c.pendingEffects.Holds = append(c.pendingEffects.Holds, Hold{Call: c.callTo(w), LeaseUntil: lease, AckedEnd: w.ackSent, Wait: wait})
}

// ackToSend returns the number up to which a hold lets the worker forget its ends. A hold without an
// answer may reach a later boot, which numbers its ends anew. Therefore an acknowledgement is sent
// until it is answered, and only to a worker that has answered the last hold, has answered a hold that was
// sent after its last unanswered start, and has listed all starts that it has answered: a later boot that
// nobody has noticed may have carried out the others, and would forget their ends.
func (w *worker) ackToSend() uint64 {
	if w.unresponsive || w.ackedEnd == w.ackAnswered || w.hasUnlistedStarts() || w.isStartUnresolved() {
		return 0
	}
	return w.ackedEnd
}

// hasUnlistedStarts reports whether a start is in flight, or was answered and its run has not been listed
// since, neither as active nor as ended.
func (w *worker) hasUnlistedStarts() bool {
	for _, r := range w.runs {
		if r.startInFlight {
			return true
		}
		// The end of a run may follow a full list of ends. The known boot has answered its start then.
		mayFollow := w.endsListFull && r.confirmedAt.Before(w.answeredHoldSentAt)
		if r.openedThisTerm && r.confirmed && !r.listedByWorker && !r.endProposed && !mayFollow {
			return true
		}
	}
	return false
}

// Reasons for which a boot is ended.
const (
	bootEndLeaseExpired = "lease"      // the lease of the boot has expired
	bootEndLaterBoot    = "later-boot" // a later boot has answered
	bootEndOtherWorker  = "other-boot" // another worker has answered at the address
)

// proposeBootEnd proposes, once, the end of a boot and includes the checkpoints received so far.
// permanent means that this boot will not return.
func (c *Core) proposeBootEnd(w *worker, reason string, permanent bool) {
	if w.bootEndProposed || w.Gone {
		return
	}
	if c.proposalsDelayed() {
		// The cause persists, so the end is proposed again at the next wake-up or answer.
		c.scheduleWake(w, c.nextProposalAt)
		return
	}
	w.bootEndProposed = true
	command := workload.EndBoot{Worker: w.ID, Boot: w.Boot, Permanent: permanent, Replaced: reason == bootEndOtherWorker}
	for _, open := range c.state.OpenRuns(w.ID) {
		r := w.runs[open.Task]
		switch {
		case r == nil:
		case r.checkpoint != "":
			command.Checkpoints = append(command.Checkpoints, workload.TaskCheckpoint{Task: open.Task, Run: open.Run, Checkpoint: r.checkpoint})
		case r.openedThisTerm && !r.confirmed:
			command.UnconfirmedRuns = append(command.UnconfirmedRuns, open.Task)
		}
	}
	c.recordDecision(Decision{Kind: DecisionBootEnded, Worker: w.ID, Reason: reason, Count: len(w.runs), Age: c.timeSinceAnswer(w)})
	c.propose(&proposal{command: workload.Command{EndBoot: &command}})
}

// otherWorkerAnswered ends a boot after another worker has answered at its address. It does nothing if
// the boot reports another address by now.
func (c *Core) otherWorkerAnswered(w *worker, call Call) {
	if call.Address == w.Address {
		c.proposeBootEnd(w, bootEndOtherWorker, true)
	}
}

// timeSinceAnswer returns the time since the worker's last answer.
func (c *Core) timeSinceAnswer(w *worker) time.Duration {
	if w.clockReadAt.IsZero() {
		return c.now.Sub(c.startedAt)
	}
	return c.now.Sub(w.clockReadAt)
}

func (c *Core) bootEndCommitted(endBoot workload.EndBoot, closed []workload.OpenRun) {
	w := c.workers[endBoot.Worker]
	if w == nil || w.Boot != endBoot.Boot {
		return
	}
	w.bootEndProposed = false
	if endBoot.Replaced {
		c.removeInDoubtStartsOn(w)
	} else {
		c.recordStartsOfEndedBoot(w)
	}
	runs := w.runs
	w.runs = map[workload.TaskID]*run{}
	for id, r := range runs {
		w.reserved = w.reserved.Sub(r.reservedSize)
		if r.endProposed {
			// The end is acknowledged only after its commit.
			w.runs[id] = &run{number: r.number, closedInState: true, endProposed: true}
		}
	}
	c.raiseToken(w)
	c.updateWorkerByID(endBoot.Worker)
	c.updateJobsOf(closed)
}
