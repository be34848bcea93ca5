package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/pause"
)

const (
	// Limits of the exponential backoff between attempts to record an outcome.
	finishBackoffMin = 50 * time.Millisecond
	finishBackoffMax = 2 * time.Second
	// finishTimeout limits the attempts to record an outcome. After it the record
	// stays running until this entry process leaves, and then becomes unknown.
	finishTimeout = 30 * time.Second
)

func (c *call) requestKey() state.RequestKey {
	return state.RequestKey{Service: c.service.Name, Team: c.team, Key: c.key}
}

// begin proposes the record that the request has begun.
func (c *call) begin() exchange.Effect {
	if reason := c.ensureCounted(); reason != exchange.ReasonNone {
		return c.exchange.NotGranted(reason)
	}
	c.beginID = c.gateway.lastNumber.Add(1)
	c.digest = requestDigest(c.req, c.body)
	ctx, cancel := context.WithTimeout(c.req.Context(), min(c.remaining(), c.service.DispatchWindow))
	defer cancel()
	result, err := c.gateway.opts.Control.Propose(ctx, state.Command{BeginRequest: &state.BeginRequest{
		Key:         c.requestKey(),
		Digest:      c.digest,
		Entry:       c.gateway.opts.Entry,
		Incarnation: cell.Incarnation(c.gateway.memberIncarnation.Load()),
		Attempt:     c.beginID,
		Retention:   c.service.AnswerRetention,
	}})
	return c.exchange.Began(c.gateway.clock.now(), toBeginResult(result.Refusal, result.Request, err))
}

// poll reads the record of an earlier request with the same key.
func (c *call) poll(e exchange.Poll) exchange.Effect {
	_ = pause.For(c.req.Context(), e.After)
	if c.callerDisconnected() {
		return exchange.Conclude{Outcome: state.OutcomeUnknown, Reason: exchange.ReasonKeyRunning}
	}
	ctx, cancel := context.WithTimeout(c.req.Context(), max(c.remaining(), time.Millisecond))
	defer cancel()
	answer, err := c.gateway.opts.Control.Read(ctx, state.Query{Request: &state.RequestQuery{Key: c.requestKey()}})
	return c.exchange.Polled(c.gateway.clock.now(), toBeginResult(state.RefusalNone, answer.Request, err))
}

func toBeginResult(refusal state.Refusal, request *state.RequestResult, err error) exchange.BeginResult {
	b := exchange.BeginResult{Err: err != nil, Refusal: refusal, Found: request != nil}
	if request != nil {
		b.Request = *request
	}
	return b
}

// record commits the outcome in the background, so that the caller does not wait for
// the commit. The request counts as in flight until the commit has ended.
func (c *call) record(outcome state.Outcome) {
	finish := state.Command{FinishRequest: &state.FinishRequest{
		Key:     c.requestKey(),
		Entry:   c.gateway.opts.Entry,
		Attempt: c.beginID,
		Outcome: outcome,
		Answer:  c.answerToRecord,
	}}
	go func() {
		defer c.release()
		c.gateway.commitFinish(finish, c.id)
	}()
}

func (g *Gateway) commitFinish(command state.Command, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	backoff := finishBackoffMin
	for {
		result, err := g.opts.Control.Propose(ctx, command)
		if err == nil {
			g.checkFinish(result, id)
			return
		}
		_ = pause.For(ctx, backoff)
		if ctx.Err() != nil {
			g.logUnrecorded(id, err.Error())
			return
		}
		backoff = min(2*backoff, finishBackoffMax)
	}
}

// checkFinish logs a refused finish record, unless the request is unknown: its begin
// record was then never committed.
func (g *Gateway) checkFinish(result state.Result, id string) {
	if result.Refusal != state.RefusalNone && result.Refusal != state.RefusalUnknownRequest {
		g.logUnrecorded(id, string(result.Refusal))
	}
}

func (g *Gateway) logUnrecorded(id, reason string) {
	g.opts.Metrics.Add(metricUnrecordedOutcomes, "", 1)
	g.opts.Logger.Log(eventOutcomeNotRecorded, zap.String("request", id), zap.String("why", reason))
}

func (g *Gateway) logDrained(remaining int) {
	g.opts.Logger.Log(eventDrainEnded, zap.Int("cut", remaining))
}
