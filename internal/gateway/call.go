package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/routing"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

// call is one request of a caller.
type call struct {
	routed
	gateway    *Gateway
	w          http.ResponseWriter
	req        *http.Request
	idempotent bool
	id         string
	arrivedAt  time.Time
	exchange   *exchange.Exchange
	entered    bool // the router counts the call as in flight
	beginID    uint64
	digest     uint64
	granted    grant
	attempts   int
	retryAfter time.Duration
	stored     *state.StoredAnswer // answer to record; nil if it is too large
}

func (g *Gateway) serveCaller(w http.ResponseWriter, req *http.Request) {
	s := g.inForce.Load()
	now := g.clock.now()
	boundWrites(w, ownAnswerTimeout)
	if s.draining {
		w.Header().Set("Connection", "close")
		g.refuse(w, req, refused(exchange.ReasonDraining, 0, "entry process is stopping"))
		return
	}
	if s.generation == 0 {
		g.refuse(w, req, refused(exchange.ReasonNotReady, 0, "no configuration yet"))
		return
	}
	decoded, err := g.decodeRequest(w, req, s, now)
	if err != nil {
		g.refuse(w, req, err)
		return
	}
	boundWrites(w, decoded.deadline.Sub(now)+ownAnswerTimeout)
	g.newCall(w, req, decoded, s, now).run()
}

// ownAnswerTimeout limits the time to write an answer that the gateway generates.
// It starts at the deadline of the request at the latest.
const ownAnswerTimeout = 2 * time.Second

// boundWrites sets a write timeout for the caller's connection, because an answer
// that the caller does not read occupies a slot of a backend server. The next
// request on the connection sets a new timeout.
func boundWrites(w http.ResponseWriter, d time.Duration) {
	// The error is ignored: only the recorders in tests do not support a deadline,
	// and their writes do not block.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d))
}

// refuse answers a request that was not routed. For a request with a key the
// outcome is unknown, because the record of the key was not read: an earlier request
// with the key may have arrived in time, been complete, or been valid under an
// earlier configuration, and have run.
func (g *Gateway) refuse(w http.ResponseWriter, req *http.Request, err *refusalError) {
	g.opts.Metrics.Add(metricRefusals, string(err.reason), 1)
	status := err.status
	if status == 0 {
		status = statusOf(err.reason)
	}
	answer := ownAnswer{
		status: status,
		body:   refusalBody{Outcome: state.OutcomeNotRun, Reason: err.reason, Detail: err.detail},
	}
	if _, keyed := keyOf(req); keyed {
		answer.body.Outcome = state.OutcomeUnknown
	}
	if status == http.StatusServiceUnavailable {
		answer.retryAfter = spreadRetryAfter()
	}
	answer.write(w)
}

func (g *Gateway) newCall(w http.ResponseWriter, req *http.Request, decoded routed, s *services, now time.Time) *call {
	c := &call{
		routed:     decoded,
		gateway:    g,
		w:          w,
		req:        req,
		idempotent: idempotent(decoded.service, req.Method),
		id:         fmt.Sprintf("%s-%d-%d", g.opts.Entry, g.opts.Incarnation, g.numbers.Add(1)),
		arrivedAt:  now,
	}
	c.exchange = exchange.New(exchange.Spec{
		Idempotent:     c.idempotent,
		Keyed:          !c.idempotent && c.key != "",
		Stale:          s.stale(now),
		Deadline:       c.deadline,
		DispatchWindow: c.service.DispatchWindow,
	})
	w.Header().Set(backendapi.HeaderRequestID, c.id)
	return c
}

// run carries out the effects of the exchange until it ends.
func (c *call) run() {
	effect := c.exchange.Start(c.gateway.clock.now())
	for {
		if check := c.exchange.Violation(effect); check != exchange.CheckNone {
			c.gateway.violated(string(check), c.id)
		}
		switch e := effect.(type) {
		case exchange.Begin:
			effect = c.begin()
		case exchange.Poll:
			effect = c.poll(e)
		case exchange.Enqueue:
			effect = c.enqueue(e)
		case exchange.Dispatch:
			effect = c.dispatch()
		case exchange.Replay:
			c.closeIfDraining()
			writeReplay(c.w, e.Answer)
			c.count(state.OutcomeDone)
			c.leave()
			return
		case exchange.Conclude:
			c.conclude(e)
			return
		}
	}
}

// violated reports a violated invariant of docs/design.md, section 9.
func (g *Gateway) violated(check, request string) {
	g.opts.Metrics.Add(metricViolations, check, 1)
	g.opts.Logger.Log(eventViolation, zap.String("check", check), zap.String("request", request))
}

// enqueue asks the router for a backend server and waits for its answer.
func (c *call) enqueue(e exchange.Enqueue) exchange.Effect {
	reply := make(chan grant, 1)
	ticket := admission.Ticket{
		ID:       c.gateway.numbers.Add(1),
		Team:     c.team,
		Deadline: c.deadline,
		Retry:    e.Retry,
	}
	m := admit{first: !c.entered, service: c.service.Name, ticket: ticket, exclude: e.Exclude, reply: reply}
	if !c.gateway.trySend(m) {
		return c.exchange.NotGranted(exchange.ReasonOverloaded)
	}
	waitFrom := time.Now()
	answer := c.awaitGrant(ticket.ID, reply)
	c.gateway.opts.Metrics.Observe(metricQueueDelay, time.Since(waitFrom))
	if answer.reason != exchange.ReasonDraining {
		c.entered = true
	}
	if answer.reason != exchange.ReasonNone {
		c.retryAfter = answer.retryAfter
		return c.exchange.NotGranted(answer.reason)
	}
	effect := c.exchange.Granted(c.gateway.clock.now(), answer.choice.Backend)
	if _, ok := effect.(exchange.Dispatch); !ok || c.abandoned() {
		c.release(answer.choice, routing.Observation{Result: routing.ResultAbandoned, InFlight: routing.UnknownInFlight})
		if ok {
			return c.exchange.NotGranted(exchange.ReasonDeadline)
		}
		return effect
	}
	c.granted = answer
	return effect
}

// awaitGrant waits for the answer of the router, which is sent by the deadline of
// the request at the latest.
func (c *call) awaitGrant(id uint64, reply <-chan grant) grant {
	select {
	case answer := <-reply:
		return answer
	case <-c.gateway.stopped:
		return grant{reason: exchange.ReasonDraining}
	case <-c.req.Context().Done():
		c.gateway.send(withdraw{service: c.service.Name, id: id})
	}
	select {
	case answer := <-reply:
		return answer
	case <-c.gateway.stopped:
		return grant{reason: exchange.ReasonDraining}
	}
}

// abandoned reports whether the caller has disconnected.
func (c *call) abandoned() bool { return c.req.Context().Err() != nil }

func (c *call) release(choice routing.Choice, o routing.Observation) {
	c.gateway.send(finished{choice: choice, observation: o})
}

// enter makes the router count the call as in flight before it asks for a backend
// server.
func (c *call) enter() exchange.Reason {
	if c.entered {
		return exchange.ReasonNone
	}
	reply := make(chan exchange.Reason, 1)
	if !c.gateway.trySend(enter{reply: reply}) {
		return exchange.ReasonOverloaded
	}
	select {
	case reason := <-reply:
		c.entered = reason == exchange.ReasonNone
		return reason
	case <-c.gateway.stopped:
		return exchange.ReasonDraining
	}
}

func (c *call) leave() {
	if c.entered {
		c.gateway.send(leave{})
	}
}

// conclude records the outcome and, if no answer of a backend server was sent,
// answers the caller.
func (c *call) conclude(e exchange.Conclude) {
	g := c.gateway
	c.count(e.Outcome)
	if e.Reason != exchange.ReasonNone {
		g.opts.Metrics.Add(metricRefusals, string(e.Reason), 1)
	}
	if e.Record {
		c.record(e.Recorded)
	} else {
		defer c.leave()
	}
	switch {
	case e.Abort:
		// Closes the connection, so that the caller can see that the answer is
		// truncated.
		panic(http.ErrAbortHandler)
	case e.Reason != exchange.ReasonNone:
		c.writeOwn(e)
	}
}

func (c *call) writeOwn(e exchange.Conclude) {
	c.closeIfDraining()
	answer := ownAnswer{
		status:     statusOf(e.Reason),
		body:       refusalBody{Outcome: e.Outcome, Reason: e.Reason},
		retryAfter: c.retryAfter,
	}
	if answer.retryAfter == 0 && answer.status == http.StatusServiceUnavailable {
		answer.retryAfter = spreadRetryAfter()
	}
	answer.write(c.w)
}

// closeIfDraining closes the caller's connection after this answer if the entry
// process is stopping.
func (c *call) closeIfDraining() {
	if c.gateway.inForce.Load().draining {
		c.w.Header().Set("Connection", "close")
	}
}

func (c *call) count(outcome state.Outcome) {
	c.gateway.opts.Metrics.Add(metricRequests, string(outcome), 1)
	c.gateway.opts.Metrics.Observe(metricDelay, c.gateway.clock.now().Sub(c.arrivedAt))
}

// remaining returns the time to the deadline.
func (c *call) remaining() time.Duration { return c.deadline.Sub(c.gateway.clock.now()) }

// dispatchContext returns a context that ends at the deadline. It also ends when the
// caller of an idempotent request disconnects. Other requests run at most once, so
// they continue and their answer is stored.
func (c *call) dispatchContext() (context.Context, context.CancelFunc) {
	ctx := c.req.Context()
	if !c.idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, c.remaining())
}
