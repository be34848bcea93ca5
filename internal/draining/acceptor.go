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
	// nonexistentInterface is the index of no network interface: the kernel counts from 1.
	nonexistentInterface = math.MaxInt32
	// maxHandshakeTime is how long a handshake under way may take once new ones are
	// refused: three of the longest round trips, which take 16 ms.
	maxHandshakeTime = 50 * time.Millisecond
)

// acceptor is a listener that accepts what waits in its queue before it closes.
// Closing a socket resets the connections in its queue, on which clients may have
// sent a request, and those whose handshake is under way.
type acceptor struct {
	Socket
	// Of the goroutine that calls Accept.
	socketClosed bool
	pending      []net.Conn // that waited when the socket was closed
}

// Socket is a listening socket without layers on it, such as *net.TCPListener.
type Socket interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Listen opens a socket on an address, IP:port.
func Listen(address string) (*net.TCPListener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", resolved)
}

// Layer puts TLS or a limit of connections on a listener. The errors of Accept
// must pass through it.
type Layer func(net.Listener) net.Listener

// Plain is the layer that changes nothing.
func Plain(listener net.Listener) net.Listener { return listener }

// refuseNew makes the kernel refuse new connections as if nobody listened, by
// binding the socket to an interface that does not exist. Handshakes under way go
// on. Linux allows it without privileges since 5.7.
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

// stop lets Accept close the socket at end. It reports false for a socket that has
// to be closed instead, because it has failed.
func (a *acceptor) stopAcceptingAt(deadline time.Time) bool { return a.SetDeadline(deadline) == nil }

// Accept implements net.Listener. Once the time given to stop has come it returns
// the connections that wait, and then net.ErrClosed.
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

// acceptPendingAndClose accepts what waits and closes the socket at once, without the
// wait of Socket.Accept for the next connection: clients that are not told to go
// elsewhere never stop coming.
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
				return // the queue is empty, or the process has no descriptor left
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
