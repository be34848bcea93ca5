package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/routing"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

// errBrokenAnswer is returned for an answer that cannot be passed on to the caller.
var errBrokenAnswer = errors.New("gateway: answer is broken or of another request")

// attempt is one dispatch of a request to one backend server.
type attempt struct {
	call        *call
	id          string // Godwit-Request-Id of this dispatch
	connections connTrace
	sentAt      time.Time
	inFlight    int
	delay       time.Duration // from dispatch to the answer's head
}

// dispatch sends the request to the granted backend server and its answer to the
// caller.
func (c *call) dispatch() exchange.Effect {
	c.attempts++
	a := &attempt{
		call:     c,
		id:       c.id + "." + strconv.Itoa(c.attempts),
		sentAt:   time.Now(),
		inFlight: routing.UnknownInFlight,
	}
	a.connections.mayNotSend = c.granted.isExpired
	ctx, cancel := c.dispatchContext()
	defer cancel()
	outcome, result := a.run(ctx)
	outcome.Backend = c.granted.choice.Backend
	if a.delay == 0 {
		a.delay = time.Since(a.sentAt)
	}
	c.releaseServer(c.granted.choice, routing.Observation{Result: result, Delay: a.delay, InFlight: a.inFlight})
	effect := c.exchange.Attempted(c.gateway.clock.now(), outcome)
	if e, ok := effect.(exchange.Enqueue); ok && e.Retry {
		c.gateway.opts.Metrics.Add(metricRetries, string(outcome.Reason), 1)
	}
	return effect
}

func (a *attempt) run(ctx context.Context) (exchange.Attempt, routing.Result) {
	c := a.call
	if c.granted.choice.CrossRegion {
		c.gateway.opts.Metrics.Add(metricCrossRegion, "", 1)
	}
	resp, err := c.granted.upstream.transport.RoundTrip(a.request(a.connections.trace(ctx)))
	if err != nil {
		return a.fail(ctx, err)
	}
	defer resp.Body.Close()
	a.delay = time.Since(a.sentAt)
	a.inFlight = reportedInFlight(resp.Header)
	if err := a.checkAnswer(resp); err != nil {
		return a.fail(ctx, err)
	}
	if statesNotRun(resp) {
		outcome := exchange.Attempt{Result: exchange.AttemptRefused, Reason: exchange.ReasonBackendRefused}
		if a.connections.sentAgain() {
			outcome.Result = exchange.AttemptUncertain
		}
		return outcome, routing.ResultRefused
	}
	started, err := c.forwardAnswer(resp)
	if err != nil {
		outcome, result := a.fail(ctx, err)
		outcome.AnswerStarted = started
		return outcome, result
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return exchange.Attempt{Result: exchange.AttemptAnswered}, routing.ResultFailed
	}
	return exchange.Attempt{Result: exchange.AttemptAnswered}, routing.ResultAnswered
}

// request builds the request to the backend server.
func (a *attempt) request(ctx context.Context) *http.Request {
	c := a.call
	header := forwardedHeaders(c.req)
	header[backendapi.HeaderRequestID] = []string{a.id}
	header[backendapi.HeaderDeadline] = []string{strconv.FormatInt(max(1, c.remaining().Milliseconds()), 10)}
	header[backendapi.HeaderTeam] = []string{string(c.team)}
	out := &http.Request{
		Method:        c.req.Method,
		URL:           a.url(),
		Host:          c.req.Host,
		Header:        header,
		ContentLength: int64(len(c.body)),
	}
	out.Body = a.body()
	return out.WithContext(ctx)
}

func (a *attempt) url() *url.URL {
	from := a.call.req.URL
	return &url.URL{
		Scheme:     "http",
		Host:       a.call.granted.choice.Address,
		Path:       from.Path,
		RawPath:    from.RawPath,
		RawQuery:   from.RawQuery,
		ForceQuery: from.ForceQuery,
	}
}

// body returns the body to send. If a reused connection fails, http.Transport
// sends a request again by itself when the request has no body or a GetBody, and
// its method or an Idempotency-Key makes it look idempotent. A body that is not
// nil and has no GetBody prevents this, so every non-idempotent request has one,
// even if it is empty.
func (a *attempt) body() io.ReadCloser {
	if len(a.call.body) == 0 && a.call.idempotent {
		return nil
	}
	return io.NopCloser(bytes.NewReader(a.call.body))
}

// checkAnswer returns an error for an answer that does not belong to this request or
// whose end cannot be recognised.
func (a *attempt) checkAnswer(resp *http.Response) error {
	if got := resp.Header[backendapi.HeaderRequestID]; len(got) != 1 || got[0] != a.id {
		a.call.gateway.opts.Metrics.Add(metricForeignAnswers, "", 1)
		a.call.gateway.opts.Logger.Log(eventForeignAnswer,
			zap.String("backend", string(a.call.granted.choice.Backend)),
			zap.String("want", a.id), zap.Strings("got", got))
		return errBrokenAnswer
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errBrokenAnswer
	}
	// If a body ends where its connection is closed, a truncated body looks the
	// same as a complete one.
	endsWithConnection := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if endsWithConnection && a.call.req.Method != http.MethodHead {
		return errBrokenAnswer
	}
	return nil
}

// fail returns the results of an attempt without a complete answer. Its
// connections are not used again.
func (a *attempt) fail(ctx context.Context, err error) (exchange.Attempt, routing.Result) {
	c := a.call
	connected := len(a.connections.uses) > 0
	sent := a.connections.sealAndClose()
	outcome := exchange.Attempt{Result: exchange.AttemptUncertain, Reason: exchange.ReasonBrokenAnswer}
	result := routing.ResultFailed
	if !sent {
		outcome = exchange.Attempt{Result: exchange.AttemptNotSent, Reason: exchange.ReasonConnectFailed}
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		outcome.Reason, result = exchange.ReasonDeadline, routing.ResultTimedOut
		if !connected {
			result = routing.ResultConnectFailed // packets to the server are lost; it is not slow
		}
	case ctx.Err() != nil, errors.Is(err, errCallerGone):
		result = routing.ResultAbandoned
	case !connected:
		result = routing.ResultConnectFailed
	}
	c.gateway.opts.Logger.Log(eventAttemptFailed,
		zap.String("backend", string(c.granted.choice.Backend)),
		zap.String("request", a.id), zap.String("reach", string(outcome.Result)), zap.Error(err))
	return outcome, result
}

func reportedInFlight(header http.Header) int {
	stated, err := strconv.Atoi(header.Get(backendapi.HeaderInFlight))
	if err != nil || stated < 0 {
		return routing.UnknownInFlight
	}
	return stated
}

// statesNotRun reports whether the backend server states that it refused the request
// without running it.
func statesNotRun(resp *http.Response) bool {
	outcome := resp.Header.Get(backendapi.HeaderOutcome)
	return resp.StatusCode >= http.StatusBadRequest && outcome == string(state.OutcomeNotRun)
}
