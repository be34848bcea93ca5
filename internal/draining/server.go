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
	httpServer *http.Server
	socket     *acceptor
	listener   net.Listener // the socket under its layer
	flag       *Flag
	openConns  atomic.Int64
	connClosed chan struct{} // signalled when a connection closes
	serveEnded chan struct{} // closed when no more connections are accepted
}

// NewServer returns a server for a socket. Connections pass through layer, which is
// apart from the socket because a stop needs what a wrapped listener hides. They end
// with their next answer once flag is set.
func NewServer(socket Socket, layer Layer, server *http.Server, flag *Flag) *Server {
	s := &Server{
		httpServer: server, socket: &acceptor{Socket: socket}, flag: flag,
		connClosed: make(chan struct{}, 1), serveEnded: make(chan struct{}),
	}
	s.listener = layer(s.socket)
	server.Handler = flag.Wrap(server.Handler)
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if next != nil {
			next(conn, state)
		}
		s.countState(state)
	}
	return s
}

// Address returns the address that is listened on.
func (s *Server) Address() string { return s.socket.Addr().String() }

func (s *Server) countState(state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
		select {
		case s.connClosed <- struct{}{}:
		default:
		}
	}
}

// Serve serves until Stop or Close, or until the socket fails. Only a failure
// gives an error.
func (s *Server) Serve() error {
	defer close(s.serveEnded)
	err := s.httpServer.Serve(s.listener)
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
func (s *Server) Stop(ctx context.Context) (aborted int, err error) {
	s.flag.Begin()
	acceptUntil := time.Now()
	err = s.socket.refuseNew()
	if err == nil {
		acceptUntil = acceptUntil.Add(maxHandshakeTime)
	}
	if s.socket.stopAcceptingAt(acceptUntil) {
		select {
		case <-s.serveEnded:
		case <-ctx.Done():
		}
	}
	// The socket is not used again; it may have failed before.
	_ = s.socket.Close()
	<-s.serveEnded
	// Closes idle connections, and the others after their answer.
	s.httpServer.SetKeepAlivesEnabled(false)
	for s.openConns.Load() > 0 {
		select {
		case <-s.connClosed:
		case <-ctx.Done():
			aborted = int(s.openConns.Load())
			s.Close()
			return aborted, err
		}
	}
	return 0, err
}

// Close ends all connections at once.
func (s *Server) Close() {
	// There is nobody to tell: the process ends. A server that was never started
	// does not know its socket.
	_ = s.httpServer.Close()
	_ = s.socket.Close()
}
