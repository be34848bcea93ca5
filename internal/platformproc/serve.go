package platformproc

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/core/memorybudget"
	"github.com/godwitlink/godwitlink/core/openfiles"
	"github.com/godwitlink/godwitlink/internal/connmemory"
	"github.com/godwitlink/godwitlink/internal/draining"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/sockets"
	"github.com/godwitlink/godwitlink/internal/startup"
)

// Log events.
var (
	eventStarted               = eventlog.Declare(4300, zapcore.InfoLevel, "process started")
	eventStopping              = eventlog.Declare(4301, zapcore.InfoLevel, "planned stop begins")
	eventStopped               = eventlog.Declare(4302, zapcore.InfoLevel, "process ends")
	eventEndedByError          = eventlog.Declare(4312, zapcore.ErrorLevel, "process ends because of an error")
	eventHangup                = eventlog.Declare(4303, zapcore.InfoLevel, "SIGHUP: the seeds in the settings file are read again, the other settings at the next start")
	eventListenerFailed        = eventlog.Declare(4304, zapcore.ErrorLevel, "listener failed")
	eventConnectionFailed      = eventlog.Declare(4306, zapcore.WarnLevel, "connection failed")
	eventConnectionsNotRefused = eventlog.Declare(4311, zapcore.WarnLevel, "new connections could not be refused before the socket was closed; some may have been reset")
	eventLimitsUnreadable      = eventlog.Declare(4332, zapcore.WarnLevel, "limits of clients' requests cannot be read, the former ones stay")
	eventConnectionsAborted    = eventlog.Declare(4305, zapcore.WarnLevel, "connections were still open at the end of a planned stop")
)

// ErrListen says that a listener cannot be opened at an address of the settings.
var ErrListen = merry.Sentinel("cannot listen")

const (
	// readHeaderTimeout closes connections that do not send a request.
	readHeaderTimeout = 5 * time.Second
	// serverIdleTimeout closes connections whose peers are gone or do not use them. It is longer than
	// clientIdleTimeout, so that a process does not send a call on a connection that is being closed.
	serverIdleTimeout = 30 * time.Second
	clientIdleTimeout = 20 * time.Second
	// logFlushTimeout limits how long the process waits at its end until the last log lines are
	// written.
	logFlushTimeout = 100 * time.Millisecond
)

// baseProcess holds what all processes have in common: a log, metrics and listeners.
type baseProcess struct {
	logger   *eventlog.Logger
	metrics  *metrics.Set
	sockets  *sockets.Budget
	memory   *connmemory.Budget
	servers  []*draining.Server
	failures chan error
	tasks    sync.WaitGroup
	start    *startup.Start
	hangups  chan os.Signal // SIGHUP, which would end the process without a receiver
	closeLog func()
}

// heapGrowthPercent is how far the heap may grow between two garbage collections below the limit.
// It is high because processor time is far scarcer here than memory.
const heapGrowthPercent = 300

// newBaseProcess sets the memory limits and opens the log on out. The caller must call close at the
// end.
func newBaseProcess(out io.Writer, level, name string, memoryMB int64, openFiles int) (*baseProcess, error) {
	division, err := openfiles.Divide(openFiles - filesOutsideDataFolder)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	memory, err := memorybudget.Divide(connmemory.Bytes(memoryMB))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	debug.SetMemoryLimit(connmemory.HeapBytes(memoryMB))
	debug.SetGCPercent(heapGrowthPercent)
	async := eventlog.NewAsyncWriter(out)
	logger, err := eventlog.New(async, level, name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { async.Run(ctx, logger); close(done) }()
	set := metrics.New()
	b := &baseProcess{logger: logger, metrics: set, sockets: sockets.New(division, logger, set), failures: make(chan error, 4), hangups: make(chan os.Signal, 1)}
	b.start = startup.New(logger, set)
	b.memory = connmemory.New(memory, logger, set)
	b.sockets.OnShortage(func() {
		// A client that waits for a descriptor gets that of one without progress.
		if b.sockets.Short(openfiles.UseCallers) {
			b.memory.CloseStalled()
		}
	})
	go b.memory.Run(ctx)
	signal.Notify(b.hangups, syscall.SIGHUP)
	b.closeLog = func() {
		cancel()
		select {
		case <-done:
		case <-time.After(logFlushTimeout):
		}
	}
	return b, nil
}

// close closes the listeners and writes the last log lines.
func (b *baseProcess) close() {
	b.closeServers(0)
	signal.Stop(b.hangups)
	b.logger.Log(eventStopped)
	b.closeLog()
}

// closeServers closes the listeners except for the first ones.
func (b *baseProcess) closeServers(kept int) {
	for _, server := range b.servers[kept:] {
		server.Close()
	}
	b.servers = b.servers[:kept]
}

// serve opens a listener and serves handler on it.
func (b *baseProcess) serve(use openfiles.Use, address string, handler http.Handler) error {
	peer := connmemory.PeerProcesses
	if use == openfiles.UseCallers {
		peer = connmemory.PeerOperators
	}
	_, err := b.serveDraining(use, peer, address, handler, &draining.Flag{})
	return err
}

// serveDraining opens a listener and serves handler on it. Once flag is set, each connection is
// closed after its next response. The connections draw on the sockets of the given use, and on the memory for
// the given kind of peers.
func (b *baseProcess) serveDraining(use openfiles.Use, peer connmemory.Peer, address string, handler http.Handler, flag *draining.Flag) (*draining.Server, error) {
	socket, err := draining.Listen(address)
	if err != nil {
		return nil, merry.Wrap(ErrListen, merry.WithCause(err), merry.AppendMessage(address))
	}
	b.memory.BoundUnread(peer, socket)
	limit := func(l net.Listener) net.Listener { return b.memory.Limit(peer, b.sockets.Limit(use, l)) }
	httpServer := &http.Server{
		Handler: b.memory.Handler(peer, b.sockets.CloseWhenShort(use, handler)), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout,
		MaxHeaderBytes: connmemory.MaxHeadBytes, ErrorLog: log.New(serverLogWriter{b.logger}, "", 0),
	}
	connmemory.Attach(httpServer)
	server := draining.NewServer(socket, limit, httpServer, flag)
	b.servers = append(b.servers, server)
	go func() {
		if err := server.Serve(); err != nil {
			b.logger.Log(eventListenerFailed, zap.String("address", address), zap.Error(err))
			b.failures <- err
		}
	}()
	return server, nil
}

// serverLogWriter writes the messages of net/http to the process log.
type serverLogWriter struct{ logger *eventlog.Logger }

// Write implements io.Writer.
func (l serverLogWriter) Write(line []byte) (int, error) {
	l.logger.Log(eventConnectionFailed, zap.String("detail", strings.TrimSpace(string(line))))
	return len(line), nil
}

// serveMetrics opens the listener for metrics, the state of the start and other questions of operators. The
// caller adds the handlers of the latter to the result.
func (b *baseProcess) serveMetrics(ctx context.Context, address string) (*http.ServeMux, error) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", b.metrics)
	mux.Handle("GET "+startup.Path, b.start)
	return mux, b.startServing(ctx, address, func() error { return b.serve(openfiles.UseProbes, address, mux) })
}

// startServing is the step of the start that opens a listener.
func (b *baseProcess) startServing(ctx context.Context, address string, serve func() error) error {
	return b.start.Do(ctx, "listen at "+address, func(error) startup.Cause { return startup.CauseAddress }, serve)
}

// newHTTPClient returns the client for calls between processes. When a call times out, its
// connection is closed, so that unresponsive connections are not reused.
func (b *baseProcess) newHTTPClient(maxIdleConnsPerAddress int) *http.Client {
	dialer := &net.Dialer{Timeout: internalConnectTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         b.sockets.Dial(openfiles.UseCalls, internalConnectTimeout, dialer.DialContext),
		MaxIdleConnsPerHost: maxIdleConnsPerAddress, IdleConnTimeout: clientIdleTimeout, DisableCompression: true,
	}}
}

const (
	// internalConnectTimeout detects an unreachable machine. The longest round trip takes 16 ms.
	internalConnectTimeout = 300 * time.Millisecond
	// maxIdleConnsToLeader is the number of connections that a process keeps to the leader, and the leader to
	// each process that calls the adviser. It is low because the leader has them with every process.
	maxIdleConnsToLeader = 2
	// maxIdleConnsToReplica allows for the log messages that are on their way to a replica.
	maxIdleConnsToReplica = 8
)
