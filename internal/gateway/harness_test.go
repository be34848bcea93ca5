package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
	"github.com/godwitlink/godwitlink/internal/backendserver"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/pause"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// fakeControlGroup stands in for the control group. It applies commands to the replicated
// state machine directly, protected by a mutex.
type fakeControlGroup struct {
	mu    sync.Mutex
	state *state.State
	index uint64
	down  bool
	delay time.Duration
}

var errNoLeader = errors.New("no leader")

// Propose implements ControlClient.
func (l *fakeControlGroup) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	_ = pause.For(ctx, l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return state.Result{}, errNoLeader
	}
	l.index++
	c.At = time.Now()
	result, _ := l.state.Apply(l.index, c)
	return result, nil
}

// Read implements ControlClient.
func (l *fakeControlGroup) Read(_ context.Context, q state.Query) (state.Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return state.Answer{}, errNoLeader
	}
	return l.state.Query(q), nil
}

func (l *fakeControlGroup) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// testCellFile returns a cell file with one service and two teams.
func testCellFile() cellconfig.File {
	return cellconfig.File{
		Generation: 1,
		Cell:       cellconfig.Cell{MaxEntries: 9, StaleAfter: time.Minute},
		Teams:      []cellconfig.Team{{Name: "reservas", Share: 0.5}, {Name: "cobros", Share: 0.25}},
		Services: []cellconfig.Service{{
			Name: "turnos", PathPrefix: "/turnos/", Teams: []cell.Team{"reservas", "cobros"},
			IdempotentMethods: []string{"GET", "HEAD"},
			AnnounceInterval:  100 * time.Millisecond, AnnounceLease: 2 * time.Second,
			MaxQueue: 400, DefaultDeadline: 5 * time.Second, MaxDeadline: 30 * time.Second,
			DispatchWindow: 2 * time.Second, MaxRequestBytes: 1 << 20, ReplayMaxBytes: 64 << 10,
			AnswerRetention: time.Hour, RetryBudget: 0.1,
			CrossRegionPenalty: 20 * time.Millisecond, PanicThreshold: 0.5,
		}},
	}
}

// testCell runs gateways and stand-in backend servers in the test process.
type testCell struct {
	t       *testing.T
	file    cellconfig.File
	control *fakeControlGroup
	entries []*testEntry
	servers []*testServer
}

type testEntry struct {
	*Gateway
	callers  *httptest.Server
	platform *httptest.Server
	internal *httptest.Server
	metrics  *metrics.Set
	stop     context.CancelFunc
}

type testServer struct {
	*backendserver.Server
	leave context.CancelFunc
	done  chan error
}

func newCell(t *testing.T, entries int) *testCell {
	c := &testCell{t: t, file: testCellFile(), control: &fakeControlGroup{state: state.New()}}
	var members []state.Member
	for i := range entries {
		e := c.addEntry(i)
		members = append(members, state.Member{
			Name: e.opts.Entry, Incarnation: e.opts.Incarnation, Address: e.internal.Listener.Addr().String(),
			Region: e.opts.Region, FailureDomain: e.opts.FailureDomain,
		})
	}
	for _, e := range c.entries {
		e.SetMembers(members)
	}
	for _, m := range members {
		c.propose(state.Command{JoinMember: &state.JoinMember{Member: m}})
	}
	return c
}

func (c *testCell) propose(command state.Command) {
	c.t.Helper()
	result, err := c.control.Propose(c.t.Context(), command)
	if err != nil || result.Refusal != state.RefusalNone {
		c.t.Fatalf("command refused: %+v %v", result, err)
	}
}

// removeMember removes an entry process, as the leader does when its feed calls are
// missing.
func (c *testCell) removeMember(e *testEntry) {
	c.propose(state.Command{LeaveMember: &state.LeaveMember{Name: e.opts.Entry, Incarnation: e.opts.Incarnation}})
}

// testMaxConnections is the connection limit of the gateways in tests.
const testMaxConnections = 200

func (c *testCell) addEntry(i int) *testEntry {
	set := metrics.New()
	g := New(Options{
		Entry: cell.EntryName(fmt.Sprintf("entry-%d", i)), Incarnation: 1,
		Region: "quito-norte", FailureDomain: "quito-norte-1",
		Metrics: set, Control: c.control, Seed: uint64(i),
	})
	ctx, stop := context.WithCancel(c.t.Context())
	go g.Run(ctx)
	e := &testEntry{Gateway: g, metrics: set, stop: stop}
	e.callers = httptest.NewUnstartedServer(nil)
	e.callers.Listener = g.CallerListener(e.callers.Listener, testMaxConnections)
	e.callers.Config = g.CallerServer(g.CallerHandler())
	e.callers.Start()
	e.platform = httptest.NewServer(g.AnnounceHandler())
	e.internal = httptest.NewServer(rpcpb.NewPeerServer(g.PeerServer()))
	c.t.Cleanup(func() {
		stop()
		e.callers.CloseClientConnections()
		e.callers.Close()
		e.platform.CloseClientConnections()
		e.platform.Close()
		e.internal.CloseClientConnections()
		e.internal.Close()
	})
	g.SetConfig(c.file, time.Now())
	c.entries = append(c.entries, e)
	return e
}

// addServer starts a stand-in backend server that announces itself to the given entry
// processes, or to all if none are given.
func (c *testCell) addServer(faults backendserver.Faults, entries ...*testEntry) *testServer {
	if len(entries) == 0 {
		entries = c.entries
	}
	p := backendserver.Settings{
		Common: settings.Common{
			Name: fmt.Sprintf("backend-%d", len(c.servers)), Region: "quito-norte", FailureDomain: "quito-norte-1",
		},
		Service: "turnos", Listen: "127.0.0.1:0", ListenDebug: "127.0.0.1:0", Slots: 8, Connections: 60,
		AnnounceInterval: 100 * time.Millisecond, AnnounceLease: 2 * time.Second,
		Faults: faults,
	}
	for _, e := range entries {
		p.Entries = append(p.Entries, e.platform.Listener.Addr().String())
	}
	server, err := backendserver.New(p, uint64(time.Now().UnixNano()), eventlog.Nop())
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, leave := context.WithCancel(context.Background())
	s := &testServer{Server: server, leave: leave, done: make(chan error, 1)}
	go func() { s.done <- server.Run(ctx, c.t.Context()) }()
	c.t.Cleanup(func() {
		_ = server.Kill()
		leave()
	})
	c.servers = append(c.servers, s)
	return s
}

// awaitBackends waits until every entry process knows n backend servers.
func (c *testCell) awaitBackends(n int) {
	c.t.Helper()
	for _, e := range c.entries {
		c.await(fmt.Sprintf("%d backend servers at %s", n, e.opts.Entry), func() bool {
			known := make(chan int, 1)
			return e.send(runInRouter{func(r *router) { known <- r.table.ServerCount("turnos") }}) && <-known == n
		})
	}
}

// runInRouter calls f in the router task.
type runInRouter struct{ f func(r *router) }

func (p runInRouter) apply(r *router, _ time.Time) { p.f(r) }

func (c *testCell) await(what string, done func() bool) {
	c.t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("not reached: %s", what)
}

// answer is the answer that a caller received.
type answer struct {
	status  int
	outcome string
	reason  string
	body    string
	header  http.Header
	closes  bool  // the connection is closed after the answer
	err     error // of the request or of reading the body
}

// call sends a request; headers are name-value pairs.
func (e *testEntry) call(method, path, body string, headers ...string) answer {
	req, err := http.NewRequest(method, e.callers.URL+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set(backendapi.HeaderTeam, "reservas")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, outcome: resp.Header.Get(backendapi.HeaderOutcome),
		reason: resp.Header.Get(backendapi.HeaderReason), body: string(data), header: resp.Header, err: err, closes: resp.Close,
	}
}

// noFaults configures a stand-in backend server that injects no faults.
var noFaults = backendserver.Faults{}
