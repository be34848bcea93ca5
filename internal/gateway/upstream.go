package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/routing"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	maxAnswerHeader = 64 << 10 // bytes
)

// upstream is the connections to one incarnation of a backend server.
type upstream struct {
	incarnation cell.Incarnation
	address     string
	limit       int // connections
	transport   *http.Transport
}

func newUpstream(incarnation cell.Incarnation, address string, limit int) *upstream {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &upstream{
		incarnation: incarnation,
		address:     address,
		limit:       limit,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: conn}, nil
			},
			Protocols:              protocols,
			MaxConnsPerHost:        limit,
			MaxIdleConnsPerHost:    limit,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxAnswerHeader,
			DisableCompression:     true,
		},
	}
}

// serves reports whether the connections are to the chosen incarnation. Where
// the limit of connections has changed, which it does with the home of the
// server, a new upstream takes over: the transport would make the requests above
// the old limit wait.
func (u *upstream) serves(c routing.Choice) bool {
	return u.incarnation == c.Incarnation && u.address == c.Address && u.limit == c.Connections
}

// close ends idle connections; those in use end with their request.
func (u *upstream) close() { u.transport.CloseIdleConnections() }

// sealedBit marks a countedConn that takes no further writes.
const sealedBit = 1 << 63

// errSealed is the error of a write after seal.
var errSealed = errors.New("gateway: connection is sealed")

// countedConn counts the writes that were started, so that a failed request
// can be proved not to have been sent. The count and the seal share one atomic
// value: a write either is counted before the seal or fails.
type countedConn struct {
	net.Conn
	state atomic.Uint64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.state.Add(1)&sealedBit != 0 {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

func (c *countedConn) writes() uint64 { return c.state.Load() &^ sealedBit }

// seal refuses further writes and returns the number of those before.
func (c *countedConn) seal() uint64 { return c.state.Or(sealedBit) &^ sealedBit }

// wire records the connections that one request was given.
type wire struct {
	uses []wireUse
}

type wireUse struct {
	conn   *countedConn
	before uint64 // writes before this request
}

// trace returns a context that records connections in w. The transport calls
// the hook in the goroutine of RoundTrip.
func (w *wire) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countedConn); ok {
				w.uses = append(w.uses, wireUse{conn: conn, before: conn.writes()})
			}
		},
	})
}

// repeated reports whether http.Transport has sent the request more than once,
// which it may do with idempotent requests on reused connections. A refusal by
// a backend server then says nothing of the earlier ones.
func (w *wire) repeated() bool {
	for i, use := range w.uses {
		if i < len(w.uses)-1 && use.conn.seal() != use.before {
			return true
		}
	}
	return false
}

// abandon seals the connections of a failed request and reports whether any
// byte of it may have been sent.
func (w *wire) abandon() (sent bool) {
	for _, use := range w.uses {
		if use.conn.seal() != use.before {
			sent = true
		}
		// The transport may have closed it already.
		_ = use.conn.Close()
	}
	return sent
}
