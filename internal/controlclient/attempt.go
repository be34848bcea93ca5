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

// errNoProgress cancels an attempt that receives no byte within its timeout.
var errNoProgress = errors.New("no byte received within the timeout")

// attempt is one call to a replica. Its timeout limits the time without a received byte, not the
// total time. With a total limit, a large answer over a slow link would be requested again and
// again, and the attempts would fill the link.
type attempt struct {
	timeout   time.Duration
	timer     *time.Timer
	connected atomic.Bool
	received  atomic.Int64 // answer bytes
}

type attemptKey struct{}

// newAttempt returns an attempt and the context of its call. The first byte of the answer may
// arrive answerAfter later than the timeout allows. The caller must call end.
func newAttempt(ctx context.Context, answerAfter, timeout time.Duration) (a *attempt, attemptCtx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a = &attempt{timeout: timeout, timer: time.AfterFunc(answerAfter+timeout, func() { cancel(errNoProgress) })}
	ctx = context.WithValue(ctx, attemptKey{}, a)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	return a, ctx, func() { a.timer.Stop(); cancel(nil) }
}

// recordBytes restarts the timeout after n more bytes of the answer.
func (a *attempt) recordBytes(n int) {
	a.received.Add(int64(n))
	a.timer.Reset(a.timeout)
}

// attemptHTTPClient reports the bytes of an answer to the attempt in the request's context.
type attemptHTTPClient struct{ client *http.Client }

// Do implements rpcpb.HTTPClient.
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
