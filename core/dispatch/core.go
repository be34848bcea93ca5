package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Core is the dispatcher of one term. It is not safe for concurrent use.
type Core struct {
	opts      Options
	state     *workload.State
	now       time.Time
	startedAt time.Time
	// leaderLeaseEnd is when the leader lease ends. Later nothing is sent that could
	// start or prolong work.
	leaderLeaseEnd time.Time
	fenced         bool // a worker has seen a later leader

	workers       map[workload.WorkerID]*worker
	sortedWorkers []*worker // of workers, sorted by id
	// registrations counts what became known of workers; a step that has named
	// all of them names no more until it changes.
	registrations int
	wakeUps       wakeUps   // of workers
	dueBuffer     []*worker // reused by dueWorkers
	liveJobs      []*job    // live jobs, oldest first
	jobsByID      map[workload.JobID]*job
	// nextJobWake is not after the first wake of a job; zero where there is none.
	nextJobWake time.Time
	// answerLossUntil is when answers of workers no longer count as being lost.
	answerLossUntil   time.Time
	inDoubtStarts     inDoubtStarts
	nextInDoubtExpiry time.Time // of late

	lastProposalID uint64
	proposals      map[uint64]*proposal
	pendingEnds    []workload.Ending // to be proposed with the next batch

	lastAdviceID uint64
	adviceCalls  map[uint64]*adviceCall
	callers      map[string]*caller
	grantedShare map[string]float64 // by queue: mean part of the named workers that is granted

	usableWorkers   []*worker   // in the plan that is being made
	candidateBuffer []candidate // reused by candidates
	fastBuffer      []candidate // reused by choose
	totalMilliCPU   int64       // thousandths of a core of the usable workers
	planCallers     []string    // processes that may be given a call to the adviser
	capacityScarce  bool        // little room is free in the plan that is being made
	// nextSlowAdviceAt is when a slow call may be made again; zero where one may be
	// made now.
	nextSlowAdviceAt time.Time
	// slowSpeedThreshold is the speed below which a worker counts as slow.
	slowSpeedThreshold float64
	nextSpeedUpdate    time.Time
	claimedMilliCPU    int64 // part of total that blocked gangs claim in the plan
	nextPlanAt         time.Time
	nextEndsAt         time.Time
	planNeeded         bool
	pendingEffects     Effects
}

const (
	// planInterval is the least time between two plans, so that a plan covers
	// the events of several answers.
	planInterval = 10 * time.Millisecond
	// endsInterval is the least time between two proposals of ends. Each
	// proposal costs a message to every follower and a write of every disk.
	endsInterval = 10 * time.Millisecond
	// inDoubtExpiryInterval is the time between two searches for starts that can no
	// longer come.
	inDoubtExpiryInterval = time.Second
)

// New returns the dispatcher of a new leader. state is owned by the Core from
// now on; it has every command that earlier leaders committed.
func New(opts Options, state *workload.State, now time.Time) *Core {
	c := &Core{
		opts: opts, state: state, now: now, startedAt: now, planNeeded: true,
		workers: map[workload.WorkerID]*worker{}, jobsByID: map[workload.JobID]*job{},
		inDoubtStarts: inDoubtStarts{},
		proposals:     map[uint64]*proposal{}, adviceCalls: map[uint64]*adviceCall{}, callers: map[string]*caller{}, grantedShare: map[string]float64{},
	}
	state.Jobs(func(j *workload.Job) { c.trackJob(j, j.AcceptedAt) })
	for _, w := range state.Workers() {
		c.updateWorker(w)
	}
	c.recoverInDoubtStarts()
	c.SawCaller(now, opts.Self)
	return c
}

func (c *Core) advanceClock(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// Authority says until when this process surely leads.
func (c *Core) Authority(now, until time.Time) {
	c.advanceClock(now)
	c.leaderLeaseEnd = until
}

// mayCallWorkers reports whether workers may be told anything that starts or prolongs
// work.
func (c *Core) mayCallWorkers() bool { return !c.fenced && c.now.Before(c.leaderLeaseEnd) }

// Applied takes a committed command, in the order of the log, with its result.
func (c *Core) Applied(now time.Time, at time.Time, retained time.Duration, command workload.Command) {
	c.advanceClock(now)
	closedRuns := c.runsClosedBy(command)
	result := c.state.Apply(at, retained, command)
	c.planNeeded = true
	switch {
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

// runsClosedBy returns the open runs that a command closes without naming them.
func (c *Core) runsClosedBy(command workload.Command) []workload.OpenRun {
	switch {
	case command.Register != nil:
		return c.state.Runs(command.Register.Worker.ID)
	case command.EndBoot != nil:
		return c.state.Runs(command.EndBoot.Worker)
	}
	return nil
}

// Expire drops old jobs, as the replicas do.
func (c *Core) Expire(retained time.Duration) { c.state.Expire(retained) }

// Tick lets time pass.
func (c *Core) Tick(now time.Time) {
	c.advanceClock(now)
	if c.fenced {
		return
	}
	c.processDueWorkers()
	c.expireAdviceCalls()
	c.processDueJobs()
	c.expireInDoubtStarts()
	if c.planNeeded && !c.now.Before(c.nextPlanAt) {
		c.planNeeded = false
		c.plan()
	}
	if !c.now.Before(c.nextEndsAt) {
		c.proposeEnds()
	}
}

// Effects returns what there is to do and starts a new batch.
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
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	consider(c.nextWorkerWake())
	for _, call := range c.adviceCalls {
		consider(call.deadline)
	}
	consider(c.nextJobWake)
	if c.planNeeded {
		consider(c.nextPlanAt)
	}
	if len(c.pendingEnds) > 0 {
		consider(c.nextEndsAt)
	}
	return earliest
}

// proposal is a command on its way, with what it holds reserved.
type proposal struct {
	command      workload.Command
	reservations []reservation
	ends         []workload.Ending
}

// reservation is capacity of a worker that a proposal will use.
type reservation struct {
	worker workload.WorkerID
	size   workload.Resources
}

func (c *Core) propose(p *proposal) {
	c.lastProposalID++
	c.proposals[c.lastProposalID] = p
	c.pendingEffects.Proposals = append(c.pendingEffects.Proposals, Proposal{ID: c.lastProposalID, Command: p.command})
}

// ProposalDone says that a proposal was committed and applied.
func (c *Core) ProposalDone(now time.Time, id uint64) {
	c.advanceClock(now)
	c.finishProposal(id)
}

// ProposalFailed says that a proposal was not taken, or that its outcome is not
// known. What it reserved is given back; an unknown one that is committed later
// opens its runs all the same.
func (c *Core) ProposalFailed(now time.Time, id uint64) {
	c.advanceClock(now)
	p := c.proposals[id]
	c.finishProposal(id)
	if p == nil {
		return
	}
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
	for _, held := range p.reservations {
		if w := c.workers[held.worker]; w != nil {
			w.reserved = w.reserved.Sub(held.size)
		}
	}
}

// maxEndsPerProposal bounds one command.
const maxEndsPerProposal = 512

func (c *Core) proposeEnds() {
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
