package proxying

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/callproxy"
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

const (
	// testTimeout fails a test that hangs.
	testTimeout = 20 * time.Second
	// longLease is the lease of tests that do not let it end.
	longLease = 5 * time.Second
)

// fakeWorkers answers the calls of one process.
type fakeWorkers struct {
	holds, starts, stops, refused atomic.Int64
	holdTime                      time.Duration
	beforeSend                    func(ctx context.Context) // stands for the wait for a connection
}

// mayBeSent counts a call that is not permitted any more.
func (f *fakeWorkers) mayBeSent(ctx context.Context, maySend func() bool) bool {
	if f.beforeSend != nil {
		f.beforeSend(ctx)
	}
	if !maySend() {
		f.refused.Add(1)
		return false
	}
	return true
}

func (f *fakeWorkers) Hold(ctx context.Context, maySend func() bool, h dispatch.Hold) dispatch.HoldReport {
	if !f.mayBeSent(ctx, maySend) {
		return dispatch.HoldReport{Outcome: dispatch.OutcomeNotPermitted}
	}
	f.holds.Add(1)
	select {
	case <-time.After(f.holdTime):
	case <-ctx.Done():
		return dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer}
	}
	task := workload.TaskID{Job: "job", Step: 1, Index: 2}
	return dispatch.HoldReport{
		Clock: 1000, Boot: 7, Active: []dispatch.ActiveRun{{Task: task, Run: 3, Checkpoint: "c", Percent: 40}},
		Ends: []dispatch.ListedEnd{{Number: h.AckedEnd + 1, Task: task, Run: 2, Result: workload.EndDone, Checkpoint: "d"}},
	}
}

func (f *fakeWorkers) Start(ctx context.Context, maySend func() bool, s dispatch.Start) (dispatch.Outcome, int64) {
	if !f.mayBeSent(ctx, maySend) {
		return dispatch.OutcomeNotPermitted, 0
	}
	f.starts.Add(1)
	if s.Payload != "payload" || s.Ticket != "ticket" || s.Token != 9 {
		return dispatch.OutcomeRefused, 0
	}
	return dispatch.OutcomeOK, 2000
}

func (f *fakeWorkers) Stop(ctx context.Context, maySend func() bool, _ dispatch.Stop) (dispatch.Outcome, int64) {
	if !f.mayBeSent(ctx, maySend) {
		return dispatch.OutcomeNotPermitted, 0
	}
	f.stops.Add(1)
	return dispatch.OutcomeRunClosed, 3000
}

// link is the connection of a process to others. block is asked before each request: it may wait, and an
// error fails the request.
type link struct {
	inner http.RoundTripper
	block atomic.Pointer[func(r *http.Request) error]
}

func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	if block := l.block.Load(); block != nil {
		if err := (*block)(r); err != nil {
			return nil, err
		}
	}
	return l.inner.RoundTrip(r)
}

func (l *link) set(block func(r *http.Request) error) { l.block.Store(&block) }

// cutOff lets requests wait until they time out.
func cutOff(r *http.Request) error {
	<-r.Context().Done()
	return r.Context().Err()
}

// testProxy is a call proxy with its fake workers.
type testProxy struct {
	*Proxy
	address string
	workers *fakeWorkers
	link    *link
	kill    context.CancelFunc
}

// testGroup is a leader with call proxies on loopback addresses.
type testGroup struct {
	t       *testing.T
	leader  *Leader
	link    *link
	address string
	metrics *metrics.Set
	proxies []*testProxy
	term    uint64
	ended   context.Context
	endTerm context.CancelFunc
	results chan Results
	workers int // that the leader calls
}

// handlerBox is a server whose handler is set after its address is known.
type handlerBox struct {
	mu      sync.Mutex
	handler http.Handler
}

func (b *handlerBox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	handler := b.handler
	b.mu.Unlock()
	handler.ServeHTTP(w, r)
}

func (b *handlerBox) set(handler http.Handler) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handler = handler
}

func serve(t *testing.T) (box *handlerBox, address string) {
	box = &handlerBox{handler: http.NotFoundHandler()}
	server := httptest.NewServer(box)
	t.Cleanup(server.CloseClientConnections)
	return box, server.Listener.Addr().String()
}

func newLink(t *testing.T) (*link, *http.Client) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	t.Cleanup(transport.CloseIdleConnections)
	l := &link{inner: transport}
	return l, &http.Client{Transport: l}
}

func startGroup(t *testing.T, proxies int) *testGroup {
	g := &testGroup{t: t, metrics: metrics.New(), term: 5, results: make(chan Results), workers: 700 * proxies}
	g.ended, g.endTerm = context.WithCancel(t.Context())
	box, address := serve(t)
	g.address = address
	var client *http.Client
	g.link, client = newLink(t)
	g.leader = NewLeader(LeaderOptions{
		SelfAddress: address, Client: client, PerProcess: 1000, HoldMargin: 300 * time.Millisecond, LateHold: 600 * time.Millisecond,
		StopTimeout: 300 * time.Millisecond, Logger: eventlog.Nop(), Metrics: g.metrics,
	})
	box.set(g.leader)
	go g.leader.Run(t.Context())
	for range proxies {
		g.addProxy()
	}
	g.setMembers()
	return g
}

func (g *testGroup) addProxy() *testProxy {
	box, address := serve(g.t)
	p := &testProxy{address: address, workers: &fakeWorkers{}}
	var client *http.Client
	p.link, client = newLink(g.t)
	p.Proxy = NewProxy(ProxyOptions{SelfAddress: address, Workers: p.workers, Client: client, Logger: eventlog.Nop(), Metrics: g.metrics})
	box.set(p.Proxy)
	ctx, kill := context.WithCancel(g.t.Context())
	p.kill = kill
	go p.Run(ctx)
	g.proxies = append(g.proxies, p)
	return p
}

func (g *testGroup) setMembers() {
	addresses := []string{g.address}
	for _, p := range g.proxies {
		addresses = append(addresses, p.address)
	}
	g.leader.SetMembers(g.t.Context(), addresses)
}

func leaseFor(t *testing.T, d time.Duration) lease.Deadline {
	clocks, err := readClocks()
	if err != nil {
		t.Fatal(err)
	}
	return leaseIn(clocks, d)
}

func leaseIn(clocks callproxy.Clocks, d time.Duration) lease.Deadline {
	return lease.DeadlineIn(clocks.Now, d).OnBootClock(clocks.Boot)
}

// send sends one hold, start and stop to each of n workers.
func (g *testGroup) send(n int, until time.Duration) {
	calls := Calls{Term: g.term, Ended: g.ended.Done(), Lease: leaseFor(g.t, until), Workers: g.workers, Results: g.results}
	for i := range n {
		call := dispatch.Call{Worker: workload.WorkerID(fmt.Sprint("w", i)), Boot: 7, Address: "192.0.2.1:1", Token: 9}
		task := workload.TaskID{Job: "job", Index: i}
		calls.Holds = append(calls.Holds, dispatch.Hold{Call: call, AckedEnd: 4, Wait: 50 * time.Millisecond})
		calls.Starts = append(calls.Starts, dispatch.Start{Call: call, Task: task, Run: 1, Payload: "payload", Ticket: "ticket", Timeout: 400 * time.Millisecond})
		calls.Stops = append(calls.Stops, dispatch.Stop{Call: call, Task: task, Run: 1})
	}
	g.leader.Send(calls)
}

// tally is the number of results by kind and outcome.
type tally map[string]int

// collect receives results until n calls have ended.
func (g *testGroup) collect(n int) tally {
	g.t.Helper()
	got := tally{}
	for ended := 0; ended < n; {
		select {
		case r := <-g.results:
			ended += got.add(r)
		case <-time.After(testTimeout):
			g.t.Fatalf("%d of %d results: %v", ended, n, got)
		}
	}
	return got
}

func (got tally) add(r Results) (ended int) {
	for _, h := range r.Holds {
		got["hold-"+h.Report.Outcome.String()]++
	}
	for _, s := range r.Starts {
		got["start-"+s.Outcome.String()]++
	}
	for _, s := range r.Stops {
		got["stop-"+s.Outcome.String()]++
	}
	own := len(r.OwnHolds) + len(r.OwnStarts) + len(r.OwnStops)
	if own > 0 {
		got["own"] += own
	}
	if len(r.LateHolds) > 0 {
		got["late"] += len(r.LateHolds)
	}
	return len(r.Holds) + len(r.Starts) + len(r.Stops) + own
}

// awaitUsed sends calls until the leader uses the given number of proxies.
func (g *testGroup) awaitUsed(n int) {
	g.t.Helper()
	want := fmt.Sprintf("call_proxies_used %d\n", n)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if containsLine(g.metrics.Text(), want) {
			return
		}
		g.send(1, longLease)
		g.collect(3)
	}
	g.t.Fatalf("the leader does not use %d proxies:\n%s", n, g.metrics.Text())
}
