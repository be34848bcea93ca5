package controlproc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/endpoint"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/settings"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// Log events of this package.
var (
	eventListening      = eventlog.Declare(1300, zapcore.InfoLevel, "listener opened")
	eventStopping       = eventlog.Declare(1301, zapcore.InfoLevel, "planned stop, leadership is handed over first")
	eventKilled         = eventlog.Declare(1302, zapcore.WarnLevel, "second signal, the process ends at once")
	eventFailed         = eventlog.Declare(1303, zapcore.ErrorLevel, "control replica failed, the process ends")
	eventListenerFailed = eventlog.Declare(1304, zapcore.ErrorLevel, "listener failed")
)

// ErrListen says that the process cannot listen on an address from its settings.
var ErrListen = merry.Sentinel("cannot listen")

const (
	// readHeaderTimeout closes connections on which no request header arrives.
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout limits how long a planned stop waits for responses in flight. A stopped
	// replica answers every call at once. Without this limit net/http would wait 5 s for
	// connections that a client opened in advance and never used.
	shutdownTimeout = 500 * time.Millisecond
	// readinessTimeout limits how long a health or readiness check waits for the report of the
	// replica.
	readinessTimeout = time.Second
)

// process holds the components of a running control process.
type process struct {
	logger   *eventlog.Logger
	replica  *replica.Replica
	servers  []*http.Server
	failures chan error
}

// Run runs a control replica. The end of stop starts a planned stop; the end of kill ends the
// process at once.
func Run(stop, kill context.Context, s *Settings, stderr io.Writer) error {
	logger, err := eventlog.New(stderr, s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	set := metrics.New()
	internalEndpoint, err := endpoint.Open(s.InternalTLS, logger, set)
	if err != nil {
		return err
	}
	go internalEndpoint.Watch(kill)
	disk, err := diskio.NewFolder(s.DataDir)
	if err != nil {
		return merry.Wrap(err)
	}
	now := time.Now()
	r, err := replica.New(replica.Options{
		ID: replog.ReplicaID(s.ReplicaID), Voters: s.voters(), Address: s.ListenInternal, Join: s.Start == StartJoin, Scheme: internalEndpoint.Scheme(), Client: internalEndpoint.Client(replication.NewTransport()), Logger: logger, Metrics: set,
		Storage:            storage.Options{Disk: disk, SegmentBytes: storage.DefaultSegmentBytes},
		ElectionTimeoutMin: s.ElectionTimeoutMin, ElectionTimeoutMax: s.ElectionTimeoutMax,
		HeartbeatInterval: s.HeartbeatInterval, MaxClockDriftPPM: s.MaxClockDriftPPM,
		SnapshotEveryEntries: s.SnapshotEveryEntries, Seed: uint64(now.UnixNano()),
	})
	if err != nil {
		return err
	}
	p := &process{logger: logger, replica: r, failures: make(chan error, 2)}
	defer p.closeServers()
	plainEndpoint, err := endpoint.Open(settings.TLS{Mode: settings.TLSPlain}, logger, set)
	if err != nil {
		return err
	}
	for _, listener := range []struct {
		endpoint *endpoint.Endpoint
		address  string
		handler  http.Handler
	}{{internalEndpoint, s.ListenInternal, r.Handler()}, {plainEndpoint, s.ListenMetrics, p.metricsHandler(set)}} {
		if err := p.startServer(listener.endpoint, listener.address, listener.handler); err != nil {
			r.Close()
			return err
		}
	}
	return p.run(stop, kill)
}

// startServer listens on the address and serves HTTP there in its own goroutine.
func (p *process) startServer(ep *endpoint.Endpoint, address string, handler http.Handler) error {
	listener, err := ep.Listen(address)
	if err != nil {
		return merry.Wrap(ErrListen, merry.WithCause(err), merry.AppendMessage(address))
	}
	p.logger.Log(eventListening, zap.String("address", listener.Addr().String()))
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.logger.Log(eventListenerFailed, zap.String("address", address), zap.Error(err))
			p.failures <- err
		}
	}()
	return nil
}

// run runs the replica until it fails, a listener fails or stop ends.
func (p *process) run(stop, kill context.Context) error {
	runCtx, cancel := context.WithCancel(kill)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- p.replica.Run(runCtx) }()
	select {
	case err := <-ended:
		return p.logFailure(err)
	case err := <-p.failures:
		cancel()
		return errors.Join(err, <-ended)
	case <-stop.Done():
	}
	return p.stop(kill, cancel, ended)
}

// stop transfers the leadership to another replica, stops this one and waits for responses in
// flight.
func (p *process) stop(kill context.Context, cancel context.CancelFunc, ended <-chan error) error {
	p.logger.Log(eventStopping)
	stopErr := p.replica.Stop(kill)
	cancel()
	err := <-ended
	if kill.Err() != nil {
		p.logger.Log(eventKilled)
		return nil
	}
	if stopErr != nil && !errors.Is(stopErr, replica.ErrStopped) {
		err = errors.Join(err, stopErr)
	}
	shutdownCtx, cancel := context.WithTimeout(kill, shutdownTimeout)
	defer cancel()
	for _, server := range p.servers {
		shutdownErr := server.Shutdown(shutdownCtx)
		if !errors.Is(shutdownErr, context.DeadlineExceeded) {
			err = errors.Join(err, shutdownErr)
		}
	}
	return err
}

func (p *process) logFailure(err error) error {
	if err != nil {
		p.logger.Log(eventFailed, zap.Error(err))
	}
	return err
}

func (p *process) closeServers() {
	for _, server := range p.servers {
		// The process is exiting, so an error from a connection that is already closed is ignored.
		_ = server.Close()
	}
}

// metricsHandler serves the metrics and the health checks. A replica is ready once it knows the
// leader of its group.
func (p *process) metricsHandler(set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", set)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		p.serveHealth(w, r, func(replica.Report) bool { return true })
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		p.serveHealth(w, r, func(report replica.Report) bool { return report.Leader != 0 })
	})
	return mux
}

// serveHealth responds with 200 when the replica reports in time and healthy accepts the report.
func (p *process) serveHealth(w http.ResponseWriter, r *http.Request, healthy func(replica.Report) bool) {
	ctx, cancel := context.WithTimeout(r.Context(), readinessTimeout)
	defer cancel()
	report, err := p.replica.Report(ctx)
	if err != nil || !healthy(report) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	// A write error means that the client has disconnected.
	_, _ = io.WriteString(w, "ok\n")
}
