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
	// askMoreInterval is the least time between two calls that name further
	// workers.
	askMoreInterval = 100 * time.Millisecond
	// askMoreAfter is how long a step waits for room on the workers granted first
	// before a slow call names others.
	askMoreAfter = 200 * time.Millisecond
	// slowAdvice is the time of a call from which tickets are renewed ahead.
	slowAdvice = 100 * time.Millisecond
	// maxAdviceWait is how long a slow call may wait for the calls before it. With
	// more work than the adviser can do, calls would otherwise be answered in the
	// order in which they came, not by urgency, and their room would idle.
	maxAdviceWait = 100 * time.Millisecond
	// refreshPercent bounds the calls that renew tickets ahead: above this part
	// of the callers being busy, first calls go before.
	refreshPercent = 60
	// refreshFactor is how many workers a call that renews tickets ahead names
	// for each task.
	refreshFactor = 2
	// wantedSlots is for how many times its tasks a step asks for room: granted
	// workers may be full before the answer comes.
	wantedSlots = 3
	// minNamed is the least number of workers that a first call names, where
	// there are so many. It names more until they take leastShare of the time
	// that the call takes without them.
	minNamed   = 8
	leastShare = 0.5
	// firstGrantPercent is the part of the named workers that is taken to be
	// granted before a queue has had an answer, and the least that is assumed.
	firstGrantPercent = 40
	minGrantPercent   = 10
	// grantWeight is the weight of a new answer in the mean part that is
	// granted, one in this many.
	grantWeight = 8
)

// adviceCall is a call on the way.
type adviceCall struct {
	step   workload.StepID
	caller string
	named  []workload.WorkerID
	sentAt time.Time
	due    time.Time // when the answer is expected
	// expects is the room that the step will probably take on the named workers.
	expects  []reservation
	deadline time.Time
}

// adviceTime is how long the adviser takes for a call.
func adviceTime(advice *workload.AdviserConfig, named int) time.Duration {
	return advice.Base + time.Duration(named)*advice.PerWorker
}

// slow reports whether the calls for a queue keep a process busy for long.
func slow(advice *workload.AdviserConfig) bool { return adviceTime(advice, maxNamed) >= slowAdvice }

// mayAsk reports whether the adviser may be called about a step now, and wakes
// its job when it may be.
func (c *Core) mayAsk(r ready, s *step) bool {
	at := s.askAt
	if slow(r.job.Queue.Advice) && c.slowFreeAt.After(at) {
		at = c.slowFreeAt
	}
	if c.now.Before(at) {
		c.wakeJob(r.job, at)
		return false
	}
	return true
}

// ask calls the adviser about a step.
func (c *Core) ask(j *job, index int, named []workload.WorkerID) {
	s := &j.steps[index]
	expected := adviceTime(j.Queue.Advice, len(named))
	address, from := c.pickCaller(expected)
	if from == nil || len(named) == 0 {
		s.askAt = c.now.Add(retryAdvice)
		return
	}
	if wait := from.start(c.now).Sub(c.now); expected >= slowAdvice && wait > maxAdviceWait {
		c.slowFreeAt = c.now.Add(wait - maxAdviceWait)
		s.askAt = c.slowFreeAt
		return
	}
	from.busy = from.start(c.now).Add(expected)
	from.calls++
	c.lastAdvice++
	s.asking = c.lastAdvice
	id := workload.StepID{Job: j.ID, Step: index}
	timeout := from.busy.Sub(c.now) + adviceMargin
	call := &adviceCall{
		step: id, caller: address, named: named, sentAt: c.now, due: from.busy, deadline: c.now.Add(timeout + retryAdvice),
	}
	c.advice[c.lastAdvice] = call
	if s.granted == nil {
		c.expect(call, &j.Spec.Steps[index])
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
	for _, expected := range call.expects {
		if w := c.workers[expected.worker]; w != nil {
			w.expected = w.expected.Sub(expected.size)
		}
	}
	c.changed = true
	j := c.byID[call.step.Job]
	if from := c.callers[call.caller]; from != nil {
		from.answered(c.now, call.due, !grant.OK && !grant.Busy)
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
		c.wakeJob(j, s.askAt)
		decision.Kind = DecisionNoAdvice
		c.decide(decision)
		return
	}
	decision.Kind = DecisionGranted
	c.decide(decision)
	c.learnGranted(j.Queue.Name, len(grant.Tickets), len(call.named))
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
	s.freshUntil = now.Add(grant.TicketTTL)
	for worker, value := range grant.Tickets {
		s.granted[worker] = ticket{value: value, until: s.freshUntil}
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
func (c *Core) holdRoom(s *step, members []workload.TaskAssignment, size workload.Resources) {
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

// learnGranted updates the part of the named workers that is granted to a
// queue's steps.
func (c *Core) learnGranted(queue string, granted, named int) {
	sample := float64(granted) / float64(named)
	known, ok := c.granted[queue]
	if !ok {
		known = sample
	}
	c.granted[queue] = known + (sample-known)/grantWeight
}

// grantedPart is the part of the named workers that is expected to be granted.
func (c *Core) grantedPart(queue string) float64 {
	known, ok := c.granted[queue]
	if !ok {
		return firstGrantPercent / 100.0
	}
	return max(known, minGrantPercent/100.0)
}

// nameWorkers returns the workers to ask about: those that could run the step
// and were not named before, the ones with the most room first, as many as it
// probably takes to find room for all tasks.
func (c *Core) nameWorkers(j *job, index int, spec *workload.StepSpec) []workload.WorkerID {
	type option struct {
		worker *worker
		usable bool
		slow   bool               // and the step is a gang
		room   workload.Resources // that no other step is expected to take
	}
	var able []option
	for _, w := range c.list {
		if j.steps[index].named[w.ID] {
			continue
		}
		if w.Service == j.Queue.Service && !w.Gone && !w.Draining && couldRun(w, spec) {
			able = append(able, option{w, c.mayRun(w) && !c.avoided(w), spec.Gang && c.isSlow(w), c.free(w).Sub(w.expected)})
		}
	}
	// Workers that get nothing now come last: their room is of no use.
	slices.SortStableFunc(able, func(a, b option) int {
		return cmp.Or(after(!a.usable, !b.usable), after(a.slow, b.slow), cmp.Compare(b.room.MilliCPU, a.room.MilliCPU))
	})
	least := minNamed
	if advice := j.Queue.Advice; advice.PerWorker > 0 {
		least = max(least, int(leastShare*float64(advice.Base)/float64(advice.PerWorker)))
	}
	wanted := float64(wantedSlots*spec.Tasks) / c.grantedPart(j.Queue.Name)
	slots := 0.0
	var named []workload.WorkerID
	for _, o := range able[:min(len(able), maxNamed)] {
		if len(named) >= least && slots >= wanted {
			break
		}
		named = append(named, o.worker.ID)
		slots += float64(slotsFor(o.room, spec))
	}
	return named
}

// after orders what has a property behind what has not.
func after(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// expect notes the room that a step will probably take on the workers that a
// call names, so that the steps behind it name others.
func (c *Core) expect(call *adviceCall, spec *workload.StepSpec) {
	tasks := int64(spec.Tasks)
	for _, id := range call.named {
		share := workload.Resources{
			MilliCPU: spec.Size.MilliCPU * tasks / int64(len(call.named)), MemoryMB: spec.Size.MemoryMB * tasks / int64(len(call.named)),
			GPUs: spec.Size.GPUs * tasks / int64(len(call.named)),
		}
		call.expects = append(call.expects, reservation{id, share})
		w := c.workers[id]
		w.expected = w.expected.Add(share)
	}
}

// slotsFor is how many tasks of a step fit into room on one worker.
func slotsFor(room workload.Resources, spec *workload.StepSpec) int {
	slots := spec.Tasks
	for _, part := range [][2]int64{
		{room.MilliCPU, spec.Size.MilliCPU}, {room.MemoryMB, spec.Size.MemoryMB}, {room.GPUs, spec.Size.GPUs},
	} {
		if part[1] > 0 {
			slots = min(slots, int(max(part[0], 0)/part[1]))
		}
	}
	if spec.MaxPerWorker > 0 {
		slots = min(slots, spec.MaxPerWorker)
	}
	return slots
}

// refresh renews the tickets of a blocked gang before they run out, where a call
// takes long: room that waits for tickets would idle meanwhile. It names the
// granted workers with the most room.
func (c *Core) refresh(r ready, s *step, spec *workload.StepSpec) {
	count := min(len(s.granted), maxNamed, max(refreshFactor*spec.Tasks, minNamed))
	expected := adviceTime(r.job.Queue.Advice, count)
	if expected < slowAdvice || count == 0 || len(c.advice) >= len(c.callers)*refreshPercent/100 {
		return
	}
	// Each plan comes here for each blocked gang, so the workers are looked at
	// only when a call is due.
	if due := s.freshUntil.Add(-expected - callMargin); c.now.Before(due) {
		c.wakeJob(r.job, due)
		return
	}
	if !c.mayAsk(r, s) {
		return
	}
	able := make([]*worker, 0, len(s.granted))
	for _, w := range c.usable {
		if _, granted := s.granted[w.ID]; granted {
			able = append(able, w)
		}
	}
	slices.SortStableFunc(able, func(a, b *worker) int { return cmp.Compare(b.room.MilliCPU, a.room.MilliCPU) })
	named := make([]workload.WorkerID, 0, count)
	for _, w := range able[:min(len(able), count)] {
		named = append(named, w.ID)
	}
	c.ask(r.job, r.index, named)
}
