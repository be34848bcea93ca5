package controlclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// errSilent ends an attempt in which no byte has passed for its timeout.
var errSilent = errors.New("no byte has passed in time")

// attempt is one call to a replica. It ends after a time without a byte of the
// answer, not after a time in all: a large answer over a slow link would be begun
// again for ever, and its attempts would fill the link.
type attempt struct {
	timeout   time.Duration
	timer     *time.Timer
	connected atomic.Bool
	received  atomic.Int64 // bytes of the answer
}

type attemptKey struct{}

// newAttempt returns an attempt whose answer may begin answerAfter later than
// the timeout allows, and the context of its call. end must be called.
func newAttempt(ctx context.Context, answerAfter, timeout time.Duration) (a *attempt, attemptCtx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a = &attempt{timeout: timeout, timer: time.AfterFunc(answerAfter+timeout, func() { cancel(errSilent) })}
	ctx = context.WithValue(ctx, attemptKey{}, a)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	return a, ctx, func() { a.timer.Stop(); cancel(nil) }
}

// passed notes that bytes of the answer have come.
func (a *attempt) passed(n int) {
	a.received.Add(int64(n))
	a.timer.Reset(a.timeout)
}

// observer tells the attempt of a call how its answer arrives.
type observer struct{ client *http.Client }

// Do implements the HTTP client of twirp.
func (o observer) Do(request *http.Request) (*http.Response, error) {
	response, err := o.client.Do(request)
	if a, ok := request.Context().Value(attemptKey{}).(*attempt); ok && err == nil {
		response.Body = observedBody{response.Body, a}
	}
	return response, err
}

type observedBody struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (b observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.attempt.passed(n)
	}
	return n, err
}
