package sockets

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/godwitlink/godwitlink/core/openfiles"
)

// conn returns its permit when it is closed.
type conn struct {
	net.Conn
	budget *Budget
	use    openfiles.Use
	permit Permit
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.budget.Release(c.use, c.permit)
	}
	return err
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc that waits for a permit first, at most for the given time. Wait and dial end
// with the context.
func (b *Budget) Dial(use openfiles.Use, wait time.Duration, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		waitCtx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		permit, err := b.Acquire(waitCtx, use)
		if err != nil {
			return nil, err
		}
		opened, err := dial(ctx, network, address)
		if err != nil {
			b.Release(use, permit)
			return nil, err
		}
		return &conn{Conn: opened, budget: b, use: use, permit: permit}, nil
	}
}

// acceptWait is how long an accepted connection waits for a permit before it is closed. Its peer tries
// another process within a second.
const acceptWait = 300 * time.Millisecond

// listener limits the accepted connections.
type listener struct {
	net.Listener
	budget *Budget
	use    openfiles.Use
}

// Limit returns a listener that accepts only connections that get a permit in time, and closes the
// others.
func (b *Budget) Limit(use openfiles.Use, inner net.Listener) net.Listener {
	return &listener{inner, b, use}
}

// Accept implements net.Listener. The connection is accepted before its permit is known, so that the end
// of the inner listener is not delayed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), acceptWait)
		permit, err := l.budget.Acquire(ctx, l.use)
		cancel()
		if err == nil {
			return &conn{Conn: accepted, budget: l.budget, use: l.use, permit: permit}, nil
		}
		// The refusal is counted. An error of closing has no consequence.
		_ = accepted.Close()
	}
}

// CloseWhenShort returns a handler that closes each connection after its answer while connections of the
// use have to wait.
func (b *Budget) CloseWhenShort(use openfiles.Use, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.Short(use) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
