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

// Log events.
var (
	eventListening = eventlog.Declare(1300, zapcore.InfoLevel, "listener opened")
	eventStopping  = eventlog.Declare(1301, zapcore.InfoLevel, "planned stop, leadership is handed over first")
	eventKilled    = eventlog.Declare(1302, zapcore.WarnLevel, "second signal, the process ends at once")
	eventFailed    = eventlog.Declare(1303, zapcore.ErrorLevel, "control replica failed, the process ends")
	eventServer    = eventlog.Declare(1304, zapcore.ErrorLevel, "listener failed")
)

// ErrListen says that an address of the settings cannot be listened on.
var ErrListen = merry.Sentinel("cannot listen")

const (
	// readHeaderTimeout closes connections that send no request.
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout bounds the wait for the answers to calls in flight at a
	// planned stop. Every call to an ended replica is answered at once; what
	// is left after that are connections that a client opened in advance and
	// never used, for which net/http would wait 5 s.
	shutdownTimeout = 500 * time.Millisecond
	// readinessTimeout bounds a readiness check.
	readinessTimeout = time.Second
)

// process holds the parts of a running process.
type process struct {
	logger   *eventlog.Logger
	replica  *replica.Replica
	servers  []*http.Server
	failures chan error
}

// Run runs a control replica. stop asks for a planned stop, kill ends it.
func Run(stop, kill context.Context, s *Settings, stderr io.Writer) error {
	logger, err := eventlog.New(stderr, s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	set := metrics.New()
	internal, err := endpoint.Open(s.InternalTLS, logger, set)
	if err != nil {
		return err
	}
	go internal.Watch(kill)
	disk, err := diskio.NewFolder(s.DataDir)
	if err != nil {
		return merry.Wrap(err)
	}
	now := time.Now()
	r, err := replica.New(replica.Options{
		ID: replog.ReplicaID(s.ReplicaID), Voters: s.voters(), Address: s.ListenInternal, Join: s.Start == StartJoin, Scheme: internal.Scheme(), Client: internal.Client(replication.NewTransport()), Logger: logger, Metrics: set,
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
	plain, err := endpoint.Open(settings.TLS{Mode: settings.TLSPlain}, logger, set)
	if err != nil {
		return err
	}
	for _, listener := range []struct {
		endpoint *endpoint.Endpoint
		address  string
		handler  http.Handler
	}{{internal, s.ListenInternal, r.Handler()}, {plain, s.ListenMetrics, p.metricsHandler(set)}} {
		if err := p.startServer(listener.endpoint, listener.address, listener.handler); err != nil {
			r.Close()
			return err
		}
	}
	return p.run(stop, kill)
}

// startServer opens a listener.
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
			p.logger.Log(eventServer, zap.String("address", address), zap.Error(err))
			p.failures <- err
		}
	}()
	return nil
}

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

// stop hands the leadership over, ends the replica and waits for the answers
// to the calls in flight.
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
		// The process ends; a connection that was closed already is no fault.
		_ = server.Close()
	}
}

// metricsHandler serves metrics and health. A replica is ready when it knows
// the leader of its group.
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

func (p *process) serveHealth(w http.ResponseWriter, r *http.Request, healthy func(replica.Report) bool) {
	ctx, cancel := context.WithTimeout(r.Context(), readinessTimeout)
	defer cancel()
	report, err := p.replica.Report(ctx)
	if err != nil || !healthy(report) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	// The checker has gone where this fails; there is nobody to tell.
	_, _ = io.WriteString(w, "ok\n")
}
