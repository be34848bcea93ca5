package backendserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/backendapi"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/pause"
)

// Log events of the simulated backend server: 5000 to 5099.
var (
	eventServing           = eventlog.Declare(5000, zapcore.InfoLevel, "stand-in backend server serves")
	eventAnnounceFailed    = eventlog.Declare(5001, zapcore.WarnLevel, "announcement failed")
	eventAnnounceRecovered = eventlog.Declare(5002, zapcore.InfoLevel, "announcement works again")
	eventLeaving           = eventlog.Declare(5010, zapcore.InfoLevel, "planned stop: leave is announced")
	eventLeft              = eventlog.Declare(5011, zapcore.InfoLevel, "planned stop: requests in flight have ended")
	eventAborted           = eventlog.Declare(5012, zapcore.WarnLevel, "stopped at once: requests in flight were cut")
)

const (
	messageQueueSize = 256
	// leaveTimeout limits the wait until an entry process acknowledges the leave. Without an
	// acknowledgement the announcements expire within a lease.
	leaveTimeout      = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
	refusalPeriod     = 500 * time.Millisecond
)

// Server is one incarnation of a simulated backend server.
type Server struct {
	settings      Settings
	incarnation   uint64
	logger        *eventlog.Logger
	listener      net.Listener
	debugListener net.Listener
	httpServer    *http.Server
	messages      chan any
	stopped       chan struct{} // closed when Run returns
}

// New opens the listeners of a simulated backend server. Each start needs a larger incarnation.
func New(settings Settings, incarnation uint64, logger *eventlog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "backendserver: address for requests")
	}
	debug, err := net.Listen("tcp", settings.ListenDebug)
	if err != nil {
		return nil, merry.Prepend(errors.Join(err, listener.Close()), "backendserver: debug address")
	}
	s := &Server{
		settings:      settings,
		incarnation:   incarnation,
		logger:        logger,
		listener:      listener,
		debugListener: debug,
		messages:      make(chan any, messageQueueSize),
		stopped:       make(chan struct{}),
	}
	s.httpServer = &http.Server{Handler: http.HandlerFunc(s.serveRequest), ReadHeaderTimeout: readHeaderTimeout}
	return s, nil
}

// Address returns the address on which requests are served.
func (s *Server) Address() string { return s.listener.Addr().String() }

// DebugAddress returns the address on which GET /debug/runs is served.
func (s *Server) DebugAddress() string { return s.debugListener.Addr().String() }

// Run serves requests until stop ends and then leaves: it announces the leave, serves for one
// announce_lease more, refuses later requests, and waits for the requests in flight. When kill
// ends, it closes the remaining connections.
func (s *Server) Run(stop, kill context.Context) error {
	defer close(s.stopped)
	trackerCtx, stopTracker := context.WithCancel(context.Background())
	defer stopTracker()
	go newRunTracker(s.settings.Slots, s.settings.Faults).run(trackerCtx, s.messages)

	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/runs", s.serveRuns)
	debugServer := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 2)
	go func() { failed <- s.httpServer.Serve(s.listener) }()
	go func() { failed <- debugServer.Serve(s.debugListener) }()
	defer debugServer.Close()
	s.logger.Log(eventServing, zap.String("address", s.Address()))

	announcer := s.newAnnouncer()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		announcer.run(stop)
	}()
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	<-announced
	s.leave(kill, announcer)
	return s.httpServer.Close()
}

func (s *Server) leave(kill context.Context, a *announcer) {
	s.logger.Log(eventLeaving)
	ctx, cancel := context.WithTimeout(kill, leaveTimeout)
	defer cancel()
	a.leave(ctx)
	_ = pause.For(kill, a.lease)
	idle := make(chan struct{})
	s.messages <- startDraining{idle: idle}
	select {
	case <-idle:
		s.logger.Log(eventLeft)
		s.shutDown(kill)
	case <-kill.Done():
		s.logger.Log(eventAborted, zap.Int("cut", s.Counts().InFlight))
	}
}

// shutDown refuses requests for refusalPeriod, because a request may be on its way on an idle
// connection. Then it closes connections as they become idle.
func (s *Server) shutDown(kill context.Context) {
	_ = pause.For(kill, refusalPeriod)
	ctx, cancel := context.WithTimeout(kill, leaveTimeout)
	defer cancel()
	// The caller closes the connections that remain after the timeout.
	_ = s.httpServer.Shutdown(ctx)
}

// Kill closes all connections and stops serving, to simulate a crash.
func (s *Server) Kill() error {
	return errors.Join(s.httpServer.Close(), s.debugListener.Close())
}

// SetFaults replaces the failures that are injected.
func (s *Server) SetFaults(f Faults) { s.messages <- setFaults{faults: f} }

// Counts returns the run counts. They are empty after Run has returned.
func (s *Server) Counts() RunCounts {
	reply := make(chan RunCounts, 1)
	select {
	case s.messages <- getCounts{reply: reply}:
	case <-s.stopped:
		return RunCounts{}
	}
	select {
	case counts := <-reply:
		return counts
	case <-s.stopped:
		return RunCounts{}
	}
}

func (s *Server) begin(key string) decision {
	reply := make(chan decision, 1)
	s.messages <- beginRun{key: key, reply: reply}
	return <-reply
}

// inFlight returns the number of requests in flight.
func (s *Server) inFlight() int {
	reply := make(chan int, 1)
	s.messages <- getInFlight{reply: reply}
	return <-reply
}

func (s *Server) end() {
	reply := make(chan int, 1)
	s.messages <- endRun{reply: reply}
	<-reply
}

func (s *Server) newAnnouncer() *announcer {
	cfg := s.settings
	return &announcer{
		template: backendapi.Announcement{
			Backend:       cfg.Name,
			Incarnation:   s.incarnation,
			Service:       cfg.Service,
			Address:       s.Address(),
			Region:        cfg.Region,
			FailureDomain: cfg.FailureDomain,
			Slots:         cfg.Slots,
			Connections:   cfg.Connections,
		},
		entries:  cfg.Entries,
		tokens:   map[string]cachedToken{},
		interval: cfg.AnnounceInterval,
		lease:    cfg.AnnounceLease,
		client:   &http.Client{},
		logger:   s.logger,
		inFlight: s.inFlight,
	}
}
