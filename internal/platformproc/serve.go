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

	"github.com/godwitlink/godwitlink/internal/draining"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events.
var (
	eventStarted    = eventlog.Declare(4300, zapcore.InfoLevel, "process started")
	eventStopping   = eventlog.Declare(4301, zapcore.InfoLevel, "planned stop begins")
	eventStopped    = eventlog.Declare(4302, zapcore.InfoLevel, "process ends")
	eventReload     = eventlog.Declare(4303, zapcore.InfoLevel, "SIGHUP: the settings are read at the next start; members of the control group are learned from the group")
	eventServer     = eventlog.Declare(4304, zapcore.ErrorLevel, "listener failed")
	eventHTTP       = eventlog.Declare(4306, zapcore.WarnLevel, "connection failed")
	eventNotRefused = eventlog.Declare(4311, zapcore.WarnLevel, "new connections could not be refused before the socket was closed; some may have been reset")
	eventCut        = eventlog.Declare(4305, zapcore.WarnLevel, "connections were still open at the end of a planned stop")
)

// ErrListen says that an address of the settings cannot be listened on.
var ErrListen = merry.Sentinel("cannot listen")

const (
	// readHeaderTimeout closes connections that send no request.
	readHeaderTimeout = 5 * time.Second
	// logFlush is how long the last log lines may take.
	logFlush = 100 * time.Millisecond
)

// base is what all processes have: a log, metrics and listeners.
type base struct {
	logger   *eventlog.Logger
	metrics  *metrics.Set
	servers  []*draining.Server
	failures chan error
	tasks    sync.WaitGroup
	stopLog  func()
}

// heapShare is the part of the memory that the heap may use before garbage is
// collected more often, in percent. The rest is for stacks, sockets and files.
const heapShare = 50

// heapGrowth is by how many percent the heap may grow between two collections,
// below the limit: memory is far cheaper here than processor time.
const heapGrowth = 300

// newBase opens the log on out. close must be called at the end.
func newBase(out io.Writer, level, name string, memoryMB int64) (*base, error) {
	debug.SetMemoryLimit(memoryMB << 20 * heapShare / 100)
	debug.SetGCPercent(heapGrowth)
	async := eventlog.NewAsyncWriter(out)
	logger, err := eventlog.New(async, level, name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { async.Run(ctx, logger); close(done) }()
	b := &base{logger: logger, metrics: metrics.New(), failures: make(chan error, 4)}
	b.stopLog = func() {
		cancel()
		select {
		case <-done:
		case <-time.After(logFlush):
		}
	}
	return b, nil
}

// close ends the listeners and writes the last log lines.
func (b *base) close() {
	for _, server := range b.servers {
		server.Close()
	}
	b.logger.Log(eventStopped)
	b.stopLog()
}

// serve opens a listener.
func (b *base) serve(address string, handler http.Handler) error {
	_, err := b.serveDraining(address, handler, &draining.Flag{})
	return err
}

// serveDraining opens a listener whose connections end with their next answer
// once flag is set.
func (b *base) serveDraining(address string, handler http.Handler, flag *draining.Flag) (*draining.Server, error) {
	socket, err := draining.Listen(address)
	if err != nil {
		return nil, merry.Wrap(ErrListen, merry.WithCause(err), merry.AppendMessage(address))
	}
	server := draining.NewServer(socket, draining.Plain, &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: log.New(serverLog{b.logger}, "", 0),
	}, flag)
	b.servers = append(b.servers, server)
	go func() {
		if err := server.Serve(); err != nil {
			b.logger.Log(eventServer, zap.String("address", address), zap.Error(err))
			b.failures <- err
		}
	}()
	return server, nil
}

// serverLog passes what net/http says of connections to the log.
type serverLog struct{ logger *eventlog.Logger }

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	l.logger.Log(eventHTTP, zap.String("detail", strings.TrimSpace(string(line))))
	return len(line), nil
}

// serveMetrics opens the listener for metrics.
func (b *base) serveMetrics(address string) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", b.metrics)
	return b.serve(address, mux)
}

// watchReload logs SIGHUP until ctx ends. Without a handler it would end the
// process.
func (b *base) watchReload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-hangups:
				b.logger.Log(eventReload)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// newHTTPClient returns the client for calls between processes. A connection
// that has gone silent is noticed by the time-out of the call, which closes it.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: internalConnectTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: internalIdlePerHost,
		IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

const (
	// internalConnectTimeout notices a machine that is cut off: the longest way
	// is 16 ms both ways.
	internalConnectTimeout = 300 * time.Millisecond
	internalIdlePerHost    = 64
)
