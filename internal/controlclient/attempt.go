package controlclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// attempt is what one call to a replica has seen so far. The goroutines of the
// connection write it.
type attempt struct {
	connected atomic.Bool
	received  atomic.Int64 // bytes of the answer
}

type attemptKey struct{}

// trace returns a context in which the call is observed.
func (a *attempt) trace(ctx context.Context) context.Context {
	ctx = context.WithValue(ctx, attemptKey{}, a)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
}

// observer reports to the attempt of a call how its answer arrives.
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
	b.attempt.received.Add(int64(n))
	return n, err
}
