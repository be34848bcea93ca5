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
	decodedRequest
	gateway         *Gateway
	w               http.ResponseWriter
	req             *http.Request
	idempotent      bool
	id              string
	arrivedAt       time.Time
	exchange        *exchange.Exchange
	countedInFlight bool // the router counts the call as in flight
	beginID         uint64
	digest          uint64
	granted         grant
	attempts        int
	retryAfter      time.Duration
	answerToRecord  *state.StoredAnswer // nil if the answer is too large
}

func (g *Gateway) serveCaller(w http.ResponseWriter, req *http.Request) {
	s := g.currentConfig.Load()
	now := g.clock.now()
	setWriteTimeout(w, generatedAnswerTimeout)
	if s.draining {
		w.Header().Set("Connection", "close")
		g.refuse(w, req, newRefusal(exchange.ReasonDraining, 0, "entry process is stopping"))
		return
	}
	if s.generation == 0 {
		g.refuse(w, req, newRefusal(exchange.ReasonNotReady, 0, "no configuration yet"))
		return
	}
	decoded, err := g.decodeRequest(w, req, s, now)
	if err != nil {
		g.refuse(w, req, err)
		return
	}
	setWriteTimeout(w, decoded.deadline.Sub(now)+generatedAnswerTimeout)
	g.newCall(w, req, decoded, s, now).run()
}

// generatedAnswerTimeout limits the time to write an answer that the gateway generates.
// It starts at the deadline of the request at the latest.
const generatedAnswerTimeout = 2 * time.Second

// setWriteTimeout sets a write timeout for the caller's connection, because an answer
// that the caller does not read occupies a slot of a backend server. The next
// request on the connection sets a new timeout.
func setWriteTimeout(w http.ResponseWriter, d time.Duration) {
	// The error is ignored: only httptest.ResponseRecorder does not support a
	// deadline, and its writes do not block.
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
		status = reasonStatus(err.reason)
	}
	answer := generatedAnswer{
		status: status,
		body:   refusalBody{Outcome: state.OutcomeNotRun, Reason: err.reason, Detail: err.detail},
	}
	if _, keyed := idempotencyKey(req); keyed {
		answer.body.Outcome = state.OutcomeUnknown
	}
	if status == http.StatusServiceUnavailable {
		answer.retryAfter = randomRetryAfter()
	}
	answer.write(w)
}

func (g *Gateway) newCall(w http.ResponseWriter, req *http.Request, decoded decodedRequest, s *serviceConfig, now time.Time) *call {
	c := &call{
		decodedRequest: decoded,
		gateway:        g,
		w:              w,
		req:            req,
		idempotent:     idempotent(decoded.service, req.Method),
		id:             fmt.Sprintf("%s-%d-%d", g.opts.Entry, g.opts.Incarnation, g.lastNumber.Add(1)),
		arrivedAt:      now,
	}
	c.exchange = exchange.New(exchange.Spec{
		Idempotent:     c.idempotent,
		Keyed:          !c.idempotent && c.key != "",
		StaleConfig:    s.stale(now),
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
			c.gateway.reportViolation(string(check), c.id)
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
			c.countOutcome(state.OutcomeDone)
			c.release()
			return
		case exchange.Conclude:
			c.conclude(e)
			return
		}
	}
}

// reportViolation reports a violated invariant of docs/design.md, section 9.
func (g *Gateway) reportViolation(check, request string) {
	g.opts.Metrics.Add(metricViolations, check, 1)
	g.opts.Logger.Log(eventViolation, zap.String("check", check), zap.String("request", request))
}

// enqueue asks the router for a backend server and waits for its answer.
func (c *call) enqueue(e exchange.Enqueue) exchange.Effect {
	reply := make(chan grant, 1)
	request := admission.Request{
		ID:       c.gateway.lastNumber.Add(1),
		Team:     c.team,
		Deadline: c.deadline,
		Retry:    e.Retry,
	}
	message := requestServer{addInFlight: !c.countedInFlight, service: c.service.Name, request: request, exclude: e.Exclude, reply: reply}
	if !c.gateway.trySend(message) {
		return c.exchange.NotGranted(exchange.ReasonOverloaded)
	}
	queuedAt := time.Now()
	answer := c.awaitGrant(request.ID, reply)
	c.gateway.opts.Metrics.Observe(metricQueueDelay, time.Since(queuedAt))
	if answer.reason != exchange.ReasonDraining {
		c.countedInFlight = true
	}
	if answer.reason != exchange.ReasonNone {
		c.retryAfter = answer.retryAfter
		return c.exchange.NotGranted(answer.reason)
	}
	effect := c.exchange.Granted(c.gateway.clock.now(), answer.choice.Backend)
	if _, ok := effect.(exchange.Dispatch); !ok || c.callerDisconnected() {
		c.releaseServer(answer.choice, routing.Observation{Result: routing.ResultAbandoned, InFlight: routing.UnknownInFlight})
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
		c.gateway.send(cancelRequest{service: c.service.Name, id: id})
	}
	select {
	case answer := <-reply:
		return answer
	case <-c.gateway.stopped:
		return grant{reason: exchange.ReasonDraining}
	}
}

func (c *call) callerDisconnected() bool { return c.req.Context().Err() != nil }

func (c *call) releaseServer(choice routing.Choice, o routing.Observation) {
	c.gateway.send(serverReleased{choice: choice, observation: o})
}

// ensureCounted makes the router count the call as in flight before it asks for a backend
// server.
func (c *call) ensureCounted() exchange.Reason {
	if c.countedInFlight {
		return exchange.ReasonNone
	}
	reply := make(chan exchange.Reason, 1)
	if !c.gateway.trySend(addInFlight{reply: reply}) {
		return exchange.ReasonOverloaded
	}
	select {
	case reason := <-reply:
		c.countedInFlight = reason == exchange.ReasonNone
		return reason
	case <-c.gateway.stopped:
		return exchange.ReasonDraining
	}
}

func (c *call) release() {
	if c.countedInFlight {
		c.gateway.send(removeInFlight{})
	}
}

// conclude records the outcome and, if no answer of a backend server was sent,
// answers the caller.
func (c *call) conclude(e exchange.Conclude) {
	g := c.gateway
	c.countOutcome(e.Outcome)
	if e.Reason != exchange.ReasonNone {
		g.opts.Metrics.Add(metricRefusals, string(e.Reason), 1)
	}
	if e.Record {
		c.record(e.Recorded)
	} else {
		defer c.release()
	}
	switch {
	case e.Abort:
		// Closes the connection, so that the caller can see that the answer is
		// truncated.
		panic(http.ErrAbortHandler)
	case e.Reason != exchange.ReasonNone:
		c.writeRefusal(e)
	}
}

func (c *call) writeRefusal(e exchange.Conclude) {
	c.closeIfDraining()
	answer := generatedAnswer{
		status:     reasonStatus(e.Reason),
		body:       refusalBody{Outcome: e.Outcome, Reason: e.Reason},
		retryAfter: c.retryAfter,
	}
	if answer.retryAfter == 0 && answer.status == http.StatusServiceUnavailable {
		answer.retryAfter = randomRetryAfter()
	}
	answer.write(c.w)
}

// closeIfDraining closes the caller's connection after this answer if the entry
// process is stopping.
func (c *call) closeIfDraining() {
	if c.gateway.currentConfig.Load().draining {
		c.w.Header().Set("Connection", "close")
	}
}

func (c *call) countOutcome(outcome state.Outcome) {
	c.gateway.opts.Metrics.Add(metricRequests, string(outcome), 1)
	c.gateway.opts.Metrics.Observe(metricAnswerDelay, c.gateway.clock.now().Sub(c.arrivedAt))
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
