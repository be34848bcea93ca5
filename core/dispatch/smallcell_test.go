package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// smallCell describes a cell with two workers and one job.
type smallCell struct {
	name     string
	tasks    int
	gang     bool
	milliCPU int64 // two tasks above 2,000 need two workers
	advised  bool
	runTime  time.Duration
	// callFaults are the faults of calls to choose from.
	callFaults []callFault
}

// Times of a cell.
const (
	hopTime          = 5 * time.Millisecond   // one way between a leader and a worker
	commitTime       = 10 * time.Millisecond  // from a proposal to its commit
	secondTaskTime   = 300 * time.Millisecond // how much longer the second of two tasks takes
	stopTime         = 300 * time.Millisecond
	gangTimeout      = 3 * time.Second
	suspensionTime   = 3 * time.Second // longer than the leader lease
	cellHorizon      = 90 * time.Second
	holdAnswerMargin = 600 * time.Millisecond // as in internal/dispatcher
)

const smallJob workload.JobID = "j"

// callFault is what may happen to a call to a worker, and to later ones.
type callFault struct {
	name       string
	callLost   bool
	answerLost bool
	callSlow   bool          // the answer arrives right before the timeout
	answerSlow bool          // the same, but the call is carried out at once
	late       time.Duration // the call is carried out after this time and not answered
	cut        time.Duration // later calls within this time have the same fault
	cutAll     bool          // the calls to other workers, too
}

// callFaults returns the faults of calls: late calls for each delay, and cuts of one or all workers for
// each duration.
func callFaults(delays, cuts []time.Duration, cutAll bool) []callFault {
	all := []callFault{{name: "lost", callLost: true}, {name: "answer lost", answerLost: true}, {name: "slow", callSlow: true}, {name: "answer slow", answerSlow: true}}
	for _, delay := range delays {
		all = append(all, callFault{name: fmt.Sprint("late by ", delay), late: delay})
	}
	for _, cut := range cuts {
		all = append(all, callFault{name: fmt.Sprint("calls lost for ", cut), callLost: true, cut: cut}, callFault{name: fmt.Sprint("answers lost for ", cut), answerLost: true, cut: cut})
		if cutAll {
			all = append(all, callFault{name: fmt.Sprint("all calls lost for ", cut), callLost: true, cut: cut, cutAll: true}, callFault{name: fmt.Sprint("all answers lost for ", cut), answerLost: true, cut: cut, cutAll: true})
		}
	}
	return all
}

// cellRun is one run of a small cell.
type cellRun struct {
	*sim
	cell     smallCell
	sequence *sequence
	cutFault callFault     // fault of the last cut
	cutBy    time.Duration // end of the last cut
	cutAt    workload.WorkerID
	// lateCalls is the number of calls that are still to be carried out late.
	lateCalls    int
	log          []logEntry
	stalledUntil time.Duration
	committedAt  time.Duration // time of the last commit that was scheduled
}

// logEntry is a command that is not committed yet.
type logEntry struct {
	from    *leader // nil for the report of a worker
	id      uint64
	command workload.Command
}

func newCellRun(cell smallCell, q *sequence) *cellRun {
	c := &cellRun{sim: emptySim(rand.New(rand.NewPCG(1, 7))), cell: cell, sequence: q}
	queue := workload.Queue{Name: "q", Service: "shop", MaxAttempts: 3}
	if cell.advised {
		queue.Advice = &workload.AdviserConfig{Base: 20 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: ticketTTL}
	}
	c.commit(nil, 0, configureQueues(queue))
	c.addWorker("w0")
	c.addWorker("w1")
	c.elect()
	c.after(50*time.Millisecond, func() {
		c.commit(nil, 0, submitJob(smallJob, workload.StepSpec{Tasks: cell.tasks, Gang: cell.gang, Size: workload.Resources{MilliCPU: cell.milliCPU}}))
		c.jobs = append(c.jobs, smallJob)
	})
	return c
}

func (c *cellRun) addWorker(id workload.WorkerID) {
	w := &fakeWorker{id: id, capacity: workload.Resources{MilliCPU: 4000}, clockRate: 0.98}
	w.startBoot(1, c.now)
	c.observe(w)
	w.endStopped = func(task workload.TaskID, r *fakeRun) {
		c.after(stopTime, func() {
			if w.up && w.runs[task] == r {
				w.endRun(task, workload.EndStopped)
				c.endBrokenGang(task, r)
			}
		})
	}
	checkStarts := w.onAck
	w.onAck = func(end dispatch.ListedEnd, h dispatch.Hold) {
		if end.Result == workload.EndDone && c.committed.Task(end.Task).State != workload.TaskDone && !c.committed.IsDoneByClosedRun(end.Task) {
			c.addViolationOf(h.Boot != w.boot && !w.calledAsBoot, "the done end %d of run %d on %s boot %d is acknowledged, but the task is not done", end.Number, end.Run, w.id, w.boot)
		}
		checkStarts(end, h)
	}
	c.workers = append(c.workers, w)
	c.register(w)
}

// run runs the cell until its job has ended and no call is on its way.
func (c *cellRun) run() {
	for len(c.events) > 0 && c.now < cellHorizon && !c.isSettled() {
		next := heap.Pop(&c.events).(event)
		c.now = max(c.now, next.at)
		c.expireLeases()
		next.do()
		c.checkInvariants()
		c.runLeaders(c.runLeader)
	}
	if job := c.committed.FindJob(smallJob); job.State != workload.JobCompleted {
		c.addViolation("the job is %s: %+v", job.State, job.Steps)
	}
}

func (c *cellRun) isSettled() bool {
	if job := c.committed.FindJob(smallJob); job == nil || !job.State.Ended() || c.lateCalls > 0 || len(c.log) > 0 {
		return false
	}
	return !slices.ContainsFunc(c.workers, func(w *fakeWorker) bool { return w.up && (len(w.runs) > 0 || len(w.ends) > 0) })
}

func (c *cellRun) runLeader(l *leader) {
	l.core.Tick(l.clock(c.sim))
	e := l.core.Effects()
	for _, p := range e.Proposals {
		if !l.deposed {
			c.propose(l, p)
		}
	}
	for _, st := range e.Starts {
		c.sendStart(l, st)
	}
	for _, st := range e.Stops {
		c.sendStop(l, st)
	}
	for _, h := range e.Holds {
		c.sendHold(l, h)
	}
	for _, a := range e.Advice {
		c.after(20*time.Millisecond, func() { c.grantAll(l, a) })
	}
	at := e.Deadline.Sub(l.clock(c.sim)) + c.now
	if !e.Deadline.IsZero() && (l.timer <= c.now || at < l.timer) {
		l.timer = max(at, c.now+time.Millisecond)
		c.after(l.timer-c.now, func() {})
	}
}

func (c *cellRun) grantAll(l *leader, a dispatch.AdviceCall) {
	grant := dispatch.Grant{OK: true, TicketTTL: ticketTTL, Tickets: map[workload.WorkerID]string{}}
	for _, id := range a.Workers {
		grant.Tickets[id] = ticketValue(a.Step, c.worker(id), c.now)
	}
	l.answer(func() { l.core.AdviceAnswered(l.clock(c.sim), a.ID, grant) })
}

// propose appends a proposal to the log. It may be rejected, or the log may stall until shortly before or
// after the leader has given the proposal up.
func (c *cellRun) propose(l *leader, p dispatch.Proposal) {
	failed := func() { l.answer(func() { l.core.ProposalFailed(l.clock(c.sim), p.ID) }) }
	switch c.sequence.choose(c.now, "proposal: ", "rejected", "stalls for 300 ms", "stalls for 5.3 s") {
	case 1:
		c.after(commitTime, failed)
		return
	case 2:
		c.stalledUntil = c.now + 300*time.Millisecond
	case 3:
		c.stalledUntil = c.now + proposeTimeout + 300*time.Millisecond
	}
	c.append(logEntry{l, p.ID, p.Command})
	c.after(proposeTimeout, func() {
		if slices.ContainsFunc(c.log, func(e logEntry) bool { return e.from == l && e.id == p.ID }) {
			failed()
		}
	})
}

// append adds a command to the log. Commands are committed in their order.
func (c *cellRun) append(e logEntry) {
	c.log = append(c.log, e)
	c.committedAt = max(c.now+commitTime, c.stalledUntil, c.committedAt)
	c.after(c.committedAt-c.now, func() {
		isEntry := func(o logEntry) bool { return o == e }
		if slices.ContainsFunc(c.log, isEntry) {
			c.chooseLeaderFault(e.from)
		}
		if at := slices.IndexFunc(c.log, isEntry); at >= 0 {
			c.log = slices.Delete(c.log, at, at+1)
			c.commit(e.from, e.id, e.command)
		}
	})
}

// chooseLeaderFault may replace the first leader before it learns of an event. Its calls remain on their
// way.
func (c *cellRun) chooseLeaderFault(l *leader) {
	if l == nil || l.deposed || l.term > 1 {
		return
	}
	choice := c.sequence.choose(c.now, "leader: ", "transfers, proposals lost", "transfers, proposals committed", "cut off until the end of its lease", "suspended for 3 s")
	if choice == 0 {
		return
	}
	l.deposed = true
	entries := c.log
	c.log = nil
	for _, e := range entries {
		switch {
		case choice == 2:
			c.commit(nil, 0, e.command)
		case e.from == nil:
			c.append(e) // the worker reports again
		}
	}
	if choice <= 2 {
		l.stopped = true
		c.elect()
		return
	}
	c.after(l.leaseEnd-c.now+time.Millisecond, c.elect)
	if choice == 3 {
		c.formerLeaders = append(c.formerLeaders, l)
		c.after(l.leaseEnd-c.now, func() { l.stopped = true })
		return
	}
	l.suspended = true
	suspendedAt := c.now
	c.after(suspensionTime, func() { c.resume(l, suspendedAt) })
}

// chooseWorkerFault may end the boot of a worker before something happens on it.
func (c *cellRun) chooseWorkerFault(w *fakeWorker) {
	if !w.up {
		return
	}
	choice := c.sequence.choose(c.now, string(w.id)+": ", "boots again at once", "boots again at once, registers 13 s later", "boots again after 5 s", "ends for good")
	downtime, registerDelay := time.Duration(0), hopTime
	switch choice {
	case 0:
		return
	case 2:
		registerDelay = 13 * time.Second
	case 3:
		downtime = 5 * time.Second
	}
	w.crash()
	c.loseRuns(w)
	boot := w.boot + 1
	switch choice {
	case 1, 2:
		w.startBoot(boot, c.now)
	case 3:
		c.after(downtime, func() { w.startBoot(boot, c.now) })
	case 4:
		c.after(time.Second, func() { c.addWorker(workload.WorkerID(fmt.Sprint("w", len(c.workers)))) })
		return
	}
	c.after(downtime+registerDelay, func() {
		c.append(logEntry{command: workload.Command{Register: &workload.Register{Worker: workload.Worker{
			ID: w.id, Boot: boot, Service: "shop", Address: string(w.id), Capacity: w.capacity,
		}}}})
	})
}

// chooseCallFault returns the fault of a call: that of a cut, or one of the sequence.
func (c *cellRun) chooseCallFault(what string, id workload.WorkerID) callFault {
	if c.now < c.cutBy && (c.cutFault.cutAll || c.cutAt == id) {
		return c.cutFault
	}
	choice := c.sequence.chooseCall(c.now, what+" to "+string(id)+" ", c.cell.callFaults)
	if choice == 0 {
		return callFault{}
	}
	fault := c.cell.callFaults[choice-1]
	if fault.cut > 0 {
		c.cutFault, c.cutBy, c.cutAt = fault, c.now+fault.cut, id
	}
	return fault
}

// call sends a call to a worker. carryOut carries it out and passes the answer to reply.
func (c *cellRun) call(l *leader, to dispatch.Call, what string, timeout time.Duration, carryOut func(w *fakeWorker, reply func(answer func())), failed func(dispatch.Outcome)) {
	w := c.worker(to.Worker)
	answered := false
	answer := func(do func()) {
		if !answered {
			answered = true
			c.chooseLeaderFault(l)
			l.answer(do)
		}
	}
	c.after(timeout, func() { answer(func() { failed(dispatch.OutcomeNoAnswer) }) })
	fault := c.chooseCallFault(what, w.id)
	delay, answerDelay := hopTime, hopTime
	switch {
	case fault.callLost:
		return
	case fault.callSlow:
		delay = timeout - 2*hopTime
	case fault.answerSlow:
		answerDelay = timeout - 2*hopTime
	case fault.late > 0:
		delay = fault.late
		c.lateCalls++
	}
	c.after(delay, func() {
		c.chooseWorkerFault(w)
		if fault.late > 0 {
			c.lateCalls--
		}
		switch {
		case w.up:
			carryOut(w, func(do func()) {
				if !fault.answerLost && fault.late == 0 {
					c.after(answerDelay, func() { answer(do) })
				}
			})
		case fault.late == 0:
			c.after(hopTime, func() { answer(func() { failed(dispatch.OutcomeNotSent) }) })
		}
	})
}

func (c *cellRun) sendHold(l *leader, h dispatch.Hold) {
	c.call(l, h.Call, "hold", h.Wait+holdAnswerMargin, func(w *fakeWorker, reply func(func())) {
		c.hold(w, h, func(report dispatch.HoldReport) {
			reply(func() {
				if report.Boot > h.Boot {
					w.bootEnded(report.Boot-1, c.now)
				}
				l.core.HoldAnswered(l.clock(c.sim), h.Call, report)
			})
		})
	}, func(outcome dispatch.Outcome) {
		l.core.HoldAnswered(l.clock(c.sim), h.Call, dispatch.HoldReport{Outcome: outcome})
	})
}

func (c *cellRun) sendStart(l *leader, st dispatch.Start) {
	c.history.of(st.Task).sent(st.Run, c.now)
	c.call(l, st.Call, "start", st.Timeout, func(w *fakeWorker, reply func(func())) {
		outcome, started := w.start(st, workload.Resources{MilliCPU: c.cell.milliCPU}, c.now)
		c.trace(st.Task, "start of run %d for %s boot %d token %#x reaches boot %d: %v, started: %t", st.Run, w.id, st.Boot, st.Token, w.boot, outcome, started)
		if started {
			c.begin(w, st.Task)
		}
		clock := w.clock(c.now)
		reply(func() { l.core.StartAnswered(l.clock(c.sim), st, outcome, clock) })
	}, func(outcome dispatch.Outcome) { l.core.StartAnswered(l.clock(c.sim), st, outcome, 0) })
}

func (c *cellRun) sendStop(l *leader, st dispatch.Stop) {
	c.call(l, st.Call, "stop", callTimeout, func(w *fakeWorker, reply func(func())) {
		outcome, clock := w.stop(st), w.clock(c.now)
		reply(func() { l.core.StopAnswered(l.clock(c.sim), st, outcome, clock) })
	}, func(outcome dispatch.Outcome) { l.core.StopAnswered(l.clock(c.sim), st, outcome, 0) })
}

// begin schedules the end of a run that a worker has begun. A gang works once all members are present,
// and its members end together.
func (c *cellRun) begin(w *fakeWorker, task workload.TaskID) {
	r := w.runs[task]
	if !c.cell.gang {
		c.after(c.cell.runTime+time.Duration(task.Index)*secondTaskTime, func() { c.endDone(w, task, r) })
		return
	}
	members := c.members(task.StepID(), r.number)
	if len(members) < c.cell.tasks {
		c.after(gangTimeout, func() {
			if w.runs[task] == r && len(c.members(task.StepID(), r.number)) < c.cell.tasks {
				w.endRun(task, workload.EndGangIncomplete)
			}
		})
		return
	}
	c.after(c.cell.runTime, func() {
		for _, id := range sortedKeys(members) {
			c.chooseWorkerFault(members[id])
		}
		if len(c.members(task.StepID(), r.number)) < c.cell.tasks {
			return
		}
		for _, id := range sortedKeys(members) {
			members[id].endRun(id, workload.EndDone)
		}
	})
}

// endDone ends a run unless it has ended, or its worker ends right before.
func (c *cellRun) endDone(w *fakeWorker, task workload.TaskID, r *fakeRun) {
	if w.runs[task] == r {
		c.chooseWorkerFault(w)
	}
	if w.runs[task] == r {
		w.endRun(task, workload.EndDone)
	}
}
