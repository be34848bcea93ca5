package draining

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Server serves HTTP on one socket and stops without dropping a request that has
// been read.
//
// http.Server.Shutdown is no substitute: if a request is read after the shutdown
// has begun, it closes the connection without an answer.
type Server struct {
	httpServer *http.Server
	socket     *acceptor
	listener   net.Listener // the socket wrapped by its layer
	flag       *Flag
	openConns  atomic.Int64
	connClosed chan struct{} // signalled when a connection closes
	serveEnded chan struct{} // closed when no more connections are accepted
}

// NewServer returns a server for a socket that is wrapped by layer. The two are
// separate arguments because Stop needs methods of the socket that a wrapped
// listener hides. Once flag is set, each connection is closed after its next answer.
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

// Address returns the address of the socket.
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

// Serve accepts and serves connections until Stop or Close is called or the socket
// fails. It returns an error only for a failed socket.
func (s *Server) Serve() error {
	defer close(s.serveEnded)
	err := s.httpServer.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stop refuses new connections, accepts those that are queued or in a handshake,
// closes idle connections and waits until the others have been answered. It returns
// the number of connections that were still open when ctx ended and were aborted. An
// error means that the kernel could not refuse new connections before the socket was
// closed, so some may have been reset; the server is stopped nevertheless. Serve must
// have been called.
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
	// The error is ignored: the socket is not used again and may have failed before.
	_ = s.socket.Close()
	<-s.serveEnded
	// Closes idle connections at once and the others after their answer.
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

// Close closes the socket and all connections at once.
func (s *Server) Close() {
	// Errors are ignored, because the process is ending. The socket is closed
	// separately, because an http.Server that never served does not know it.
	_ = s.httpServer.Close()
	_ = s.socket.Close()
}
