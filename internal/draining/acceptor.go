package draining

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Times of the end of accepting.
const (
	// acceptTail is how long no connection must have come before the socket is
	// closed. A connection that waits is accepted at once, so it only covers the
	// scheduling of the process.
	acceptTail = 10 * time.Millisecond
	// acceptLimit ends it where connections go on coming: clients are told to go
	// elsewhere well before.
	acceptLimit = 200 * time.Millisecond
)

// acceptor is a listener that accepts what waits in its queue before it ends.
// Closing a socket resets the connections in its queue, on which clients may have
// sent a request.
type acceptor struct {
	net.Listener
	deadlines deadlines
	stopping  atomic.Bool
	stopAt    time.Time // set before stopping
}

type deadlines interface{ SetDeadline(time.Time) error }

func newAcceptor(socket net.Listener) *acceptor {
	a := &acceptor{Listener: socket}
	a.deadlines, _ = socket.(deadlines)
	return a
}

// stop lets Accept end once the queue is empty. It reports false for a socket
// without deadlines, which has to be closed.
func (a *acceptor) stop(now time.Time) bool {
	if a.deadlines == nil {
		return false
	}
	a.stopAt = now.Add(acceptLimit)
	a.stopping.Store(true)
	return a.deadlines.SetDeadline(now) == nil
}

// Accept implements net.Listener. It returns net.ErrClosed after stop.
func (a *acceptor) Accept() (net.Conn, error) {
	// The first time-out may be that of stop, which ends a wait but does not look
	// into the queue.
	for empty := 0; empty < 2; {
		if a.stopping.Load() {
			now := time.Now()
			if now.After(a.stopAt) {
				break
			}
			if err := a.deadlines.SetDeadline(now.Add(acceptTail)); err != nil {
				return nil, err
			}
		}
		conn, err := a.Listener.Accept()
		if !a.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		empty++
	}
	return nil, net.ErrClosed
}
