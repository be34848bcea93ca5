package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// maxAssignsPerPlan limits the size of one command.
const maxAssignsPerPlan = 256

// The delay until the next plan grows with the number of waiting steps. A plan inspects each of
// them and would otherwise use all CPU time under overload.
const (
	planDelayPerStep  = 150 * time.Microsecond
	maxPlanDelaySteps = 400
)

// scarceFreePercent is the free share of all resources below which steps never use avoided workers.
// The platform requires every job that finds free resources to run while less than half of them is
// in use.
const scarceFreePercent = 40

// beginPlan collects the workers that can take runs and their free resources.
func (c *Core) beginPlan() {
	c.usableWorkers = c.usableWorkers[:0]
	c.planNumber++
	c.totalMilliCPU, c.claimedMilliCPU = 0, 0
	free := int64(0)
	c.planRequesters, c.nextSlowAdviceAt, c.nextFastAdviceAt = c.availableRequesters(), time.Time{}, time.Time{}
	c.beginTicketRooms()
	for _, w := range c.sortedWorkers {
		if !c.acceptsRuns(w) {
			continue
		}
		w.freeInPlan, w.usableInPlan = c.freeResources(w), c.planNumber
		c.usableWorkers = append(c.usableWorkers, w)
		c.totalMilliCPU += w.Capacity.MilliCPU
		free += w.freeInPlan.MilliCPU
		c.addTicketRoom(w)
	}
	c.capacityScarce = free*100 < c.totalMilliCPU*scarceFreePercent
	c.updateTeamsInDoubt()
	c.updateSpeedClasses()
	c.refreshExpectations()
	c.updateStartDelay()
}

// readyStep is a step that has tasks to be placed.
type readyStep struct {
	job        *job
	index      int
	timeliness timeliness
	place      place
}

func (r readyStep) spec() *workload.StepSpec { return &r.job.Spec.Steps[r.index] }

// plan places the waiting steps in order of priority. A step that cannot be placed does not block
// later ones.
func (c *Core) plan() {
	if !c.mayCallWorkers() {
		c.planNeeded = true
		c.nextPlanAt = c.now.Add(callRetryDelay)
		return
	}
	p := &proposal{teamReservations: teamReservations{}}
	decide := &workload.Decide{}
	c.beginPlan()
	steps := c.readySteps()
	c.readyStepsInPlan = len(steps)
	c.nextPlanAt = c.now.Add(planInterval + time.Duration(min(len(steps), maxPlanDelaySteps))*planDelayPerStep)
	for _, r := range steps {
		if len(decide.Assigns) >= maxAssignsPerPlan {
			c.planNeeded = true
			break
		}
		if assign, ok := c.placeStep(r); ok {
			decide.Assigns = append(decide.Assigns, assign)
			size := r.job.Spec.Steps[r.index].Size
			demand := size.Times(len(assign.Members))
			p.teamReservations.add(r.job.Team, demand)
			c.teamReservations.add(r.job.Team, demand)
			for _, m := range assign.Members {
				p.reservations = append(p.reservations, reservation{m.Worker, size})
			}
		}
	}
	c.preempt(steps)
	if len(decide.Assigns) == 0 {
		return
	}
	c.queueReports()
	// The ends come first, because they free resources that the assignments may use.
	n := min(len(c.pendingEnds), maxEndsPerProposal)
	decide.Ends = slices.Clone(c.pendingEnds[:n])
	p.ends = decide.Ends
	c.pendingEnds = c.pendingEnds[n:]
	p.command = workload.Command{Decide: decide}
	c.propose(p)
}

// readySteps lists the steps with tasks to be placed, the most urgent first. Steps that are
// obsolete come last. The others are ordered by priority. Within one priority, steps of jobs within
// their team's share come before those beyond it, and then teams are ordered by their use
// (teamOrder). Within one team, steps that can still meet their objective come before those that
// cannot, because under overload all jobs would otherwise be late. Among overdue gangs the smallest
// come first, so that more of them end in time to be of use. The rest goes by the size of the jobs (place).
func (c *Core) readySteps() []readyStep {
	all := make([]readyStep, 0, c.readyStepsInPlan)
	teams := false
	for _, j := range c.liveJobs {
		teams = teams || j.Team != ""
		for i := range j.steps {
			if j.steps[i].waitingTasks > 0 && j.DependenciesDone(i) {
				all = append(all, newReadyStep(j, i, j.timeliness(i, c.now), len(all)))
			}
		}
	}
	slices.SortFunc(all, func(a, b readyStep) int { return a.place.compare(&b.place) })
	if teams {
		c.newTeamOrder().order(all)
	}
	return all
}

// compareRank compares steps by the rules that come before the use of their teams.
func compareRank(a, b readyStep) int {
	return cmp.Compare(a.place.rank, b.place.rank)
}

// placeStep chooses workers for a step. If the step needs tickets and has none, it makes an advice
// call first.
func (c *Core) placeStep(r readyStep) (workload.Assign, bool) {
	s := &r.job.steps[r.index]
	spec := &r.job.Spec.Steps[r.index]
	none := workload.Assign{}
	if spec.Gang && s.waitingTasks < spec.Tasks || c.placeableTasks(r) == 0 || c.isBlockedByTeamCap(r.job, spec) {
		return none, false
	}
	advised := r.job.Queue.Advice != nil
	if advised && s.answeredWorkers == nil {
		if s.adviceInFlight == 0 && c.hasTicketRoom(r) {
			c.requestFirstAdvice(r, s, spec)
		}
		return none, false
	}
	if members := c.chooseWorkers(r, s, spec, advised); sufficientMembers(members, spec) {
		return c.reserveMembers(r, s, spec, members), true
	}
	if s.blockedSince.IsZero() {
		s.blockedSince = c.now
	}
	if advised {
		c.awaitRoom(r, s, spec)
	}
	if c.excludesSuspects(s) {
		// A job has a single wake-up time, and an earlier one replaces this. It is therefore
		// scheduled again in each plan.
		c.scheduleJobWake(r.job, s.blockedSince.Add(suspectExclusionTime))
	}
	if !advised || s.adviceInFlight != 0 {
		if spec.Gang && len(s.renewalReservations) == 0 {
			c.claimForGang(r, s, spec)
		}
		return none, false
	}
	if members := c.chooseWorkers(r, s, spec, false); sufficientMembers(members, spec) {
		c.renewTickets(r, s, members)
		return none, false
	}
	if spec.Gang {
		c.claimForGang(r, s, spec)
	}
	if c.shouldRequestFurtherAdvice(r, s, spec) {
		c.requestFurtherAdvice(r, s, spec)
	}
	if spec.Gang && s.adviceInFlight == 0 {
		c.refreshTickets(r, s, spec)
	}
	return none, false
}

// sufficientMembers reports whether the chosen members can be placed: all tasks of a gang, or at
// least one task of any other step.
func sufficientMembers(members []workload.TaskAssignment, spec *workload.StepSpec) bool {
	return len(members) > 0 && (!spec.Gang || len(members) == spec.Tasks)
}

// shouldRequestFurtherAdvice reports whether a blocked step should name further workers. A slow
// call is justified only if the granted workers have too little capacity for the step or if the
// step has waited for them long enough.
func (c *Core) shouldRequestFurtherAdvice(r readyStep, s *step, spec *workload.StepSpec) bool {
	if !isSlowAdvice(r.job.Queue.Advice) || c.now.Sub(s.blockedSince) >= furtherAdviceDelay {
		return true
	}
	c.scheduleJobWake(r.job, s.blockedSince.Add(furtherAdviceDelay))
	slots := 0
	for _, w := range c.usableGranted(s) {
		slots += slotsFor(w.Capacity, spec)
	}
	return slots < slotsPerTask*spec.Tasks
}

// requestFurtherAdvice makes a call about workers that the adviser has not answered for.
func (c *Core) requestFurtherAdvice(r readyStep, s *step, spec *workload.StepSpec) {
	if s.allNamedRegistrations == c.registrations || !c.mayRequestAdvice(r, s) || !c.hasRoomForFurther(r, spec) {
		return
	}
	// A gang waits for the room of many workers, so it names full ones ahead. Other steps gain nothing
	// from a call before there is room.
	named := c.workersToName(r.job, r.index, spec, !spec.Gang)
	if len(named) == 0 {
		if spec.Gang {
			s.allNamedRegistrations = c.registrations
		}
		return
	}
	s.nextAdviceAt = c.now.Add(furtherAdviceInterval)
	c.requestAdvice(r.job, r.index, named)
	if s.adviceInFlight != 0 {
		c.addTicketDemand(r, s, spec)
	}
}

func (c *Core) requestFirstAdvice(r readyStep, s *step, spec *workload.StepSpec) {
	if !c.mayRequestAdvice(r, s) {
		return
	}
	c.requestAdvice(r.job, r.index, c.workersToName(r.job, r.index, spec, false))
	if s.adviceInFlight == 0 {
		c.scheduleJobWake(r.job, s.nextAdviceAt)
		return
	}
	c.addTicketDemand(r, s, spec)
}

// renewTickets requests new tickets for the chosen workers and reserves their resources until the
// answer arrives. If the tasks are placed one by one, it also names the other granted workers,
// because the remaining tasks may be placed while the tickets are valid.
func (c *Core) renewTickets(r readyStep, s *step, members []workload.TaskAssignment) {
	if !c.mayRequestAdvice(r, s) {
		return
	}
	var named []workload.WorkerID
	for _, m := range members {
		if !slices.Contains(named, m.Worker) && !c.hasValidTicket(s, m.Worker) {
			named = append(named, m.Worker)
		}
	}
	if !r.job.Spec.Steps[r.index].Gang && len(members) < s.waitingTasks {
		for _, w := range c.usableGranted(s) {
			if len(named) < maxNamedWorkers && !slices.Contains(named, w.ID) && !c.hasValidTicket(s, w.ID) {
				named = append(named, w.ID)
			}
		}
	}
	c.requestAdvice(r.job, r.index, named)
	if s.adviceInFlight == 0 {
		c.scheduleJobWake(r.job, s.nextAdviceAt)
		return
	}
	size := r.job.Spec.Steps[r.index].Size
	c.takeRoom(r.job, int64(len(members))*size.MilliCPU)
	c.reserveForRenewal(s, members, size)
}

// hasValidTicket reports whether a step has a ticket for a worker that is still valid when a start
// arrives there.
func (c *Core) hasValidTicket(s *step, worker workload.WorkerID) bool {
	at, found := s.findGrant(worker)
	return found && c.ticketValid(s, s.grants[at])
}

// reserveMembers reserves the chosen workers for the step.
func (c *Core) reserveMembers(r readyStep, s *step, spec *workload.StepSpec, members []workload.TaskAssignment) workload.Assign {
	for _, m := range members {
		s.proposed[m.Index] = true
		c.workers[m.Worker].reserve(spec.Size)
	}
	s.waitingTasks -= len(members)
	c.takeRoom(r.job, int64(len(members))*spec.Size.MilliCPU)
	waited := time.Duration(0)
	if !s.blockedSince.IsZero() {
		waited = c.now.Sub(s.blockedSince)
	}
	s.blockedSince = time.Time{}
	c.recordDecision(Decision{
		Kind: DecisionPlaced, Job: r.job.ID, Step: r.index, Count: len(members), Worker: members[0].Worker, Age: waited,
	})
	return workload.Assign{Step: r.job.StepID(r.index), Members: members}
}

// reserve reserves resources for a proposal or an advice call.
func (w *worker) reserve(size workload.Resources) {
	w.reserved = w.reserved.Add(size)
	w.freeInPlan = w.freeInPlan.Sub(size)
	if w.onProbation() {
		w.freeInPlan = workload.Resources{}
	}
}

// freeResources returns the resources of a worker that are neither in use nor reserved.
func (c *Core) freeResources(w *worker) workload.Resources {
	return c.state.FreeCapacity(w.ID).Sub(w.reserved)
}

// fitsEmptyWorker reports whether a worker could take a task of the step if nothing else ran there.
func fitsEmptyWorker(w *worker, spec *workload.StepSpec) bool {
	return spec.Size.Fits(w.Capacity) && (spec.RequiredLabel == "" || slices.Contains(w.Labels, spec.RequiredLabel))
}

// candidate is a worker that may take tasks of a step.
type candidate struct {
	worker          *worker
	free            workload.Resources
	tasks           int // tasks of the step on the worker
	onPreferredRack bool
	speed           speedClass
	oneRunOnly      bool // the worker gets one run at a time
}

// chooseWorkers picks a worker for each waiting task while free resources remain. If requireTickets
// is set, only workers with a valid ticket count. Steps that would not be late leave the faster workers
// to others.
func (c *Core) chooseWorkers(r readyStep, s *step, spec *workload.StepSpec, requireTickets bool) []workload.TaskAssignment {
	candidates := c.candidates(r, s, spec, requireTickets, false)
	if !spec.Gang {
		return c.assignTasks(r, s, spec, candidates, r.job.needsFastWorkers(r.index, c.now))
	}
	if !allTasksFit(candidates, spec) {
		return nil
	}
	return c.assignTasks(r, s, spec, c.fasterCandidates(r, candidates), r.job.needsFastWorkers(r.index, c.now))
}

// allTasksFit reports whether all tasks of a step fit on the candidates.
func allTasksFit(candidates []candidate, spec *workload.StepSpec) bool {
	slots := 0
	for i := range candidates {
		slots += candidates[i].remainingSlots(spec)
		if slots >= spec.Tasks {
			return true
		}
	}
	return false
}

// remainingSlots returns how many more tasks of a step a candidate can take.
func (cand *candidate) remainingSlots(spec *workload.StepSpec) int {
	slots := slotsFor(cand.free, spec)
	if spec.MaxPerWorker > 0 {
		slots = min(slots, spec.MaxPerWorker-cand.tasks)
	}
	if cand.oneRunOnly {
		slots = min(slots, 1-cand.tasks)
	}
	return max(slots, 0)
}

// assignTasks assigns the waiting tasks of a step to candidates and reduces their free resources.
func (c *Core) assignTasks(r readyStep, s *step, spec *workload.StepSpec, candidates []candidate, fastFirst bool) []workload.TaskAssignment {
	var members []workload.TaskAssignment
	teamSlots := c.teamSlots(r.job, spec)
	for index, task := range r.job.Steps[r.index].Tasks {
		if task.State != workload.TaskPending || task.Open || s.proposed[index] {
			continue
		}
		if _, blocked := c.blockingStart(r.job.StepID(r.index).Task(index)); blocked || s.reportedDone[index] {
			continue
		}
		best := bestFit(candidates, spec, fastFirst)
		if best == nil || len(members) == teamSlots {
			break
		}
		best.free = best.free.Sub(spec.Size)
		best.tasks++
		members = append(members, workload.TaskAssignment{Index: index, Worker: best.worker.ID, Boot: best.worker.Boot})
	}
	return members
}

// grantedWorker returns the present boot of the worker of a grant.
func (s *step) grantedWorker(i int) *worker {
	for s.grants[i].worker.laterWorker != nil {
		s.grants[i].worker = s.grants[i].worker.laterWorker
	}
	return s.grants[i].worker
}

// usableGranted returns the workers that the adviser has granted to a step and that can take runs in the
// current plan, sorted by ID. The list is valid until the next call.
func (c *Core) usableGranted(s *step) []*worker {
	c.grantedBuffer = c.grantedBuffer[:0]
	for i := range s.grants {
		if w := s.grantedWorker(i); w.usableInPlan == c.planNumber {
			c.grantedBuffer = append(c.grantedBuffer, w)
		}
	}
	return c.grantedBuffer
}

// candidates lists the workers that may take tasks of a step: those with free resources for a task,
// or also full ones if includeFull is set. The list is valid until the next call.
func (c *Core) candidates(r readyStep, s *step, spec *workload.StepSpec, requireTickets, includeFull bool) []candidate {
	c.candidateBuffer = c.candidateBuffer[:0]
	q := &candidateQuery{readyStep: r, step: s, spec: spec, includeFull: includeFull, excludeSuspects: c.excludesSuspects(s)}
	q.lastAttempt = q.excludeSuspects && r.lastAttempt(s)
	if r.job.Queue.Advice == nil {
		for _, w := range c.usableWorkers {
			c.addCandidate(q, w)
		}
		return c.candidateBuffer
	}
	if requireTickets && !c.ticketsValid(s) {
		return nil
	}
	// The granted workers are few, and with many workers most of the time of a plan would pass here.
	for i := range s.grants {
		w := s.grantedWorker(i)
		if w.usableInPlan == c.planNumber && (!requireTickets || c.ticketValid(s, s.grants[i])) {
			c.addCandidate(q, w)
		}
	}
	return c.candidateBuffer
}

// candidateQuery says which workers are candidates for a step.
type candidateQuery struct {
	readyStep
	step            *step
	spec            *workload.StepSpec
	includeFull     bool // also workers without free resources for a task
	excludeSuspects bool // no workers on which a run of the step is likely to fail
	lastAttempt     bool // the job fails if the next run of a waiting task fails
}

// addCandidate adds a worker that can take runs in the current plan to candidateBuffer if it may take
// tasks of the step.
func (c *Core) addCandidate(q *candidateQuery, w *worker) {
	spec := q.spec
	if !q.includeFull && !spec.Size.Fits(w.freeInPlan) {
		return
	}
	if w.Service != q.job.Queue.Service || !fitsEmptyWorker(w, spec) || q.excludeSuspects && q.step.isSuspect(w, spec, q.lastAttempt) || (q.excludeSuspects || c.capacityScarce) && c.isAvoided(w) {
		return
	}
	cand := candidate{worker: w, free: w.freeInPlan, speed: c.speedClassOf(w), oneRunOnly: w.onProbation() && (q.excludeSuspects || !spec.Gang), onPreferredRack: spec.PreferredRack == "" || slices.Contains(w.Labels, spec.PreferredRack)}
	if spec.MaxPerWorker > 0 {
		cand.tasks = c.openTasksOn(q.readyStep, w.ID)
	}
	c.candidateBuffer = append(c.candidateBuffer, cand)
}

// acceptsRuns reports whether a worker may get new runs.
func (c *Core) acceptsRuns(w *worker) bool {
	return w.answeredThisTerm && !w.unresponsive && !w.bootEndProposed && !w.Draining && !w.Gone && !(w.onProbation() && w.hasWork())
}

func (c *Core) openTasksOn(r readyStep, id workload.WorkerID) int {
	count := 0
	for _, task := range r.job.Steps[r.index].Tasks {
		if task.Open && task.Worker == id {
			count++
		}
	}
	return count
}

// bestFit returns the candidate with the least free resources that fits a task, so that large tasks
// find empty workers. Candidates on the preferred rack come first, then the slowest ones, or the
// fastest ones if fastFirst is set.
func bestFit(candidates []candidate, spec *workload.StepSpec, fastFirst bool) *candidate {
	var best *candidate
	for i := range candidates {
		next := &candidates[i]
		if !spec.Size.Fits(next.free) || spec.MaxPerWorker > 0 && next.tasks >= spec.MaxPerWorker || next.tasks > 0 && next.oneRunOnly {
			continue
		}
		if best == nil || next.preferredOver(best, fastFirst) {
			best = next
		}
	}
	return best
}

func (cand *candidate) preferredOver(other *candidate, fastFirst bool) bool {
	switch {
	case cand.onPreferredRack != other.onPreferredRack:
		return cand.onPreferredRack
	case cand.speed != other.speed:
		return cand.speed > other.speed == fastFirst
	}
	return cand.free.MilliCPU < other.free.MilliCPU
}

// overdueGangWork returns the work of an overdue gang in millicores times milliseconds, and 0 for
// other steps.
func (r readyStep) overdueGangWork() int64 {
	spec := &r.job.Spec.Steps[r.index]
	if !spec.Gang || r.timeliness == onTime {
		return 0
	}
	return int64(spec.Tasks) * spec.Size.MilliCPU * r.job.steps[r.index].expected.Milliseconds()
}
