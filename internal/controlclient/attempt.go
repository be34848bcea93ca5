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

// errNoProgress ends an attempt in which no byte has passed for its timeout.
var errNoProgress = errors.New("no byte has passed in time")

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
	a = &attempt{timeout: timeout, timer: time.AfterFunc(answerAfter+timeout, func() { cancel(errNoProgress) })}
	ctx = context.WithValue(ctx, attemptKey{}, a)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	return a, ctx, func() { a.timer.Stop(); cancel(nil) }
}

// recordBytes notes that bytes of the answer have come.
func (a *attempt) recordBytes(n int) {
	a.received.Add(int64(n))
	a.timer.Reset(a.timeout)
}

// attemptHTTPClient tells the attempt of a call how its answer arrives.
type attemptHTTPClient struct{ client *http.Client }

// Do implements the HTTP client of twirp.
func (c attemptHTTPClient) Do(request *http.Request) (*http.Response, error) {
	response, err := c.client.Do(request)
	if a, ok := request.Context().Value(attemptKey{}).(*attempt); ok && err == nil {
		response.Body = attemptBody{response.Body, a}
	}
	return response, err
}

type attemptBody struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (b attemptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.attempt.recordBytes(n)
	}
	return n, err
}
