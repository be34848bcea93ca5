package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/internal/draining"
	"github.com/godwitlink/godwitlink/internal/eventlog"
)

const (
	// headerTimeout cuts off clients that send their header slowly.
	headerTimeout = 5 * time.Second
	// idleTimeout closes keep-alive connections without requests.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// listeners are the sockets of this process and the servers on them.
type listeners struct {
	logger  *eventlog.Logger
	servers []*http.Server
	sockets []net.Listener
	flag    draining.Flag
}

// add takes a socket and its server. Nothing is served before serve.
func (l *listeners) add(socket net.Listener, server *http.Server) {
	server.Handler = l.flag.Wrap(server.Handler)
	l.sockets = append(l.sockets, socket)
	l.servers = append(l.servers, server)
}

// newServer returns a server with the limits of this process, for other than
// callers.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// drain ends connections with their next answer from now on.
func (l *listeners) drain() { l.flag.Begin() }

func (l *listeners) serve() {
	for i := range l.servers {
		go func() {
			err := l.servers[i].Serve(l.sockets[i])
			if !errors.Is(err, http.ErrServerClosed) {
				l.logger.Log(eventListenerFailed, zap.Stringer("address", l.sockets[i].Addr()), zap.Error(err))
			}
		}()
	}
}

// shutdown ends the servers one after the other in the order in which they
// were added, each after its calls in flight have ended or ctx is over.
func (l *listeners) shutdown(ctx context.Context) {
	for _, server := range l.servers {
		if err := server.Shutdown(ctx); err != nil {
			// Calls are still in flight at the end of the grace period.
			_ = server.Close()
		}
	}
}

func (l *listeners) close() {
	for i := range l.servers {
		// The process ends; there is nobody to tell. A server that was never
		// started does not know its socket.
		_ = l.servers[i].Close()
		_ = l.sockets[i].Close()
	}
}
