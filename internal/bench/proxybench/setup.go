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
	answerBytes    = 1 << 10
	serverSlots    = 256
	maxConnections = 4096
	announceEvery  = 500 * time.Millisecond
)

// setup is the servers of one run.
type setup struct {
	ctx      context.Context
	direct   string // base URLs
	gateway  string
	proxy    string
	servers  []*http.Server
	announce string
	sequence uint64
	token    string
}

func newSetup(ctx context.Context) (*setup, error) {
	s := &setup{ctx: ctx}
	backend, err := s.serve(&http.Server{Handler: http.HandlerFunc(answer)}, nil)
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
	g := gateway.New(gateway.Options{Entry: "entry-1", Incarnation: 1, Region: "r", FailureDomain: "d", Control: noLog{}})
	go func() { _ = g.Run(s.ctx) }()
	g.SetConfig(benchFile(), time.Now())
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
	s.announce = "http://" + platform + backendapi.AnnouncePath
	// The first announcement gets a token, the second one counts.
	for range 2 {
		if err := s.announceOnce(backend); err != nil {
			return err
		}
	}
	go s.announceAlways(backend)
	return nil
}

func (s *setup) announceAlways(backend string) {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			// A missed announcement shows as refused requests.
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
	resp, err := http.Post(s.announce, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var reply backendapi.Answer
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

// answer is the backend server.
func answer(w http.ResponseWriter, req *http.Request) {
	// The load generator sends small bodies; what is left does not matter.
	_, _ = io.Copy(io.Discard, req.Body)
	if id := req.Header.Get(backendapi.HeaderRequestID); id != "" {
		w.Header().Set(backendapi.HeaderRequestID, id)
	}
	_, _ = w.Write(answerBody)
}

func benchFile() cellconfig.File {
	return cellconfig.File{
		Generation: 1,
		Cell:       cellconfig.Cell{MaxEntries: 1, StaleAfter: time.Hour},
		Teams:      []cellconfig.Team{{Name: "bench", Share: 1}},
		Services: []cellconfig.Service{{
			Name: "bench", PathPrefix: "/bench/", Teams: []cell.Team{"bench"}, IdempotentMethods: []string{"GET"},
			AnnounceInterval: announceEvery, AnnounceLease: 10 * time.Second, MaxQueue: 1000,
			DefaultDeadline: 5 * time.Second, MaxDeadline: 5 * time.Second, DispatchWindow: 2 * time.Second,
			MaxRequestBytes: 1 << 20, ReplayMaxBytes: 64 << 10, AnswerRetention: time.Hour, RetryBudget: 0.1,
			PanicThreshold: 0.5,
		}},
	}
}

// noLog is a control group that nobody asks: the requests have no keys.
type noLog struct{}

// Propose implements gateway.ControlClient.
func (noLog) Propose(context.Context, state.Command) (state.Result, error) {
	return state.Result{}, context.Canceled
}

// Read implements gateway.ControlClient.
func (noLog) Read(context.Context, state.Query) (state.Answer, error) {
	return state.Answer{}, context.Canceled
}
