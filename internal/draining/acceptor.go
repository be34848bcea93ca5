package draining

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptor is a listener that accepts what waits in its queue before it closes.
// Closing a socket resets the connections in its queue, on which clients may have
// sent a request.
type acceptor struct {
	net.Listener
	socket   rawSocket // nil where the listener is of another kind
	stopping atomic.Bool
	// Of the goroutine that calls Accept.
	closed bool
	queue  []net.Conn // that waited when the socket was closed
}

type rawSocket interface {
	syscall.Conn
	SetDeadline(t time.Time) error
}

func newAcceptor(listener net.Listener) *acceptor {
	socket, _ := listener.(rawSocket)
	return &acceptor{Listener: listener, socket: socket}
}

// stop lets Accept close the socket and end. It reports false for a listener that
// has to be closed instead.
func (a *acceptor) stop(now time.Time) bool {
	if a.socket == nil {
		return false
	}
	a.stopping.Store(true)
	return a.socket.SetDeadline(now) == nil
}

// Accept implements net.Listener. After stop it returns the connections that
// waited, and then net.ErrClosed.
func (a *acceptor) Accept() (net.Conn, error) {
	if !a.stopping.Load() {
		conn, err := a.Listener.Accept()
		if !a.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	if !a.closed {
		a.closed = true
		if err := a.closeAfterQueue(); err != nil {
			return nil, err
		}
	}
	if len(a.queue) == 0 {
		return nil, net.ErrClosed
	}
	next := a.queue[0]
	a.queue = a.queue[1:]
	return next, nil
}

// closeAfterQueue accepts what waits and closes the socket at once, without the
// wait of Listener.Accept for the next connection: clients that are not told to go
// elsewhere never stop coming.
func (a *acceptor) closeAfterQueue() error {
	raw, err := a.socket.SyscallConn()
	if err != nil {
		return err
	}
	var accepted []int
	err = raw.Control(func(socket uintptr) {
		for {
			fd, _, err := unix.Accept4(int(socket), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case err == nil:
				accepted = append(accepted, fd)
			case !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.ECONNABORTED):
				return // the queue is empty, or the process has no descriptor left
			}
		}
	})
	err = errors.Join(err, a.Listener.Close())
	for _, fd := range accepted {
		file := os.NewFile(uintptr(fd), "accepted")
		conn, connErr := net.FileConn(file)
		err = errors.Join(err, connErr, file.Close())
		if connErr == nil {
			a.queue = append(a.queue, conn)
		}
	}
	if len(a.queue) > 0 {
		return nil
	}
	return err
}
