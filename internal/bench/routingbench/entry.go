package routingbench

import (
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/routing"
)

// Settings of the service in the benchmark, as in docs/design.md, section 6.
const (
	announceInterval = 500 * time.Millisecond
	announceLease    = 2 * time.Second
	deadline         = 5 * time.Second
	maxQueue         = 400
	retryBudget      = 0.1
	crossPenalty     = 20 * time.Millisecond
	panicThreshold   = 0.5
	tickInterval     = 50 * time.Millisecond
	maxAttempts      = 4
)

const service = cell.Service("bench")
const team = cell.Team("bench")

// request is one request of a caller.
type request struct {
	id       uint64
	arrived  time.Time
	deadline time.Time
	service  time.Duration
	tried    []cell.BackendName
	recorded bool // arrived after the warm-up
	ended    bool
}

// entry is one entry process. It does what the router task of the gateway does.
type entry struct {
	place
	name    cell.EntryName
	run     *run
	picker  picker
	queue   *admission.Queue
	waiting map[uint64]*request
	pairs   map[cell.BackendName]*pair // connection queues of choices that do not look at the limit
	lost    bool
}

// pair is the connections of one entry process to one backend server, with the
// requests that wait for one, as http.Transport queues them.
type pair struct {
	open    int
	waiting []func()
}

func (e *entry) now() time.Time { return e.run.clock.now }

func (e *entry) arrive(r *request) {
	if e.lost {
		return
	}
	e.offer(r, false)
}

func (e *entry) offer(r *request, retry bool) {
	e.run.nextID++
	r.id = e.run.nextID
	e.waiting[r.id] = r
	t := admission.Request{ID: r.id, Team: team, Deadline: r.deadline, Retry: retry}
	for _, refused := range e.queue.Offer(e.now(), t) {
		e.refuse(refused)
	}
	e.pump()
}

func (e *entry) refuse(refused admission.Refused) {
	r := e.waiting[refused.Request.ID]
	delete(e.waiting, refused.Request.ID)
	e.run.notRun(r, string(refused.Reason))
}

func (e *entry) tick() {
	if e.lost {
		return
	}
	e.picker.Expire(e.now())
	e.queue.SetCeiling(e.picker.Capacity(service))
	for _, refused := range e.queue.Expire(e.now()) {
		e.refuse(refused)
	}
	e.pump()
	e.run.clock.after(tickInterval, e.tick)
}

func (e *entry) pump() {
	for {
		moved := false
		for _, t := range e.queue.Candidates() {
			moved = e.try(t)
			if moved {
				break
			}
		}
		if !moved {
			return
		}
	}
}

// try dispatches or refuses a request, and reports false where it has to wait.
func (e *entry) try(t admission.Request) bool {
	r := e.waiting[t.ID]
	choice, refusal := e.picker.Pick(e.now(), routing.Request{Service: service, Exclude: r.tried, Waiting: e.queue.Waiting()})
	switch refusal {
	case routing.RefusalBusy:
		return false
	case routing.RefusalNone:
		e.queue.Take(e.now(), t)
		delete(e.waiting, t.ID)
		e.dispatch(r, choice)
	default:
		e.queue.Remove(t.ID)
		e.refuse(admission.Refused{Request: t, Reason: admission.Refusal(refusal)})
	}
	return true
}

// dispatch sends a request, waiting for a connection where all are in use.
func (e *entry) dispatch(r *request, c routing.Choice) {
	e.picker.Started(e.now(), c)
	r.tried = append(r.tried, c.Backend)
	a := &attempt{entry: e, request: r, choice: c, sentAt: e.now(), backend: e.run.backend(c.Backend)}
	e.run.clock.after(r.deadline.Sub(e.now()), a.timeOut)
	p := e.pairs[c.Backend]
	if p == nil {
		p = &pair{}
		e.pairs[c.Backend] = p
	}
	a.pair = p
	if p.open >= connections/entryCount && e.run.method.simple != nil {
		p.waiting = append(p.waiting, a.send)
		return
	}
	a.send()
}

// attempt is one dispatch.
type attempt struct {
	entry   *entry
	request *request
	choice  routing.Choice
	backend *backend
	pair    *pair
	sentAt  time.Time
	sent    bool
	ended   bool
}

func (a *attempt) send() {
	if a.ended {
		a.pair.next()
		return
	}
	a.sent = true
	a.pair.open++
	e := a.entry
	if a.backend.region != e.region {
		e.run.crossings++
	}
	delay := oneWay(e.place, a.backend.place)
	e.run.clock.after(delay, func() {
		a.backend.receive(&e.run.clock, a.request.service, func(o outcome) {
			e.run.clock.after(delay, func() { a.answered(o) })
		})
	})
}

func (p *pair) next() {
	if len(p.waiting) == 0 || p.open >= connections/entryCount {
		return
	}
	first := p.waiting[0]
	p.waiting = p.waiting[1:]
	first()
}

func (a *attempt) answered(o outcome) {
	if a.ended || a.entry.lost {
		return
	}
	result := routing.ResultAnswered
	switch {
	case o.refused:
		result = routing.ResultRefused
		a.entry.run.refusals++
	case o.failed:
		result = routing.ResultFailed
	}
	a.end(result, o.inFlight)
	switch result {
	case routing.ResultAnswered:
		a.entry.run.done(a.request)
	case routing.ResultFailed:
		a.entry.run.failed(a.request)
	case routing.ResultRefused:
		if len(a.request.tried) >= maxAttempts {
			a.entry.run.notRun(a.request, "backend-refused")
			return
		}
		a.entry.offer(a.request, true)
	}
}

func (a *attempt) timeOut() {
	if a.ended || a.entry.lost {
		return
	}
	a.end(routing.ResultTimedOut, routing.UnknownInFlight)
	a.entry.run.timedOut(a.request)
}

func (a *attempt) end(result routing.Result, inFlight int) {
	a.ended = true
	e := a.entry
	delay := e.now().Sub(a.sentAt)
	e.picker.Finished(e.now(), a.choice, routing.Observation{Result: result, Delay: delay, InFlight: inFlight})
	e.queue.Finished(e.now(), admission.Completion{
		Answered: result == routing.ResultAnswered, Refused: result == routing.ResultRefused, Delay: delay,
	})
	if a.sent {
		a.pair.open--
		a.pair.next()
	}
	e.pump()
}
