package proxybench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
	"github.com/godwitlink/godwitlink/internal/gateway"
)

const (
	answerBytes      = 1 << 10
	serverSlots      = 256
	maxConnections   = 4096
	announceInterval = 500 * time.Millisecond
)

// setup holds the servers of one run.
type setup struct {
	ctx         context.Context
	direct      string // base URLs
	gateway     string
	proxy       string
	servers     []*http.Server
	announceURL string
	sequence    uint64
	token       string
}

func newSetup(ctx context.Context) (*setup, error) {
	s := &setup{ctx: ctx}
	backend, err := s.serve(&http.Server{Handler: http.HandlerFunc(serveBackendRequest)}, nil)
	if err != nil {
		return nil, err
	}
	s.direct = "http://" + backend
	target := &url.URL{Scheme: "http", Host: backend}
	reverse := httputil.NewSingleHostReverseProxy(target)
	reverse.Transport = &http.Transport{MaxIdleConnsPerHost: serverSlots, DisableCompression: true}
	proxy, err := s.serve(&http.Server{Handler: reverse}, nil)
	if err != nil {
		return nil, err
	}
	s.proxy = "http://" + proxy
	return s, s.startGateway(backend)
}

func (s *setup) startGateway(backend string) error {
	g := gateway.New(gateway.Options{Entry: "entry-1", Incarnation: 1, Region: "r", FailureDomain: "d", Control: unusedControlClient{}})
	go func() { _ = g.Run(s.ctx) }()
	g.SetConfig(cellFile(), time.Now())
	g.SetMembers([]state.Member{{Name: "entry-1", Incarnation: 1, Region: "r", FailureDomain: "d"}})
	callers, err := s.serve(g.CallerServer(g.CallerHandler()), func(l net.Listener) net.Listener {
		return g.CallerListener(l, maxConnections)
	})
	if err != nil {
		return err
	}
	s.gateway = "http://" + callers
	platform, err := s.serve(&http.Server{Handler: g.AnnounceHandler()}, nil)
	if err != nil {
		return err
	}
	s.announceURL = "http://" + platform + backendapi.AnnouncePath
	// The answer to the first announcement carries a token. Only an announcement with the token is
	// accepted.
	for range 2 {
		if err := s.announceOnce(backend); err != nil {
			return err
		}
	}
	go s.announcePeriodically(backend)
	return nil
}

func (s *setup) announcePeriodically(backend string) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			// Failed announcements end the lease, so that requests are refused and counted as failed.
			_ = s.announceOnce(backend)
		}
	}
}

func (s *setup) announceOnce(backend string) error {
	s.sequence++
	body, err := json.Marshal(backendapi.Announcement{
		Backend: "backend-1", Incarnation: 1, Sequence: s.sequence, Service: "bench", Address: backend,
		Region: "r", FailureDomain: "d", Slots: serverSlots, Connections: serverSlots, Token: s.token,
	})
	if err != nil {
		return err
	}
	resp, err := http.Post(s.announceURL, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var reply backendapi.AnnouncementResponse
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return err
	}
	s.token = reply.Token
	return nil
}

func (s *setup) serve(server *http.Server, wrap func(net.Listener) net.Listener) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address = l.Addr().String()
	if wrap != nil {
		l = wrap(l)
	}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return address, nil
}

func (s *setup) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

var answerBody = bytes.Repeat([]byte("x"), answerBytes)

// serveBackendRequest is the handler of the backend server.
func serveBackendRequest(w http.ResponseWriter, req *http.Request) {
	// The load generator sends small bodies, so an error of reading the rest can be ignored.
	_, _ = io.Copy(io.Discard, req.Body)
	if id := req.Header.Get(backendapi.HeaderRequestID); id != "" {
		w.Header().Set(backendapi.HeaderRequestID, id)
	}
	_, _ = w.Write(answerBody)
}

func cellFile() cellconfig.File {
	return cellconfig.File{
		Generation: 1,
		Cell:       cellconfig.Cell{MaxEntries: 1, StaleAfter: time.Hour},
		Teams:      []cellconfig.Team{{Name: "bench", Share: 1}},
		Services: []cellconfig.Service{{
			Name: "bench", PathPrefix: "/bench/", Teams: []cell.Team{"bench"}, IdempotentMethods: []string{"GET"},
			AnnounceInterval: announceInterval, AnnounceLease: 10 * time.Second, MaxQueue: 1000,
			DefaultDeadline: 5 * time.Second, MaxDeadline: 5 * time.Second, DispatchWindow: 2 * time.Second,
			MaxRequestBytes: 1 << 20, ReplayMaxBytes: 64 << 10, AnswerRetention: time.Hour, RetryBudget: 0.1,
			PanicThreshold: 0.5,
		}},
	}
}

// unusedControlClient is the control group's client of the gateway. The gateway does not call it,
// because the requests of the benchmark have no idempotency keys.
type unusedControlClient struct{}

// Propose implements gateway.ControlClient.
func (unusedControlClient) Propose(context.Context, state.Command) (state.Result, error) {
	return state.Result{}, context.Canceled
}

// Read implements gateway.ControlClient.
func (unusedControlClient) Read(context.Context, state.Query) (state.Answer, error) {
	return state.Answer{}, context.Canceled
}
