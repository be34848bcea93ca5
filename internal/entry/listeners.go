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
	// headerTimeout limits the time in which a client must send its header.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle keep-alive connection is closed.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
)

// listeners holds the HTTP servers of this process.
type listeners struct {
	logger   *eventlog.Logger
	servers  []*draining.Server
	draining draining.Flag
}

// add adds a server on a socket that is wrapped by layer. It serves connections only
// after serve is called.
func (l *listeners) add(socket draining.Socket, layer draining.Layer, server *http.Server) {
	l.servers = append(l.servers, draining.NewServer(socket, layer, server, &l.draining))
}

// newServer returns a server with the limits for all listeners but that of callers.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// drain makes all servers close each connection after its next answer.
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

// shutdown stops the servers one after the other, in the order in which they were
// added. Each stop waits for the requests in flight until ctx ends.
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
