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
	dialTimeout = time.Second
	// maxGrantAge is how long after the grant of a backend server a request may be sent. The server may have
	// announced its leave meanwhile. It covers a slow dial, but no pause of this process.
	maxGrantAge          = dialTimeout + 500*time.Millisecond
	upstreamIdleTimeout  = 30 * time.Second
	maxAnswerHeaderBytes = 64 << 10
)

// upstream holds the connections to one incarnation of a backend server.
type upstream struct {
	incarnation    cell.Incarnation
	address        string
	maxConnections int
	transport      *http.Transport
}

func newUpstream(incarnation cell.Incarnation, address string, limit int) *upstream {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &upstream{
		incarnation:    incarnation,
		address:        address,
		maxConnections: limit,
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
			IdleConnTimeout:        upstreamIdleTimeout,
			MaxResponseHeaderBytes: maxAnswerHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// matches reports whether the upstream can be used for the choice. It cannot if the
// connection limit has changed, which happens when the home entry process of the
// server changes: the transport would make requests above the old limit wait.
func (u *upstream) matches(c routing.Choice) bool {
	return u.incarnation == c.Incarnation && u.address == c.Address && u.maxConnections == c.Connections
}

// close closes idle connections. Those in use are closed after their request.
func (u *upstream) close() { u.transport.CloseIdleConnections() }

// sealedBit marks a countedConn that refuses further writes.
const sealedBit = 1 << 63

// errSealed is the error of a write after seal.
var errSealed = errors.New("gateway: connection is sealed")

// countedConn counts the writes that were started. The count proves for a failed
// request whether any of it may have been sent. The count and the seal share one
// atomic value, so that a write either is counted before the seal or fails.
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

// seal refuses further writes and returns the number of earlier ones.
func (c *countedConn) seal() uint64 { return c.state.Or(sealedBit) &^ sealedBit }

// connTrace records the connections that the transport used for one request.
type connTrace struct {
	uses []connUse
	// mayNotSend reports whether the grant of the backend server is too old. Connections are then sealed
	// before the request is written.
	mayNotSend func() bool
}

type connUse struct {
	conn         *countedConn
	writesBefore uint64 // writes before this request
	withheld     bool   // the connection was sealed before the request was written
}

// trace returns a context that records the connections of a RoundTrip. It needs no
// lock, because the transport calls the hook in the goroutine of RoundTrip.
func (t *connTrace) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countedConn); ok {
				use := connUse{conn: conn, writesBefore: conn.writes(), withheld: t.mayNotSend()}
				if use.withheld {
					conn.seal()
				}
				t.uses = append(t.uses, use)
			}
		},
	})
}

// wasWritten reports whether any byte of the request may have been written. Later writes fail.
func (u connUse) wasWritten() bool {
	return u.conn.seal() != u.writesBefore && !u.withheld
}

// sentAgain reports whether http.Transport has sent the request more than once, which
// it may do with idempotent requests on reused connections. A refusal by the backend
// server then does not cover the earlier sends.
func (t *connTrace) sentAgain() bool {
	for i, use := range t.uses {
		if i < len(t.uses)-1 && use.wasWritten() {
			return true
		}
	}
	return false
}

// sealAndClose seals and closes the connections of a failed request. It reports whether
// any byte of the request may have been sent.
func (t *connTrace) sealAndClose() (sent bool) {
	for _, use := range t.uses {
		sent = use.wasWritten() || sent
		// The error is ignored, because the transport may have closed it already.
		_ = use.conn.Close()
	}
	return sent
}
