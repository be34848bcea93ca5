package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Core is the dispatcher of one term. It is not safe for concurrent use.
type Core struct {
	opts    Options
	state   *workload.State
	now     time.Time
	started time.Time
	// authority is when the leader lease ends. Later nothing is sent that could
	// start or prolong work.
	authority time.Time
	fenced    bool // a worker has seen a later leader

	workers map[workload.WorkerID]*worker
	list    []*worker // of workers, sorted by id
	// registrations counts what became known of workers; a step that has named
	// all of them names no more until it changes.
	registrations int
	wakeUps       wakeUps   // of workers
	due           []*worker // reused by dueWorkers
	jobs          []*job    // live jobs, oldest first
	byID          map[workload.JobID]*job
	// jobsWake is not after the first wake of a job; zero where there is none.
	jobsWake time.Time
	// lossyUntil is when answers of workers no longer count as being lost.
	lossyUntil time.Time
	late       lateStarts
	nextSweep  time.Time // of late

	lastProposal uint64
	proposals    map[uint64]*proposal
	ends         []workload.EndedRun // to be proposed with the next batch

	lastAdvice uint64
	advice     map[uint64]*adviceCall
	callers    map[string]*caller
	granted    map[string]float64 // by queue: mean part of the named workers that is granted

	usable []*worker   // in the plan that is being made
	found  []candidate // reused by candidates
	fast   []candidate // reused by choose
	total  int64       // thousandths of a core of the usable workers
	live   []string    // processes that may be given a call to the adviser
	scarce bool        // little room is free in the plan that is being made
	// slowFreeAt is when a slow call may be made again; zero where one may be
	// made now.
	slowFreeAt time.Time
	// slowBelow is the speed below which a worker counts as slow.
	slowBelow  float64
	nextSpeeds time.Time
	claimed    int64 // part of total that blocked gangs claim in the plan
	nextPlan   time.Time
	nextEnds   time.Time
	changed    bool
	out        Effects
}

const (
	// planInterval is the least time between two plans, so that a plan covers
	// the events of several answers.
	planInterval = 10 * time.Millisecond
	// endsInterval is the least time between two proposals of ends. Each
	// proposal costs a message to every follower and a write of every disk.
	endsInterval = 10 * time.Millisecond
	// sweepInterval is the time between two searches for starts that can no
	// longer come.
	sweepInterval = time.Second
)

// New returns the dispatcher of a new leader. state is owned by the Core from
// now on; it has every command that earlier leaders committed.
func New(opts Options, state *workload.State, now time.Time) *Core {
	c := &Core{
		opts: opts, state: state, now: now, started: now, changed: true,
		workers: map[workload.WorkerID]*worker{}, byID: map[workload.JobID]*job{},
		late:      lateStarts{},
		proposals: map[uint64]*proposal{}, advice: map[uint64]*adviceCall{}, callers: map[string]*caller{}, granted: map[string]float64{},
	}
	state.ForEachJob(func(j *workload.Job) { c.track(j, j.AcceptedAt) })
	for _, w := range state.Workers() {
		c.follow(w)
	}
	c.adoptLate()
	c.SawCaller(now, opts.Self)
	return c
}

func (c *Core) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// Authority says until when this process surely leads.
func (c *Core) Authority(now, until time.Time) {
	c.advance(now)
	c.authority = until
}

// mayOrder reports whether workers may be told anything that starts or prolongs
// work.
func (c *Core) mayOrder() bool { return !c.fenced && c.now.Before(c.authority) }

// Applied takes a committed command, in the order of the log, with its result.
func (c *Core) Applied(now time.Time, at time.Time, retained time.Duration, command workload.Command) {
	c.advance(now)
	before := c.touched(command)
	result := c.state.Apply(at, retained, command)
	c.changed = true
	switch {
	case command.Submit != nil:
		c.submitted(command.Submit.ID)
	case command.Cancel != nil:
		c.settle(command.Cancel.ID)
	case command.Register != nil:
		c.registered(command.Register.Worker.ID, before)
	case command.Drain != nil:
		c.followID(command.Drain.Worker)
	case command.Decide != nil:
		c.decided(*command.Decide, result)
	case command.EndBoot != nil:
		c.bootEnded(*command.EndBoot, before)
	}
}

// touched returns the open runs that a command closes without naming them.
func (c *Core) touched(command workload.Command) []workload.OpenRun {
	switch {
	case command.Register != nil:
		return c.state.OpenRuns(command.Register.Worker.ID)
	case command.EndBoot != nil:
		return c.state.OpenRuns(command.EndBoot.Worker)
	}
	return nil
}

// Expire drops old jobs, as the replicas do.
func (c *Core) Expire(retained time.Duration) { c.state.Expire(retained) }

// Tick lets time pass.
func (c *Core) Tick(now time.Time) {
	c.advance(now)
	if c.fenced {
		return
	}
	c.checkWorkers()
	c.checkAdvice()
	c.checkJobs()
	c.sweepLate()
	if c.changed && !c.now.Before(c.nextPlan) {
		c.changed = false
		c.plan()
	}
	if !c.now.Before(c.nextEnds) {
		c.proposeEnds()
	}
}

// Effects returns what there is to do and starts a new batch.
func (c *Core) Effects() Effects {
	out := c.out
	c.out = Effects{}
	out.Deadline = c.deadline()
	return out
}

func (c *Core) deadline() time.Time {
	if c.fenced {
		return time.Time{}
	}
	var first time.Time
	sooner := func(at time.Time) {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	sooner(c.nextWake())
	for _, call := range c.advice {
		sooner(call.deadline)
	}
	sooner(c.jobsWake)
	if c.changed {
		sooner(c.nextPlan)
	}
	if len(c.ends) > 0 {
		sooner(c.nextEnds)
	}
	return first
}

// proposal is a command on its way, with what it holds reserved.
type proposal struct {
	command workload.Command
	holds   []reservation
	ends    []workload.EndedRun
}

// reservation is capacity of a worker that a proposal will use.
type reservation struct {
	worker workload.WorkerID
	size   workload.Resources
}

func (c *Core) propose(p *proposal) {
	c.lastProposal++
	c.proposals[c.lastProposal] = p
	c.out.Proposals = append(c.out.Proposals, Proposal{ID: c.lastProposal, Command: p.command})
}

// ProposalDone says that a proposal was committed and applied.
func (c *Core) ProposalDone(now time.Time, id uint64) {
	c.advance(now)
	c.forget(id)
}

// ProposalFailed says that a proposal was not taken, or that its outcome is not
// known. What it reserved is given back; an unknown one that is committed later
// opens its runs all the same.
func (c *Core) ProposalFailed(now time.Time, id uint64) {
	c.advance(now)
	p := c.proposals[id]
	c.forget(id)
	if p == nil {
		return
	}
	c.changed = true
	c.ends = append(c.ends, p.ends...)
	if decide := p.command.Decide; decide != nil {
		for _, assign := range decide.Assigns {
			c.release(assign)
		}
	}
	if ended := p.command.EndBoot; ended != nil {
		if w := c.workers[ended.Worker]; w != nil {
			w.ending = false
			c.wakeAt(w, c.now)
		}
	}
}

func (c *Core) forget(id uint64) {
	p := c.proposals[id]
	if p == nil {
		return
	}
	delete(c.proposals, id)
	for _, held := range p.holds {
		if w := c.workers[held.worker]; w != nil {
			w.reserved = w.reserved.Sub(held.size)
		}
	}
}

// maxEndsPerProposal bounds one command.
const maxEndsPerProposal = 512

func (c *Core) proposeEnds() {
	if len(c.ends) > 0 {
		c.nextEnds = c.now.Add(endsInterval)
	}
	for len(c.ends) > 0 {
		n := min(len(c.ends), maxEndsPerProposal)
		batch := slices.Clone(c.ends[:n])
		c.ends = c.ends[n:]
		c.propose(&proposal{command: workload.Command{Decide: &workload.Decide{Ends: batch}}, ends: batch})
	}
	c.ends = nil
}

func (c *Core) decide(d Decision) { c.out.Decisions = append(c.out.Decisions, d) }
