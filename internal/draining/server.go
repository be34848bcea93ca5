package draining

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Server serves HTTP on one socket and stops without dropping a request that
// has been read.
//
// http.Server.Shutdown is no substitute: it closes a connection whose request
// was read after the shutdown began, without an answer.
type Server struct {
	http    *http.Server
	socket  *acceptor
	layered net.Listener // the socket under its layer
	flag    *Flag
	open    atomic.Int64
	closed  chan struct{} // signalled when a connection closes
	served  chan struct{} // closed when no more connections are accepted
}

// NewServer returns a server for a socket. Connections pass through layer, which is
// apart from the socket because a stop needs what a wrapped listener hides. They end
// with their next answer once flag is set.
func NewServer(socket Socket, layer Layer, server *http.Server, flag *Flag) *Server {
	s := &Server{
		http: server, socket: &acceptor{Socket: socket}, flag: flag,
		closed: make(chan struct{}, 1), served: make(chan struct{}),
	}
	s.layered = layer(s.socket)
	server.Handler = flag.Wrap(server.Handler)
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if next != nil {
			next(conn, state)
		}
		s.count(state)
	}
	return s
}

// Address returns the address that is listened on.
func (s *Server) Address() string { return s.socket.Addr().String() }

func (s *Server) count(state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
		select {
		case s.closed <- struct{}{}:
		default:
		}
	}
}

// Serve serves until Stop or Close, or until the socket fails. Only a failure
// gives an error.
func (s *Server) Serve() error {
	defer close(s.served)
	err := s.http.Serve(s.layered)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stop refuses new connections, accepts those that are open or being opened,
// closes the idle ones and waits until the others have been answered. It returns
// the number of connections that were still open when ctx ended. An error says that
// the kernel cannot refuse new connections before the socket is closed, so that
// some may have been reset; the stop is complete all the same. Serve must have been
// called.
func (s *Server) Stop(ctx context.Context) (cut int, err error) {
	s.flag.Begin()
	end := time.Now()
	err = s.socket.refuseNew()
	if err == nil {
		end = end.Add(handshakeTime)
	}
	if s.socket.stop(end) {
		select {
		case <-s.served:
		case <-ctx.Done():
		}
	}
	// The socket is not used again; it may have failed before.
	_ = s.socket.Close()
	<-s.served
	// Closes idle connections, and the others after their answer.
	s.http.SetKeepAlivesEnabled(false)
	for s.open.Load() > 0 {
		select {
		case <-s.closed:
		case <-ctx.Done():
			cut = int(s.open.Load())
			s.Close()
			return cut, err
		}
	}
	return 0, err
}

// Close ends all connections at once.
func (s *Server) Close() {
	// There is nobody to tell: the process ends. A server that was never started
	// does not know its socket.
	_ = s.http.Close()
	_ = s.socket.Close()
}
