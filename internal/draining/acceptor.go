package draining

import (
	"errors"
	"math"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// nonexistentInterface is an interface index that is not in use, because the
	// kernel assigns indexes from 1 upwards.
	nonexistentInterface = math.MaxInt32
	// maxHandshakeTime is how long an ongoing handshake may take after new ones are
	// refused. It covers three times the longest round trip of 16 ms.
	maxHandshakeTime = 50 * time.Millisecond
)

// acceptor is a listener that accepts the connections in the kernel's accept queue
// before it closes its socket. Closing a socket resets the queued connections, on
// which clients may have sent a request, and those with an ongoing handshake.
type acceptor struct {
	Socket
	// Used only by the goroutine that calls Accept.
	socketClosed bool
	pending      []net.Conn // accepted when the socket was closed and not returned yet
}

// Socket is a listening socket that is not wrapped, such as *net.TCPListener.
type Socket interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Listen opens a socket on an address of the form IP:port.
func Listen(address string) (*net.TCPListener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", resolved)
}

// Layer wraps a listener, for example with TLS or with a connection limit. It must
// return the errors of Accept unchanged.
type Layer func(net.Listener) net.Listener

// Plain is a Layer that returns the listener itself.
func Plain(listener net.Listener) net.Listener { return listener }

// refuseNew makes the kernel refuse new connections as if no process listened on
// the address. It binds the socket to an interface that does not exist. Ongoing
// handshakes continue. Linux allows this without privileges since 5.7.
func (a *acceptor) refuseNew() error {
	raw, err := a.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(socket uintptr) {
		optionErr = unix.SetsockoptInt(int(socket), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, nonexistentInterface)
	})
	return errors.Join(err, optionErr)
}

// stopAcceptingAt makes Accept close the socket at the deadline. It returns false if
// the socket has failed and must be closed by the caller.
func (a *acceptor) stopAcceptingAt(deadline time.Time) bool { return a.SetDeadline(deadline) == nil }

// Accept implements net.Listener. After the deadline given to stopAcceptingAt it
// returns the connections that were queued, and then net.ErrClosed.
func (a *acceptor) Accept() (net.Conn, error) {
	if !a.socketClosed {
		conn, err := a.Socket.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		a.socketClosed = true
		if err := a.acceptPendingAndClose(); err != nil {
			return nil, err
		}
	}
	if len(a.pending) == 0 {
		return nil, net.ErrClosed
	}
	next := a.pending[0]
	a.pending = a.pending[1:]
	return next, nil
}

// acceptPendingAndClose accepts the queued connections and closes the socket. It does
// not use Socket.Accept, which would wait for further connections: clients keep
// connecting until they are refused.
func (a *acceptor) acceptPendingAndClose() error {
	raw, err := a.SyscallConn()
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
				return // the queue is empty, or the process has no file descriptors left
			}
		}
	})
	err = errors.Join(err, a.Socket.Close())
	for _, fd := range accepted {
		file := os.NewFile(uintptr(fd), "accepted")
		conn, connErr := net.FileConn(file)
		err = errors.Join(err, connErr, file.Close())
		if connErr == nil {
			a.pending = append(a.pending, conn)
		}
	}
	if len(a.pending) > 0 {
		return nil
	}
	return err
}
