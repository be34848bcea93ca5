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

// Log events of the stand-in: 5000 to 5099.
var (
	eventServing        = eventlog.Declare(5000, zapcore.InfoLevel, "stand-in backend server serves")
	eventAnnounceFailed = eventlog.Declare(5001, zapcore.WarnLevel, "announcement failed")
	eventAnnounceWorks  = eventlog.Declare(5002, zapcore.InfoLevel, "announcement works again")
	eventLeaving        = eventlog.Declare(5010, zapcore.InfoLevel, "planned stop: leave is announced")
	eventLeft           = eventlog.Declare(5011, zapcore.InfoLevel, "planned stop: requests in flight have ended")
	eventCut            = eventlog.Declare(5012, zapcore.WarnLevel, "stopped at once: requests in flight were cut")
)

const (
	workerMessages = 256
	// leaveTimeout ends the wait for an entry process that acknowledges the
	// leave. Without one, the announcements expire within a lease as well.
	leaveTimeout = 5 * time.Second
	headTimeout  = 10 * time.Second
	refuseFor    = 500 * time.Millisecond
)

// Server is one incarnation of a stand-in.
type Server struct {
	settings    Settings
	incarnation uint64
	logger      *eventlog.Logger
	listener    net.Listener
	debug       net.Listener
	http        *http.Server
	messages    chan any
	stopped     chan struct{} // closed when the worker task has ended
}

// New opens the addresses of a stand-in. incarnation is larger at every start.
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
		settings:    settings,
		incarnation: incarnation,
		logger:      logger,
		listener:    listener,
		debug:       debug,
		messages:    make(chan any, workerMessages),
		stopped:     make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serveRequest), ReadHeaderTimeout: headTimeout}
	return s, nil
}

// Address returns the address that serves requests.
func (s *Server) Address() string { return s.listener.Addr().String() }

// DebugAddress returns the address that serves GET /debug/runs.
func (s *Server) DebugAddress() string { return s.debug.Addr().String() }

// Run serves until stop ends and then leaves: it announces the leave, serves
// for announce_lease more, refuses what comes after that, and ends the work in
// flight. When kill ends it cuts what is left.
func (s *Server) Run(stop, kill context.Context) error {
	defer close(s.stopped)
	workerCtx, stopWorker := context.WithCancel(context.Background())
	defer stopWorker()
	go newWorker(s.settings.Slots, s.settings.Faults).run(workerCtx, s.messages)

	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/runs", s.serveRuns)
	debugServer := &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout}
	failed := make(chan error, 2)
	go func() { failed <- s.http.Serve(s.listener) }()
	go func() { failed <- debugServer.Serve(s.debug) }()
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
	return s.http.Close()
}

func (s *Server) leave(kill context.Context, a *announcer) {
	s.logger.Log(eventLeaving)
	ctx, cancel := context.WithTimeout(kill, leaveTimeout)
	defer cancel()
	a.leave(ctx)
	_ = pause.For(kill, a.lease)
	idle := make(chan struct{})
	s.messages <- turnAway{idle: idle}
	select {
	case <-idle:
		s.logger.Log(eventLeft)
		s.shutDown(kill)
	case <-kill.Done():
		s.logger.Log(eventCut, zap.Int("cut", s.Counts().InFlight))
	}
}

// shutDown refuses requests a little longer, because one may be on its way on an
// idle connection, and then closes the connections as they become idle.
func (s *Server) shutDown(kill context.Context) {
	_ = pause.For(kill, refuseFor)
	ctx, cancel := context.WithTimeout(kill, leaveTimeout)
	defer cancel()
	// What is left after the timeout is cut by the caller.
	_ = s.http.Shutdown(ctx)
}

// Kill cuts all connections and stops serving, as a crash does.
func (s *Server) Kill() error {
	return errors.Join(s.http.Close(), s.debug.Close())
}

// SetFaults changes the failures that are caused.
func (s *Server) SetFaults(f Faults) { s.messages <- setFaults{faults: f} }

// Counts returns the runs so far.
func (s *Server) Counts() Counts {
	reply := make(chan Counts, 1)
	select {
	case s.messages <- askCounts{reply: reply}:
	case <-s.stopped:
		return Counts{}
	}
	select {
	case counts := <-reply:
		return counts
	case <-s.stopped:
		return Counts{}
	}
}

func (s *Server) begin(key string) ticket {
	reply := make(chan ticket, 1)
	s.messages <- beginRun{key: key, reply: reply}
	return <-reply
}

// load returns the number of requests in flight.
func (s *Server) load() int {
	reply := make(chan int, 1)
	s.messages <- askLoad{reply: reply}
	return <-reply
}

func (s *Server) end() {
	reply := make(chan int, 1)
	s.messages <- endRun{reply: reply}
	<-reply
}

func (s *Server) newAnnouncer() *announcer {
	p := s.settings
	return &announcer{
		template: backendapi.Announcement{
			Backend:       p.Name,
			Incarnation:   s.incarnation,
			Service:       p.Service,
			Address:       s.Address(),
			Region:        p.Region,
			FailureDomain: p.FailureDomain,
			Slots:         p.Slots,
			Connections:   p.Connections,
		},
		entries:  p.Entries,
		tokens:   map[string]heldToken{},
		interval: p.AnnounceInterval,
		lease:    p.AnnounceLease,
		client:   &http.Client{},
		logger:   s.logger,
		load:     s.load,
	}
}
