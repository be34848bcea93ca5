package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Core is the dispatcher of one leader term. It is not safe for concurrent use.
type Core struct {
	opts      Options
	state     *workload.State
	now       time.Time
	startedAt time.Time
	// lateAnswersUntil is until when answers to holds are assumed to arrive after their timeout.
	lateAnswersUntil time.Time
	// leaderLease is the end of the leader lease. No call to a worker is sent after it.
	leaderLease lease.Deadline
	fenced      bool // a worker has seen a later leader

	workers       map[workload.WorkerID]*worker
	sortedWorkers []*worker // sorted by ID
	// registrations counts the updates of registered workers. A step that has asked the adviser
	// about all workers asks about more only after the count has changed.
	registrations int
	wakeUps       wakeUps
	dueBuffer     []*worker // reused by dueWorkers
	liveJobs      []*job    // jobs that have not ended, oldest first
	jobsByID      map[workload.JobID]*job
	// nextJobWake is a lower bound of the wake times of all jobs; zero if no job has one.
	nextJobWake time.Time
	// answerLossUntil is the time until which answers of workers are assumed to get lost.
	answerLossUntil time.Time
	// socketsShortUntil is until when this process is assumed to have too few sockets.
	socketsShortUntil time.Time
	inDoubtStarts     inDoubtStarts
	nextInDoubtExpiry time.Time

	// proposalBackoff is the delay after the last rejected proposal, nextProposalAt its end.
	proposalBackoff time.Duration
	nextProposalAt  time.Time
	lastProposalID  uint64
	proposals       map[uint64]*proposal
	pendingEnds     []workload.EndedRun // to be proposed with the next batch
	begun           begunReports

	lastAdviceID uint64
	adviceCalls  map[uint64]*adviceCall
	// nextAdviceExpiry is a lower bound of the deadlines of all calls in flight; zero if there is none.
	nextAdviceExpiry time.Time
	requesters       map[string]*adviceRequester
	// grantedShare is, by queue, the mean share of the named workers that the adviser grants.
	grantedShare map[string]float64
	// teamReservations is the demand of the assignments that are not committed yet, by team.
	teamReservations teamReservations
	// teamsInDoubt is, by team, the demand of runs that the state has closed and that may be active.
	teamsInDoubt map[workload.TeamName]workload.Resources

	planNumber       uint64      // number of the current plan
	usableWorkers    []*worker   // workers that can take runs in the current plan
	grantedBuffer    []*worker   // reused by usableGranted
	candidateBuffer  []candidate // reused by candidates
	fastBuffer       []candidate // reused by chooseWorkers
	totalMilliCPU    int64       // total capacity of usableWorkers
	readyStepsInPlan int         // number of steps with tasks to be placed in the current plan
	planRequesters   []string    // addresses of the requesters that are available in the current plan
	// capacityScarce is true if less than scarceFreePercent of the resources are free in the
	// current plan.
	capacityScarce bool
	namingIndexes  map[string]*namingIndex // by service
	takenBuffer    []takenWorker           // reused by workersToName
	// nextSlowAdviceAt is when the next slow advice call may be made; zero if it may be made now.
	nextSlowAdviceAt time.Time
	// nextFastAdviceAt is the same for fast calls.
	nextFastAdviceAt time.Time
	bounds           bounds
	firstHolds       int // first holds to workers that are in flight
	startDelays      startDelays
	ticketRooms      ticketRooms
	// slowSpeedThreshold is the speed below which a worker counts as slow.
	slowSpeedThreshold float64
	// fastSpeedThreshold is the speed above which a worker counts as fast.
	fastSpeedThreshold float64
	// medianSpeed is the median of the speeds of the workers.
	medianSpeed     float64
	runTimes        learnedRunTimes
	nextSpeedUpdate time.Time
	// claimedMilliCPU is the part of totalMilliCPU that the current plan keeps for blocked gangs.
	claimedMilliCPU int64
	nextPlanAt      time.Time
	nextEndsAt      time.Time
	planNeeded      bool
	pendingEffects  Effects
}

const (
	// planInterval is the minimum time between two plans, so that one plan covers several answers.
	planInterval = 10 * time.Millisecond
	// endsInterval is the minimum time between two proposals of ends. Each proposal costs a message
	// to every follower and a write on every disk.
	endsInterval = 10 * time.Millisecond
	// inDoubtExpiryInterval is the time between two searches for starts that can no longer be
	// carried out.
	inDoubtExpiryInterval = time.Second
)

// The state must list closed runs for as long as a new leader waits for their starts: maxCallDelay and
// the longest lease, which is a setting and not checked here.
const _ = uint64(workload.ClosedRunRetention - maxCallDelay)

// New returns the dispatcher of a new leader. It takes ownership of state, which must contain all
// commands committed by earlier leaders.
func New(opts Options, state *workload.State, now time.Time) *Core {
	c := &Core{
		opts: opts, state: state, now: now, startedAt: now, planNeeded: true,
		workers: map[workload.WorkerID]*worker{}, jobsByID: map[workload.JobID]*job{},
		inDoubtStarts: inDoubtStarts{},
		proposals:     map[uint64]*proposal{}, adviceCalls: map[uint64]*adviceCall{}, requesters: map[string]*adviceRequester{}, grantedShare: map[string]float64{}, medianSpeed: 1, runTimes: newLearnedRunTimes(), namingIndexes: map[string]*namingIndex{}, teamReservations: teamReservations{}, teamsInDoubt: map[workload.TeamName]workload.Resources{},
	}
	c.recoverRunTimes()
	state.ForEachJob(func(j *workload.Job) { c.trackJob(j, j.AcceptedAt) })
	for _, w := range state.Workers() {
		c.updateWorker(w)
	}
	c.recoverInDoubtStarts()
	c.RequesterSeen(now, opts.SelfAddress)
	return c
}

func (c *Core) advanceClock(now time.Time) {
	// The wall clock may have advanced alone.
	if !now.Before(c.now) {
		c.now = now
	}
}

// SetLeaderLease sets the time until which this process is guaranteed to be the leader.
func (c *Core) SetLeaderLease(now time.Time, until lease.Deadline) {
	c.advanceClock(now)
	c.leaderLease = until
}

// mayCallWorkers reports whether calls to workers may be sent: the leader lease is valid, and no
// worker has seen a later leader.
func (c *Core) mayCallWorkers() bool { return !c.fenced && !c.leaderLease.Passed(c.now) }

// Apply applies a committed command. Commands must be passed in log order. now is the time of this
// process, at and retentionClock are the values that the replicas pass to State.Apply.
func (c *Core) Apply(now time.Time, at time.Time, retentionClock time.Duration, command workload.Command) {
	c.advanceClock(now)
	closedRuns := c.runsClosedBy(command)
	formerConfig := c.state.Config()
	result := c.state.Apply(at, retentionClock, command)
	c.planNeeded = true
	switch {
	case command.Configure != nil:
		c.configured(formerConfig, at)
	case command.Submit != nil:
		c.jobSubmitted(command.Submit.ID)
	case command.Cancel != nil:
		c.updateJob(command.Cancel.ID)
	case command.Register != nil:
		c.workerRegistered(command.Register.Worker.ID, closedRuns)
	case command.Drain != nil:
		c.updateWorkerByID(command.Drain.Worker)
	case command.Decide != nil:
		c.decideCommitted(*command.Decide, result)
	case command.EndBoot != nil:
		c.bootEndCommitted(*command.EndBoot, closedRuns)
	}
}

// runsClosedBy returns the open runs that a command closes implicitly.
func (c *Core) runsClosedBy(command workload.Command) []workload.OpenRun {
	switch {
	case command.Register != nil:
		return c.state.OpenRuns(command.Register.Worker.ID)
	case command.EndBoot != nil:
		return c.state.OpenRuns(command.EndBoot.Worker)
	}
	return nil
}

// Expire advances the clocks of the state and removes what is too old. The replicas do the same.
func (c *Core) Expire(retentionClock, steadyClock time.Duration) {
	c.state.Expire(retentionClock, steadyClock)
}

// Tick advances the time and processes everything that is due.
func (c *Core) Tick(now time.Time) {
	c.advanceClock(now)
	if c.fenced {
		return
	}
	// The owner ticks again when the leader lease is renewed.
	if c.mayCallWorkers() {
		c.processDueWorkers()
	}
	c.expireAdviceCalls()
	c.processDueJobs()
	c.expireInDoubtStarts()
	c.endBounds()
	if at := c.ticketRooms.nextPlanAt; !at.IsZero() && !c.now.Before(at) {
		c.planNeeded, c.ticketRooms.nextPlanAt = true, time.Time{}
	}
	if c.proposalsDelayed() || c.holdsBackProposals() {
		return
	}
	if c.planNeeded && !c.now.Before(c.nextPlanAt) {
		c.planNeeded = false
		c.plan()
	}
	if !c.now.Before(c.nextEndsAt) {
		c.proposeEnds()
	}
}

// Effects returns the accumulated effects and clears them.
func (c *Core) Effects() Effects {
	out := c.pendingEffects
	c.pendingEffects = Effects{}
	out.Deadline = c.deadline()
	return out
}

func (c *Core) deadline() time.Time {
	if c.fenced {
		return time.Time{}
	}
	var earliest time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && isEarlier(at, earliest) {
			earliest = at
		}
	}
	if c.mayCallWorkers() {
		consider(c.nextWorkerWake())
	} else {
		consider(c.now.Add(callRetryDelay))
	}
	consider(c.nextAdviceExpiry)
	consider(c.nextJobWake)
	consider(c.nextBoundEnd())
	proposalDue := func(at time.Time) {
		if at.Before(c.nextProposalAt) {
			at = c.nextProposalAt
		}
		consider(at)
	}
	if c.planNeeded {
		proposalDue(c.nextPlanAt)
	}
	if at := c.ticketRooms.nextPlanAt; !at.IsZero() {
		proposalDue(at)
	}
	if len(c.pendingEnds) > 0 {
		proposalDue(c.nextEndsAt)
	}
	if len(c.begun.tasks) > 0 {
		proposalDue(c.begun.dueAt)
	}
	return earliest
}

// proposal is a command that has been proposed but not yet committed, with the worker resources
// that it reserves.
type proposal struct {
	command      workload.Command
	reservations []reservation
	// teamReservations is the demand of the proposed assignments, by team.
	teamReservations teamReservations
	ends             []workload.EndedRun
	proposedAt       time.Time
}

// reservation holds resources of a worker for a step.
type reservation struct {
	worker workload.WorkerID
	size   workload.Resources
}

func (c *Core) propose(p *proposal) {
	c.lastProposalID++
	p.proposedAt = c.now
	c.proposals[c.lastProposalID] = p
	c.pendingEffects.Proposals = append(c.pendingEffects.Proposals, Proposal{ID: c.lastProposalID, Command: p.command})
}

// ProposalCommitted reports that a proposal was committed and applied.
func (c *Core) ProposalCommitted(now time.Time, id uint64) {
	c.advanceClock(now)
	c.proposalBackoff = 0
	if p := c.proposals[id]; p != nil {
		c.startDelays.commits.add(c.now, c.now.Sub(p.proposedAt))
	}
	c.finishProposal(id)
}

// ProposalFailed reports that a proposal was rejected or that its outcome is unknown. Its
// reservations are released. If a proposal of unknown outcome is committed later, its runs are
// opened all the same.
func (c *Core) ProposalFailed(now time.Time, id uint64) {
	c.advanceClock(now)
	p := c.proposals[id]
	c.finishProposal(id)
	if p == nil {
		return
	}
	c.backOffProposals()
	c.planNeeded = true
	c.pendingEnds = append(c.pendingEnds, p.ends...)
	if decide := p.command.Decide; decide != nil {
		for _, assign := range decide.Assigns {
			c.releaseAssignment(assign)
		}
	}
	if ended := p.command.EndBoot; ended != nil {
		if w := c.workers[ended.Worker]; w != nil {
			w.bootEndProposed = false
			c.scheduleWake(w, c.now)
		}
	}
}

func (c *Core) finishProposal(id uint64) {
	p := c.proposals[id]
	if p == nil {
		return
	}
	delete(c.proposals, id)
	for _, reserved := range p.reservations {
		if w := c.workers[reserved.worker]; w != nil {
			w.reserved = w.reserved.Sub(reserved.size)
		}
	}
	for team, demand := range p.teamReservations {
		c.teamReservations.add(team, workload.Resources{}.Sub(demand))
	}
}

// maxEndsPerProposal limits the size of one command.
const maxEndsPerProposal = 512

func (c *Core) proposeEnds() {
	if len(c.pendingEnds) > 0 || c.begunReportsDue() {
		c.queueReports()
	}
	if len(c.pendingEnds) > 0 {
		c.nextEndsAt = c.now.Add(endsInterval)
	}
	for len(c.pendingEnds) > 0 {
		n := min(len(c.pendingEnds), maxEndsPerProposal)
		batch := slices.Clone(c.pendingEnds[:n])
		c.pendingEnds = c.pendingEnds[n:]
		c.propose(&proposal{command: workload.Command{Decide: &workload.Decide{Ends: batch}}, ends: batch})
	}
	c.pendingEnds = nil
}

func (c *Core) recordDecision(d Decision) {
	c.pendingEffects.Decisions = append(c.pendingEffects.Decisions, d)
}
