package routingbench

import (
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/routing"
)

// Settings of the service in the benchmark, as in docs/design.md, section 6.
const (
	announceInterval   = 500 * time.Millisecond
	announceLease      = 2 * time.Second
	deadline           = 5 * time.Second
	maxQueue           = 400
	retryBudget        = 0.1
	crossRegionPenalty = 20 * time.Millisecond
	panicThreshold     = 0.5
	tickInterval       = 50 * time.Millisecond
	maxAttempts        = 4
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
	recorded bool // arrived after the warm-up, so its result counts
	ended    bool
}

// entry simulates one entry process. It handles requests as the router task of the gateway does.
type entry struct {
	location
	name    cell.EntryName
	run     *run
	picker  picker
	queue   *admission.Queue
	waiting map[uint64]*request
	pools   map[cell.BackendName]*connectionPool // requests wait in them only with the simple methods
	lost    bool
}

// connectionPool counts the connections of one entry process to one backend server and queues the
// requests that wait for one, as http.Transport does.
type connectionPool struct {
	open    int
	waiting []func()
}

func (e *entry) now() time.Time { return e.run.clock.now }

func (e *entry) arrive(r *request) {
	if e.lost {
		return
	}
	e.enqueue(r, false)
}

func (e *entry) enqueue(r *request, retry bool) {
	e.run.nextID++
	r.id = e.run.nextID
	e.waiting[r.id] = r
	t := admission.Request{ID: r.id, Team: team, Deadline: r.deadline, Retry: retry}
	for _, refused := range e.queue.Offer(e.now(), t) {
		e.refuse(refused)
	}
	e.dispatchQueued()
}

func (e *entry) refuse(refused admission.Refused) {
	r := e.waiting[refused.Request.ID]
	delete(e.waiting, refused.Request.ID)
	e.run.recordNotRun(r, string(refused.Reason))
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
	e.dispatchQueued()
	e.run.clock.after(tickInterval, e.tick)
}

func (e *entry) dispatchQueued() {
	for {
		dispatched := false
		for _, t := range e.queue.Candidates() {
			dispatched = e.tryDispatch(t)
			if dispatched {
				break
			}
		}
		if !dispatched {
			return
		}
	}
}

// tryDispatch dispatches or refuses a request, and reports whether it did: false means that the
// request has to wait.
func (e *entry) tryDispatch(t admission.Request) bool {
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

// dispatch sends a request to the chosen server. With the simple methods, some of which ignore the
// connection limit, the request waits if all connections to the server are in use.
func (e *entry) dispatch(r *request, c routing.Choice) {
	e.picker.Started(e.now(), c)
	r.tried = append(r.tried, c.Backend)
	a := &attempt{entry: e, request: r, choice: c, sentAt: e.now(), backend: e.run.backend(c.Backend)}
	e.run.clock.after(r.deadline.Sub(e.now()), a.timeOut)
	p := e.pools[c.Backend]
	if p == nil {
		p = &connectionPool{}
		e.pools[c.Backend] = p
	}
	a.pool = p
	if p.open >= connections/entryCount && e.run.method.simple != nil {
		p.waiting = append(p.waiting, a.send)
		return
	}
	a.send()
}

// attempt is one dispatch of a request to a backend server.
type attempt struct {
	entry   *entry
	request *request
	choice  routing.Choice
	backend *backend
	pool    *connectionPool
	sentAt  time.Time
	sent    bool
	ended   bool
}

func (a *attempt) send() {
	if a.ended {
		a.pool.sendNext()
		return
	}
	a.sent = true
	a.pool.open++
	e := a.entry
	if a.backend.region != e.region {
		e.run.crossRegion++
	}
	delay := oneWayDelay(e.location, a.backend.location)
	e.run.clock.after(delay, func() {
		a.backend.receive(&e.run.clock, a.request.service, func(resp response) {
			e.run.clock.after(delay, func() { a.handleResponse(resp) })
		})
	})
}

func (p *connectionPool) sendNext() {
	if len(p.waiting) == 0 || p.open >= connections/entryCount {
		return
	}
	first := p.waiting[0]
	p.waiting = p.waiting[1:]
	first()
}

func (a *attempt) handleResponse(resp response) {
	if a.ended || a.entry.lost {
		return
	}
	result := routing.ResultAnswered
	switch {
	case resp.refused:
		result = routing.ResultRefused
		a.entry.run.refusals++
	case resp.failed:
		result = routing.ResultFailed
	}
	a.end(result, resp.inFlight)
	switch result {
	case routing.ResultAnswered:
		a.entry.run.recordAnswer(a.request)
	case routing.ResultFailed:
		a.entry.run.recordError(a.request)
	case routing.ResultRefused:
		if len(a.request.tried) >= maxAttempts {
			a.entry.run.recordNotRun(a.request, "backend-refused")
			return
		}
		a.entry.enqueue(a.request, true)
	}
}

func (a *attempt) timeOut() {
	if a.ended || a.entry.lost {
		return
	}
	a.end(routing.ResultTimedOut, routing.UnknownInFlight)
	a.entry.run.recordTimeOut(a.request)
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
		a.pool.open--
		a.pool.sendNext()
	}
	e.dispatchQueued()
}
