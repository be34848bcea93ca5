package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Limits of advice calls.
const (
	// maxNamedWorkers is the maximum number of workers that an advice call may name.
	maxNamedWorkers = 100
	// adviceTimeoutMargin is added to the expected duration of a call before the call counts as
	// lost. It covers the round trip between two regions and a slow requester.
	adviceTimeoutMargin = 700 * time.Millisecond
	// adviceRetryDelay is the delay after a failed advice call.
	adviceRetryDelay = 100 * time.Millisecond
	// furtherAdviceInterval is the minimum time between two calls that name further workers.
	furtherAdviceInterval = 100 * time.Millisecond
	// furtherAdviceDelay is how long a step waits for free resources on the workers granted first
	// before a slow call names further workers.
	furtherAdviceDelay = 200 * time.Millisecond
	// slowAdviceThreshold is the duration at which an advice call counts as slow. Tickets that
	// take a slow call are refreshed before they expire.
	slowAdviceThreshold = 100 * time.Millisecond
	// maxSlowAdviceWait is how long a slow call may wait for earlier calls of the same requester.
	// When the adviser is overloaded, longer queues would be answered in order of arrival instead
	// of urgency, and the resources reserved for them would stay idle.
	maxSlowAdviceWait = 100 * time.Millisecond
	// maxRefreshBusyPercent is the share of busy requesters at which tickets are no longer
	// refreshed, so that first calls take precedence.
	maxRefreshBusyPercent = 60
	// refreshWorkersPerTask is the number of workers per task that a refresh call names.
	refreshWorkersPerTask = 2
	// slotsPerTask is the number of task slots that a step requests for each of its tasks, because
	// granted workers may be full when the answer arrives.
	slotsPerTask = 3
	// minNamedWorkers is the minimum number of workers that a first call names, if that many are
	// eligible. A call names more until naming them takes minNamingTimeShare of the call's base
	// duration.
	minNamedWorkers    = 8
	minNamingTimeShare = 0.5
	// initialGrantedPercent is the share of named workers that is assumed to be granted before a
	// queue has received an answer. minGrantedPercent is the minimum that is assumed afterwards.
	initialGrantedPercent = 40
	minGrantedPercent     = 10
	// grantedSampleDivisor sets the weight of a new answer in the moving average of the granted
	// share: 1/grantedSampleDivisor.
	grantedSampleDivisor = 8
)

// adviceCall is an advice call in flight.
type adviceCall struct {
	step         workload.StepID
	requester    string
	namedWorkers []workload.WorkerID
	sentAt       time.Time
	expectedAt   time.Time // expected time of the answer
	// expectedUse is the expected resource use of the step on the named workers.
	expectedUse []reservation
	deadline    time.Time
	// ticketDemand is what the step of a first or further call needs of a service, in millicores.
	service      string
	ticketDemand int64
}

// adviceTime returns how long the adviser takes to process a call.
func adviceTime(advice *workload.AdviserConfig, named int) time.Duration {
	return advice.Base + time.Duration(named)*advice.PerWorker
}

// isSlowAdvice reports whether advice calls for a queue can keep a requester busy for a long time.
func isSlowAdvice(advice *workload.AdviserConfig) bool {
	return adviceTime(advice, maxNamedWorkers) >= slowAdviceThreshold
}

// mayRequestAdvice reports whether an advice call about a step may be made now. If not, it
// schedules a wake-up of the job.
func (c *Core) mayRequestAdvice(r readyStep, s *step) bool {
	at := s.nextAdviceAt
	switch slow := isSlowAdvice(r.job.Queue.Advice); {
	case slow && c.nextSlowAdviceAt.After(at):
		at = c.nextSlowAdviceAt
	case !slow && c.nextFastAdviceAt.After(at):
		at = c.nextFastAdviceAt
	}
	if c.now.Before(at) {
		c.scheduleJobWake(r.job, at)
		return false
	}
	return true
}

// requestAdvice makes an advice call about a step.
func (c *Core) requestAdvice(j *job, index int, named []workload.WorkerID) {
	s := &j.steps[index]
	expected := adviceTime(j.Queue.Advice, len(named))
	address, requester := c.pickRequester(expected)
	if requester == nil || len(named) == 0 {
		s.nextAdviceAt = c.now.Add(adviceRetryDelay)
		return
	}
	if until, bounded := c.boundAdvice(requester, expected); bounded {
		s.nextAdviceAt = until
		return
	}
	requester.busyUntil = requester.nextCallStart(c.now).Add(expected)
	requester.callsInFlight++
	c.lastAdviceID++
	s.adviceInFlight = c.lastAdviceID
	id := j.StepID(index)
	timeout := requester.busyUntil.Sub(c.now) + requester.timeoutMargin()
	call := &adviceCall{
		step: id, requester: address, namedWorkers: named, sentAt: c.now, expectedAt: requester.busyUntil, deadline: c.now.Add(timeout + adviceRetryDelay),
	}
	c.adviceCalls[c.lastAdviceID] = call
	if isEarlier(call.deadline, c.nextAdviceExpiry) {
		c.nextAdviceExpiry = call.deadline
	}
	if s.answeredWorkers == nil {
		c.addExpectedUse(call, &j.Spec.Steps[index])
	}
	c.recordDecision(Decision{Kind: DecisionAdviceAsked, Job: j.ID, Step: index, Count: len(named), Reason: address})
	c.pendingEffects.Advice = append(c.pendingEffects.Advice, AdviceCall{ID: c.lastAdviceID, Requester: address, Step: id, Workers: named, Timeout: timeout})
}

// AdviceAnswered processes the answer to an AdviceCall.
func (c *Core) AdviceAnswered(now time.Time, id uint64, grant Grant) {
	c.advanceClock(now)
	call := c.adviceCalls[id]
	if call == nil {
		return
	}
	delete(c.adviceCalls, id)
	c.releaseExpectedUse(call)
	c.planNeeded = true
	j := c.jobsByID[call.step.Job]
	if requester := c.requesters[call.requester]; requester != nil {
		requester.callEnded(c.now, call.expectedAt, !grant.OK && !grant.Busy)
	}
	if j == nil {
		return
	}
	s := &j.steps[call.step.Step]
	if s.adviceInFlight != id {
		return
	}
	s.adviceInFlight = 0
	c.releaseRenewalReservations(s)
	decision := Decision{Job: j.ID, Step: call.step.Step, Age: c.now.Sub(call.sentAt), Count: len(grant.Tickets), Reason: call.requester}
	if !grant.OK {
		s.nextAdviceAt = c.now.Add(adviceRetryDelay)
		c.scheduleJobWake(j, s.nextAdviceAt)
		decision.Kind = DecisionAdviceFailed
		c.recordDecision(decision)
		return
	}
	decision.Kind = DecisionAdviceGranted
	c.recordDecision(decision)
	c.updateGrantedShare(j.Queue.Name, len(grant.Tickets), len(call.namedWorkers))
	c.addGrant(s, call.namedWorkers, grant)
}

// addGrant records the adviser's answer for the named workers.
func (c *Core) addGrant(s *step, named []workload.WorkerID, answer Grant) {
	if s.answeredWorkers == nil {
		s.answeredWorkers = map[workload.WorkerID]bool{}
	}
	for _, id := range named {
		s.answeredWorkers[id] = true
	}
	s.ticketsExpireAt = answer.receivedAt(c.now).Add(answer.TicketTTL)
	s.maxTicketTTL = max(s.maxTicketTTL, answer.TicketTTL)
	for id, ticket := range answer.Tickets {
		w := c.workers[id]
		if w == nil {
			continue
		}
		at, known := s.findGrant(id)
		if !known {
			s.grants = slices.Insert(s.grants, at, grant{})
		}
		s.grants[at] = grant{worker: w, ticket: ticket, expiresAt: s.ticketsExpireAt}
	}
}

// findGrant returns the position of the grant for a worker, or where it is to be inserted.
func (s *step) findGrant(id workload.WorkerID) (at int, found bool) {
	return slices.BinarySearchFunc(s.grants, id, func(g grant, id workload.WorkerID) int { return cmp.Compare(g.worker.ID, id) })
}

// ticketFor returns the last ticket for a worker and its expiry, or "" if there is none.
func (s *step) ticketFor(id workload.WorkerID) (ticket string, expiresAt time.Time) {
	if at, found := s.findGrant(id); found {
		return s.grants[at].ticket, s.grants[at].expiresAt
	}
	return "", time.Time{}
}

// expireAdviceCalls treats calls that were not answered in time as failed.
func (c *Core) expireAdviceCalls() {
	if c.nextAdviceExpiry.IsZero() || c.now.Before(c.nextAdviceExpiry) {
		return
	}
	c.nextAdviceExpiry = time.Time{}
	var expired []uint64
	for id, call := range c.adviceCalls {
		switch {
		case !c.now.Before(call.deadline):
			expired = append(expired, id)
		case isEarlier(call.deadline, c.nextAdviceExpiry):
			c.nextAdviceExpiry = call.deadline
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		c.AdviceAnswered(c.now, id, Grant{})
	}
}

// dropTickets removes the tickets of a step but keeps the information which workers were granted.
func (c *Core) dropTickets(id workload.StepID) {
	if j := c.jobsByID[id.Job]; j != nil {
		grants := j.steps[id.Step].grants
		for i := range grants {
			grants[i] = grant{worker: grants[i].worker}
		}
	}
}

// reserveForRenewal reserves resources for a step while its tickets are renewed.
func (c *Core) reserveForRenewal(s *step, members []workload.TaskAssignment, size workload.Resources) {
	for _, m := range members {
		c.workers[m.Worker].reserve(size)
		s.renewalReservations = append(s.renewalReservations, reservation{m.Worker, size})
	}
}

func (c *Core) releaseRenewalReservations(s *step) {
	for _, reserved := range s.renewalReservations {
		if w := c.workers[reserved.worker]; w != nil {
			w.reserved = w.reserved.Sub(reserved.size)
		}
	}
	s.renewalReservations = nil
}

// updateGrantedShare adds an answer to the moving average of a queue's granted share.
func (c *Core) updateGrantedShare(queue string, granted, named int) {
	sample := float64(granted) / float64(named)
	mean, ok := c.grantedShare[queue]
	if !ok {
		mean = sample
	}
	c.grantedShare[queue] = mean + (sample-mean)/grantedSampleDivisor
}

// expectedGrantedShare returns the share of named workers that is expected to be granted.
func (c *Core) expectedGrantedShare(queue string) float64 {
	share, ok := c.grantedShare[queue]
	if !ok {
		return initialGrantedPercent / 100.0
	}
	return max(share, minGrantedPercent/100.0)
}

// addExpectedUse records the resources that a step will probably use on the workers named in a
// call, so that later steps name other workers.
func (c *Core) addExpectedUse(call *adviceCall, spec *workload.StepSpec) {
	tasks := int64(spec.Tasks)
	for _, id := range call.namedWorkers {
		share := workload.Resources{
			MilliCPU: spec.Size.MilliCPU * tasks / int64(len(call.namedWorkers)), MemoryMB: spec.Size.MemoryMB * tasks / int64(len(call.namedWorkers)),
			GPUs: spec.Size.GPUs * tasks / int64(len(call.namedWorkers)),
		}
		call.expectedUse = append(call.expectedUse, reservation{id, share})
		w := c.workers[id]
		w.expectedUse = w.expectedUse.Add(share)
	}
}

// slotsFor returns how many tasks of a step fit into free resources of one worker.
func slotsFor(free workload.Resources, spec *workload.StepSpec) int {
	slots := spec.Tasks
	for _, resource := range [][2]int64{
		{free.MilliCPU, spec.Size.MilliCPU}, {free.MemoryMB, spec.Size.MemoryMB}, {free.GPUs, spec.Size.GPUs},
	} {
		if resource[1] > 0 {
			slots = min(slots, int(max(resource[0], 0)/resource[1]))
		}
	}
	if spec.MaxPerWorker > 0 {
		slots = min(slots, spec.MaxPerWorker)
	}
	return slots
}

// refreshTickets renews the tickets of a blocked gang before they expire if an advice call takes
// long. Otherwise the resources would stay idle during the call. It names the granted workers with
// the most free resources.
func (c *Core) refreshTickets(r readyStep, s *step, spec *workload.StepSpec) {
	count := min(len(s.grants), maxNamedWorkers, max(refreshWorkersPerTask*spec.Tasks, minNamedWorkers))
	expected := adviceTime(r.job.Queue.Advice, count)
	if expected < slowAdviceThreshold || count == 0 || len(c.adviceCalls) >= len(c.requesters)*maxRefreshBusyPercent/100 {
		return
	}
	// Every plan calls this function for every blocked gang, so the workers are inspected only when
	// a call is due.
	if refreshAt := s.ticketsExpireAt.Add(-expected - c.startDelay(s.maxTicketTTL)); c.now.Before(refreshAt) {
		c.scheduleJobWake(r.job, refreshAt)
		return
	}
	if !c.mayRequestAdvice(r, s) {
		return
	}
	granted := slices.Clone(c.usableGranted(s))
	slices.SortStableFunc(granted, func(a, b *worker) int { return cmp.Compare(b.freeInPlan.MilliCPU, a.freeInPlan.MilliCPU) })
	named := make([]workload.WorkerID, 0, count)
	for _, w := range granted[:min(len(granted), count)] {
		named = append(named, w.ID)
	}
	c.requestAdvice(r.job, r.index, named)
}
