package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/runtimes"
	"github.com/godwitlink/godwitlink/core/workload"
)

// job is a job that has not ended.
type job struct {
	*workload.Job
	steps           []step
	nextWake        time.Time       // next time at which a step is due without an event
	localAcceptedAt time.Time       // by the clock of this process, if it saw the job being accepted
	objective       time.Duration   // allowed time from acceptance to the end of the last step
	begunRecorded   bool            // it is to be reported, or was proposed, that a worker has begun a task
	group           *runtimes.Group // what is learned about the run times of its queue
	sizeClass       int             // logarithm of the expected work of the remaining tasks
	groupRatio      float64         // ratio of the group when the expected run times were last calculated
}

// step is the leader's view of a step, in addition to the replicated state of its tasks.
type step struct {
	proposed     []bool       // by task: a run has been proposed
	reportedDone map[int]bool // tasks of which a done end was listed by a worker and is not committed yet
	// reportedFailures are failed ends that were listed by a worker and are not committed yet.
	reportedFailures map[failedRun]bool
	waitingTasks     int // number of tasks that are pending and not proposed
	// expected is the expected run time of a task on a worker of the usual speed, and siblings the run
	// times of the tasks that have ended.
	expected time.Duration
	siblings runtimes.Siblings
	longest  time.Duration // of the run times that were measured, on a worker of the usual speed
	// criticalPath is the longest chain of work from the start of this step to the end of the job.
	criticalPath time.Duration

	// Permission of the adviser. The set of workers that may run a step never changes, but the
	// tickets that prove the permission expire.
	adviceInFlight  uint64    // ID of the advice call in flight, or 0
	grants          []grant   // the workers that may run the step, sorted by ID
	ticketsExpireAt time.Time // expiry of the most recently granted tickets
	maxTicketTTL    time.Duration
	// allNamedRegistrations is the value of Core.registrations when all workers had been named.
	allNamedRegistrations int
	answeredWorkers       map[workload.WorkerID]bool // workers that the adviser has answered for
	nextAdviceAt          time.Time                  // earliest time of the next advice call
	renewalReservations   []reservation
	blockedSince          time.Time // time of the first plan that found too few free resources
	nextPreemptAt         time.Time // earliest time at which runs are preempted for the step again
	preempted             bool      // a run of the step was preempted
	// failedWorkers are the workers on which a run of the step has failed or stalled.
	failedWorkers map[workload.WorkerID]bool
	rates         runRates
	// awaitsInDoubtStarts is true while tasks are not placed because of in-doubt starts.
	awaitsInDoubtStarts bool
}

// grant is the permission of the adviser to run a step on a worker, with the last ticket, which may
// have expired.
type grant struct {
	worker    *worker
	ticket    string
	expiresAt time.Time
}

// trackJob adds a job that has not ended.
func (c *Core) trackJob(j *workload.Job, acceptedAt time.Time) {
	if j.State.Ended() {
		return
	}
	live := &job{Job: j, steps: make([]step, len(j.Steps)), localAcceptedAt: acceptedAt, group: c.runTimes.groupOf(j.Queue.Name)}
	c.expectRunTimes(live)
	for i := range live.steps {
		live.steps[i].proposed = make([]bool, len(j.Steps[i].Tasks))
	}
	live.countWaitingTasks()
	c.jobsByID[j.ID] = live
	c.liveJobs = append(c.liveJobs, live)
}

// countWaitingTasks updates the number of tasks that are to be placed.
func (j *job) countWaitingTasks() {
	for i := range j.steps {
		waiting := 0
		for k, task := range j.Steps[i].Tasks {
			if task.State == workload.TaskPending && !task.Open && !j.steps[i].proposed[k] {
				waiting++
			}
		}
		j.steps[i].waitingTasks = waiting
	}
	j.updateSizeClass()
}

func (c *Core) jobSubmitted(id workload.JobID) {
	if j := c.state.Job(id); j != nil && c.jobsByID[id] == nil {
		c.trackJob(j, c.now)
	}
}

// updateJob follows a change of a job in the state. It stops the runs of a job that has failed or
// was cancelled.
func (c *Core) updateJob(id workload.JobID) {
	j := c.state.Job(id)
	if j == nil {
		return
	}
	if !j.State.Ended() {
		if live := c.jobsByID[id]; live != nil {
			live.countWaitingTasks()
		}
		return
	}
	if live := c.jobsByID[id]; live != nil {
		c.recordLateJob(live)
	}
	c.untrackJob(id)
	if j.State == workload.JobCompleted {
		return
	}
	for i := range j.Steps {
		for k, task := range j.Steps[i].Tasks {
			if !task.Open {
				continue
			}
			taskID := j.StepID(i).Task(k)
			if w := c.workers[task.Worker]; w != nil && w.runs[taskID] != nil && !w.runs[taskID].endProposed {
				c.requestStop(w, w.runs[taskID], "job-"+string(j.State))
			}
		}
	}
}

func (c *Core) untrackJob(id workload.JobID) {
	live := c.jobsByID[id]
	if live == nil {
		return
	}
	delete(c.jobsByID, id)
	c.liveJobs = slices.DeleteFunc(c.liveJobs, func(j *job) bool { return j == live })
	for i := range live.steps {
		c.releaseRenewalReservations(&live.steps[i])
		c.dropAdviceCall(live.steps[i].adviceInFlight)
	}
}

// updateJobsOf updates the jobs whose runs were closed by one command.
func (c *Core) updateJobsOf(closed []workload.OpenRun) {
	lastJob := workload.JobID("")
	for _, run := range closed {
		c.stopIncompleteGang(run.Task)
		if run.Task.Job != lastJob {
			lastJob = run.Task.Job
			c.updateJob(lastJob)
		}
	}
}

// decideCommitted follows a committed batch of ends and assignments.
func (c *Core) decideCommitted(decide workload.Decide, result workload.Result) {
	for _, end := range decide.Ends {
		if w := c.workers[end.Worker]; w != nil && w.Boot == end.Boot {
			c.recordUncountedEnd(w, ListedEnd{Task: end.Task, Run: end.Run, Result: end.How}, "committed")
			if r := w.runs[end.Task]; r != nil && r.number == end.Run && (!r.closedInState || r.endProposed) {
				c.removeRun(w, end.Task, r)
			}
			if w.proposedLateEnds[end.Task] == (lateEnd{end.Run, end.How}) {
				delete(w.proposedLateEnds, end.Task)
			}
			c.acknowledgeEnds(w)
		}
		switch end.How {
		case workload.EndDone:
			c.removeReportedDone(end.Task)
			c.repeatEndOfFormerBoot(end)
		case workload.EndFailed:
			c.removeReportedFailure(end.Task, end.Run)
		}
	}
	for i, assign := range decide.Assigns {
		c.assignmentCommitted(assign, result.Assigns[i])
	}
	for _, end := range decide.Ends {
		c.stopIncompleteGang(end.Task)
		c.stopRunOfDoneTask(end.Task)
		c.updateJob(end.Task.Job)
	}
}

// repeatEndOfFormerBoot proposes the done end of a boot again for the present one, if the registration of the
// latter was committed first: the state drops the ends of other boots.
func (c *Core) repeatEndOfFormerBoot(end workload.EndedRun) {
	w := c.workers[end.Worker]
	if w != nil && w.Boot != end.Boot && c.state.AcceptsLateEnd(end.Task, end.Worker, end.Run, end.How) {
		c.proposeEnd(w, end.Task, end.Run, end.How, end.Checkpoint)
	}
}

const stopReasonTaskDone = "task-done"

// stopRunOfDoneTask stops the open run of a task that a closed run has done meanwhile, and of the rest of
// its gang.
func (c *Core) stopRunOfDoneTask(id workload.TaskID) {
	if !c.state.IsDoneByClosedRun(id) {
		return
	}
	defer c.stopGang(id)
	w := c.workers[c.state.Task(id).Worker]
	if w == nil {
		return
	}
	if r := w.runs[id]; r != nil && !r.closedInState && !r.endProposed {
		c.requestStop(w, r, stopReasonTaskDone)
	}
}

// stopIncompleteGang stops the remaining members of a gang after the run of one member was closed
// without success. They would otherwise wait for that member until they time out.
func (c *Core) stopIncompleteGang(closedTask workload.TaskID) {
	j := c.jobsByID[closedTask.Job]
	if j == nil {
		return
	}
	if task := j.Steps[closedTask.Step].Tasks[closedTask.Index]; task.State != workload.TaskDone && !task.Open {
		c.stopGang(closedTask)
	}
}

// stopGang stops the open runs of the gang that a task belongs to. It does nothing for a task that
// is not part of a gang.
func (c *Core) stopGang(member workload.TaskID) {
	j := c.jobsByID[member.Job]
	if j == nil || !j.Spec.Steps[member.Step].Gang {
		return
	}
	for i, task := range j.Steps[member.Step].Tasks {
		if !task.Open {
			continue
		}
		id := member.StepID().Task(i)
		if w := c.workers[task.Worker]; w != nil && w.runs[id] != nil && !w.runs[id].endProposed {
			c.requestStop(w, w.runs[id], "gang-incomplete")
		}
	}
}

// acknowledgeEnds lets the worker forget its ends once all of them are committed.
func (c *Core) acknowledgeEnds(w *worker) {
	for _, r := range w.runs {
		if r.endProposed {
			return
		}
	}
	if w.lastHandledEnd == w.ackedEnd || len(w.proposedLateEnds) > 0 {
		return
	}
	w.ackedEnd = w.lastHandledEnd
	if !w.unresponsive {
		w.nextHoldAt = c.now
	}
	c.scheduleWake(w, c.now)
}

// assignmentCommitted starts the runs that an assignment has opened.
func (c *Core) assignmentCommitted(assign workload.Assign, result workload.AssignResult) {
	live := c.jobsByID[assign.Step.Job]
	refusals := 0
	reason := workload.RefusalNone
	for i, m := range assign.Members {
		if live != nil {
			live.steps[assign.Step.Step].proposed[m.Index] = false
		}
		memberResult := result.Members[i]
		if memberResult.Refusal != workload.RefusalNone {
			refusals++
			reason = memberResult.Refusal
			continue
		}
		c.addOpenedRun(live, assign.Step, m, memberResult.Run)
	}
	if refusals > 0 {
		c.recordDecision(Decision{Kind: DecisionRefused, Job: assign.Step.Job, Step: assign.Step.Step, Count: refusals, Reason: string(reason)})
	}
	if live != nil {
		live.countWaitingTasks()
	}
}

func (c *Core) addOpenedRun(live *job, id workload.StepID, m workload.TaskAssignment, number workload.RunNumber) {
	w := c.workers[m.Worker]
	if w == nil || w.Boot != m.Boot {
		return
	}
	r := &run{number: number, openedThisTerm: true, nextCallAt: c.now}
	if live != nil {
		r.ticket, r.ticketExpiresAt = live.steps[id.Step].ticketFor(m.Worker)
	} else {
		r.stopRequested, r.stopReason = true, "job-ended"
	}
	task := id.Task(m.Index)
	if previous := w.runs[task]; previous != nil {
		if previous.closedInState {
			// The worker has listed an earlier run of the task since the assignment was proposed.
			c.queueEnd(w, task, r, workload.EndNeverStarted, "", 0)
			return
		}
		c.removeRun(w, task, previous)
	}
	w.runs[task] = r
	c.scheduleWake(w, c.now)
}

// releaseAssignment marks the tasks of an assignment that was not committed as waiting again.
func (c *Core) releaseAssignment(assign workload.Assign) {
	live := c.jobsByID[assign.Step.Job]
	if live == nil {
		return
	}
	for _, m := range assign.Members {
		live.steps[assign.Step.Step].proposed[m.Index] = false
	}
	live.countWaitingTasks()
}
