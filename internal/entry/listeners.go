package entry

import (
	"context"
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

// listeners are the servers of this process, each on its socket.
type listeners struct {
	logger   *eventlog.Logger
	servers  []*draining.Server
	draining draining.Flag
}

// add takes a socket, its layer and its server. Nothing is served before serve.
func (l *listeners) add(socket draining.Socket, layer draining.Layer, server *http.Server) {
	l.servers = append(l.servers, draining.NewServer(socket, layer, server, &l.draining))
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
func (l *listeners) drain() { l.draining.Begin() }

func (l *listeners) serve() {
	for _, server := range l.servers {
		go func() {
			if err := server.Serve(); err != nil {
				l.logger.Log(eventListenerFailed, zap.String("address", server.Address()), zap.Error(err))
			}
		}()
	}
}

// shutdown stops the servers one after the other in the order in which they
// were added, each after its calls in flight have ended or ctx is over.
func (l *listeners) shutdown(ctx context.Context) {
	for _, server := range l.servers {
		aborted, err := server.Stop(ctx)
		if err != nil {
			l.logger.Log(eventConnectionsNotRefused, zap.String("address", server.Address()), zap.Error(err))
		}
		if aborted > 0 {
			l.logger.Log(eventConnectionsAborted, zap.String("address", server.Address()), zap.Int("connections", aborted))
		}
	}
}

func (l *listeners) close() {
	for _, server := range l.servers {
		server.Close()
	}
}
