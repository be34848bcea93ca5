package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Limits of the calls to the adviser.
const (
	// maxNamed is the most workers that a call may name.
	maxNamed = 100
	// adviceMargin is added to the expected time of a call before it counts as
	// lost: the way over two regions and a slow caller.
	adviceMargin = 700 * time.Millisecond
	// retryAdvice is the wait after a call that failed.
	retryAdvice = 100 * time.Millisecond
	// askMoreInterval is the least time between two calls that name workers
	// which came since the first one.
	askMoreInterval = time.Second
	// slowAdvice is the time of a call from which tickets are renewed ahead.
	slowAdvice = 100 * time.Millisecond
	// callerTTL is how long a process counts as able to make calls after it was
	// last heard: three of its polls.
	callerTTL = 1200 * time.Millisecond
	// callerPenalty is how long a process gets no call after one was lost.
	callerPenalty = 2 * time.Second
)

// caller is a process that can call the adviser. The adviser serves the calls
// of one process in turn.
type caller struct {
	seenAt time.Time
	busy   time.Time // when its calls on the way are expected to be answered
	avoid  time.Time
}

// adviceCall is a call on the way.
type adviceCall struct {
	step     workload.StepID
	caller   string
	named    []workload.WorkerID
	sentAt   time.Time
	expected time.Duration
	deadline time.Time
}

// SawCaller says that a process is able to call the adviser.
func (c *Core) SawCaller(now time.Time, address string) {
	c.advance(now)
	if address == "" {
		return
	}
	known := c.callers[address]
	if known == nil {
		known = &caller{}
		c.callers[address] = known
	}
	known.seenAt = c.now
}

// pickCaller returns the process whose calls are answered first.
func (c *Core) pickCaller() (string, *caller) {
	best, address := (*caller)(nil), ""
	names := make([]string, 0, len(c.callers))
	for name := range c.callers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		known := c.callers[name]
		if name != c.opts.Self && (c.now.Sub(known.seenAt) > callerTTL || c.now.Before(known.avoid)) {
			continue
		}
		if best == nil || known.busy.Before(best.busy) && best.busy.After(c.now) {
			best, address = known, name
		}
	}
	return address, best
}

// ask calls the adviser about a step.
func (c *Core) ask(j *job, index int, named []workload.WorkerID) {
	s := &j.steps[index]
	address, from := c.pickCaller()
	if from == nil || len(named) == 0 {
		s.askAt = c.now.Add(retryAdvice)
		return
	}
	advice := j.Queue.Advice
	expected := advice.Base + time.Duration(len(named))*advice.PerWorker
	start := c.now
	if from.busy.After(start) {
		start = from.busy
	}
	from.busy = start.Add(expected)
	c.lastAdvice++
	s.asking = c.lastAdvice
	id := workload.StepID{Job: j.ID, Step: index}
	timeout := from.busy.Sub(c.now) + adviceMargin
	c.advice[c.lastAdvice] = &adviceCall{
		step: id, caller: address, named: named, sentAt: c.now, expected: expected, deadline: c.now.Add(timeout + retryAdvice),
	}
	c.decide(Decision{Kind: DecisionAsked, Job: j.ID, Step: index, Count: len(named), Reason: address})
	c.out.Advice = append(c.out.Advice, AdviceCall{ID: c.lastAdvice, Caller: address, Step: id, Workers: named, Timeout: timeout})
}

// AdviceAnswered takes the answer to an AdviceCall.
func (c *Core) AdviceAnswered(now time.Time, id uint64, grant Grant) {
	c.advance(now)
	call := c.advice[id]
	if call == nil {
		return
	}
	delete(c.advice, id)
	c.changed = true
	j := c.byID[call.step.Job]
	if from := c.callers[call.caller]; from != nil && !grant.OK && !grant.Busy {
		from.avoid = c.now.Add(callerPenalty)
	}
	if j == nil {
		return
	}
	s := &j.steps[call.step.Step]
	if s.asking != id {
		return
	}
	s.asking = 0
	c.releaseHeld(s)
	decision := Decision{Job: j.ID, Step: call.step.Step, Age: c.now.Sub(call.sentAt), Count: len(grant.Tickets), Reason: call.caller}
	if !grant.OK {
		s.askAt = c.now.Add(retryAdvice)
		j.sooner(s.askAt)
		decision.Kind = DecisionNoAdvice
		c.decide(decision)
		return
	}
	decision.Kind = DecisionGranted
	c.decide(decision)
	s.take(call.named, grant, c.now)
}

// take adds what the adviser answered.
func (s *step) take(named []workload.WorkerID, grant Grant, now time.Time) {
	if s.granted == nil {
		s.granted = map[workload.WorkerID]ticket{}
		s.named = map[workload.WorkerID]bool{}
	}
	for _, worker := range named {
		s.named[worker] = true
	}
	for worker, value := range grant.Tickets {
		s.granted[worker] = ticket{value: value, until: now.Add(grant.TicketTTL)}
	}
}

func (j *job) sooner(at time.Time) {
	if j.wake.IsZero() || at.Before(j.wake) {
		j.wake = at
	}
}

// checkAdvice gives up the calls that were not answered in time.
func (c *Core) checkAdvice() {
	var late []uint64
	for id, call := range c.advice {
		if !c.now.Before(call.deadline) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		c.AdviceAnswered(c.now, id, Grant{})
	}
	for _, j := range c.jobs {
		if !j.wake.IsZero() && !c.now.Before(j.wake) {
			j.wake = time.Time{}
			c.changed = true
		}
	}
}

// dropTickets forgets the tickets of a step, but not which workers were
// granted.
func (c *Core) dropTickets(id workload.StepID) {
	if j := c.byID[id.Job]; j != nil {
		for worker := range j.steps[id.Step].granted {
			j.steps[id.Step].granted[worker] = ticket{}
		}
	}
}

// holdRoom reserves room for a step while its tickets are renewed.
func (c *Core) holdRoom(s *step, members []workload.Member, size workload.Resources) {
	for _, m := range members {
		c.workers[m.Worker].reserve(size)
		s.held = append(s.held, reservation{m.Worker, size})
	}
}

func (c *Core) releaseHeld(s *step) {
	for _, held := range s.held {
		if w := c.workers[held.worker]; w != nil {
			w.reserved = w.reserved.Sub(held.size)
		}
	}
	s.held = nil
}

// nameWorkers returns the workers to ask about: all that could run the step and
// were not named before, those with the most room first where there are too
// many.
func (c *Core) nameWorkers(j *job, index int, spec *workload.StepSpec) []workload.WorkerID {
	var named []workload.WorkerID
	for _, id := range c.order {
		if j.steps[index].named[id] {
			continue
		}
		if w := c.workers[id]; w.Service == j.Queue.Service && !w.Gone && !w.Draining && couldRun(w, spec) {
			named = append(named, id)
		}
	}
	if len(named) > maxNamed {
		slices.SortStableFunc(named, func(a, b workload.WorkerID) int {
			return cmp.Compare(c.free(c.workers[b]).MilliCPU, c.free(c.workers[a]).MilliCPU)
		})
		named = named[:maxNamed]
	}
	return named
}

// refresh renews the tickets of a blocked step before they run out, where a
// call takes long: room that waits for tickets would idle meanwhile. It reports
// whether it called.
func (c *Core) refresh(r ready, s *step) bool {
	advice := r.job.Queue.Advice
	var named []workload.WorkerID
	last := time.Time{}
	for _, id := range c.order {
		known, granted := s.granted[id]
		if !granted || !c.mayRun(c.workers[id]) {
			continue
		}
		named = append(named, id)
		if known.until.After(last) {
			last = known.until
		}
	}
	expected := advice.Base + time.Duration(len(named))*advice.PerWorker
	if expected < slowAdvice || len(named) == 0 || len(c.advice) >= len(c.callers)/2 {
		return false
	}
	due := last.Add(-expected - callMargin)
	if c.now.Before(due) {
		r.job.sooner(due)
		return false
	}
	if c.now.Before(s.askAt) {
		r.job.sooner(s.askAt)
		return false
	}
	c.ask(r.job, r.index, named[:min(len(named), maxNamed)])
	return true
}
