package proxying

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/callproxy"
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/internal/sockets"
)

// total returns the calls that have reached workers, of all proxies.
func (g *testGroup) total() (holds, starts, stops int64) {
	for _, p := range g.proxies {
		holds += p.workers.holds.Load()
		starts += p.workers.starts.Load()
		stops += p.workers.stops.Load()
	}
	return holds, starts, stops
}

// awaitFault waits until a proxy is no longer used for one of the given reasons, while calls are sent.
func (g *testGroup) awaitFault(reasons ...callproxy.Fault) {
	g.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		for _, reason := range reasons {
			if containsLine(g.metrics.Text(), fmt.Sprintf("call_proxy_faults_total{reason=%q}", reason)) {
				return
			}
		}
		g.send(20, longLease)
		g.collect(60)
	}
	g.t.Fatalf("no fault %q:\n%s", reasons, g.metrics.Text())
}

// wantServed sends calls and expects that all of them are answered, by the proxies left.
func (g *testGroup) wantServed(failed *testProxy) {
	g.t.Helper()
	before := failed.workers.starts.Load()
	g.send(100, longLease)
	wantTally(g.t, g.collect(300), tally{"hold-ok": 100, "start-ok": 100, "stop-old": 100})
	if got := failed.workers.starts.Load(); got != before {
		g.t.Errorf("the failed proxy has sent %d starts", got-before)
	}
}

// Guards against calls that fail although nothing was sent when a proxy's process ends, and against its
// workers staying without calls.
func TestEndedProxyIsReplacedAtOnce(t *testing.T) {
	g := startGroup(t, 3)
	g.workers = 1400
	g.awaitUsed(3)
	failed := g.proxies[0]
	refuse := func(r *http.Request) error {
		if r.URL.Host == failed.address {
			return &net.OpError{Op: "dial", Err: errors.New("connection refused")}
		}
		return nil
	}
	g.link.set(refuse)
	failed.kill()
	g.wantServed(failed)
}

// Guards against a machine that takes the place of another one and is never used, or an address that is used
// although its replica was removed.
func TestReplacedProxyIsUsed(t *testing.T) {
	g := startGroup(t, 2)
	g.workers = 1400
	g.awaitUsed(2)
	removed := g.proxies[0]
	g.proxies = g.proxies[1:]
	added := g.addProxy()
	g.setMembers()
	await(t, "the new proxy to be used", func() bool {
		g.send(100, longLease)
		g.collect(300)
		return added.workers.starts.Load() > 0
	})
	g.wantServed(removed)
}

// Guards against calls that are lost, or counted as unanswered, because a proxy's planned stop ends them, and
// against a planned stop that waits although nothing is to be answered.
func TestPlannedStopOfAProxyLosesNoCall(t *testing.T) {
	g := startGroup(t, 3)
	g.workers = 1400
	g.awaitUsed(3)
	stopping := g.proxies[0]
	stopping.workers.holdTime = 200 * time.Millisecond
	holds := stopping.workers.holds.Load()
	g.send(100, longLease)
	await(t, "holds that wait", func() bool { return stopping.workers.holds.Load() > holds })
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	stopped := make(chan struct{})
	go func() { stopping.Stop(ctx); close(stopped) }()
	got := g.collect(300)
	wantTally(t, got, tally{"hold-ok": 100, "start-ok": 100, "stop-old": 100})
	<-stopped
	if ctx.Err() != nil {
		t.Error("the stop has not ended")
	}
	g.wantServed(stopping)
	stopping.kill()
}

// Guards against workers that stay without calls while their proxy does not get them, and against a start
// that is reported as not sent although it may have been.
func TestProxyCutOffFromTheLeader(t *testing.T) {
	g := startGroup(t, 3)
	g.workers = 1400
	g.awaitUsed(3)
	failed := g.proxies[0]
	g.link.set(func(r *http.Request) error {
		if r.URL.Host == failed.address {
			return cutOff(r)
		}
		return nil
	})
	g.send(100, longLease)
	got := g.collect(300)
	if got["start-no-answer"] == 0 || got["hold-no-answer"] == 0 || got["hold-ok"]+got["hold-no-answer"] != 100 || got["start-ok"]+got["start-no-answer"] != 100 {
		t.Errorf("results %v, want unanswered calls and no other failures", got)
	}
	// Most of its calls are unanswered before its batches have timed out.
	g.awaitFault(callproxy.FaultUnreachable, callproxy.FaultLossy)
	g.wantServed(failed)
}

// Guards against a proxy that goes on sending while its answers do not arrive, and against its silence
// staying unnoticed.
func TestLeaderCutOffFromTheProxy(t *testing.T) {
	g := startGroup(t, 3)
	g.workers = 1400
	g.awaitUsed(3)
	failed := g.proxies[0]
	failed.link.set(cutOff)
	// Most of its calls are unanswered before it has been silent for long enough.
	g.awaitFault(callproxy.FaultSilent, callproxy.FaultLossy)
	g.wantServed(failed)
}

// Guards against calls that a proxy sends after the leader's lease has ended: when they were delayed on
// their way, or while the proxy waited for a connection (platform rule TWICE).
func TestNothingIsSentAfterTheLease(t *testing.T) {
	const leaseLeft = 150 * time.Millisecond
	t.Run("delayed on the way", func(t *testing.T) {
		g := startGroup(t, 1)
		g.awaitUsed(1)
		g.link.set(func(r *http.Request) error { time.Sleep(2 * leaseLeft); return nil })
		holds, starts, stops := g.total()
		g.send(50, leaseLeft)
		wantTally(t, g.collect(150), tally{"hold-not-permitted": 50, "start-not-permitted": 50, "stop-not-permitted": 50})
		if h, s, p := g.total(); h != holds || s != starts || p != stops {
			t.Errorf("calls were sent: %d, %d and %d", h-holds, s-starts, p-stops)
		}
	})
	t.Run("wait for a connection", func(t *testing.T) {
		g := startGroup(t, 1)
		g.awaitUsed(1)
		g.proxies[0].workers.beforeSend = func(context.Context) { time.Sleep(2 * leaseLeft) }
		holds, starts, stops := g.total()
		g.send(50, leaseLeft)
		wantTally(t, g.collect(150), tally{"hold-not-permitted": 50, "start-not-permitted": 50, "stop-not-permitted": 50})
		if h, s, p := g.total(); h != holds || s != starts || p != stops {
			t.Errorf("calls were sent: %d, %d and %d", h-holds, s-starts, p-stops)
		}
	})
	t.Run("before the batch is sent", func(t *testing.T) {
		g := startGroup(t, 1)
		g.awaitUsed(1)
		_, starts, _ := g.total()
		g.send(50, 0)
		wantTally(t, g.collect(150), tally{"hold-not-permitted": 50, "start-not-permitted": 50, "stop-not-permitted": 50})
		if _, after, _ := g.total(); after != starts {
			t.Errorf("%d starts were sent", after-starts)
		}
	})
	t.Run("without an exchange of clocks", func(t *testing.T) {
		g := startGroup(t, 1)
		g.proxies[0].link.set(cutOff)
		message := startCall(dispatch.Start{Call: dispatch.Call{Worker: "w", Token: 9}, Payload: "payload", Ticket: "ticket"})
		message.ID, message.TimeoutMs, message.Until = 1, 1000, int64(time.Hour*24*365)
		status := make(chan int, 1)
		g.proxies[0].batches <- batchMessage{callproxy.CallBatch{Session: 1, Term: 1, ReplyTo: g.address, Calls: []callproxy.Call{message}}, status}
		if got := <-status; got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		time.Sleep(leaseLeft)
		if _, starts, _ := g.total(); starts > 0 {
			t.Error("a call was sent without an exchange of clocks")
		}
	})
}

// Guards against a proxy behind a slow link that stays in use although no call can be sent in time.
func TestSlowProxyIsNotUsed(t *testing.T) {
	g := startGroup(t, 3)
	g.workers = 1400
	g.awaitUsed(3)
	failed := g.proxies[0]
	g.link.set(func(r *http.Request) error {
		if r.URL.Host == failed.address {
			time.Sleep(350 * time.Millisecond) // less than the timeout of a batch
		}
		return nil
	})
	const leaseLeft = 300 * time.Millisecond
	want := fmt.Sprintf("call_proxy_faults_total{reason=%q}", callproxy.FaultLossy)
	for end := time.Now().Add(testTimeout); !containsLine(g.metrics.Text(), want); {
		if time.Now().After(end) {
			t.Fatalf("the slow proxy is still used:\n%s", g.metrics.Text())
		}
		g.send(100, leaseLeft)
		g.collect(300)
	}
	g.wantServed(failed)
}

// Guards against proxies that are given up because the leader has no socket for its batches: it would need
// more sockets to call the workers itself.
func TestLackOfSocketsIsNotTheProxysFault(t *testing.T) {
	g := startGroup(t, 2)
	g.awaitUsed(2)
	var refused atomic.Int64
	g.link.set(func(*http.Request) error {
		if refused.Add(1) <= 5 {
			return sockets.ErrNone
		}
		return nil
	})
	g.send(100, longLease)
	wantTally(t, g.collect(300), tally{"hold-ok": 100, "start-ok": 100, "stop-old": 100})
	if got := refused.Load(); got < 5 || strings.Contains(g.metrics.Text(), "call_proxy_faults_total") {
		t.Errorf("%d batches were tried, and a proxy was given up:\n%s", got, g.metrics.Text())
	}
}

// Guards against a call that reaches no worker, or is reported as unanswered, because a replica has an
// earlier version.
func TestEarlierVersionIsNotUsed(t *testing.T) {
	g := startGroup(t, 2)
	g.workers = 1400
	old, address := serve(t)
	old.set(http.NotFoundHandler())
	g.proxies = append(g.proxies, &testProxy{address: address, workers: &fakeWorkers{}, link: &link{}})
	g.setMembers()
	g.awaitUsed(2)
	g.send(100, longLease)
	wantTally(t, g.collect(300), tally{"hold-ok": 100, "start-ok": 100, "stop-old": 100})
	if want := `call_proxy_batches_total{reason="calls-version"} 1`; !containsLine(g.metrics.Text(), want) {
		t.Errorf("want %s:\n%s", want, g.metrics.Text())
	}
}

// Guards against a leader that calls no workers, or more than it has descriptors for, when it reaches no
// proxy.
func TestLeaderCallsWhatItCanWithoutProxies(t *testing.T) {
	g := startGroup(t, 2)
	g.workers = 2000 // twice as many as it has descriptors for
	g.link.set(cutOff)
	const workers = 1000
	for {
		g.send(workers, longLease)
		got := g.collect(3 * workers)
		if got["own"] == 0 { // the leader still waits for a first proxy
			continue
		}
		if own := got["own"]; own < 3*450 || own > 3*550 {
			t.Errorf("%d calls are left to the leader, want %d within a tenth", own, 3*workers/2)
		}
		if got["hold-not-permitted"]+got["start-not-permitted"]+got["stop-not-permitted"]+got["own"] != 3*workers {
			t.Errorf("results %v, want own calls and unsent ones only", got)
		}
		break
	}
}

// Guards against calls of a former leader that are sent after a later one has called, or holds of it that
// occupy the connections of workers.
func TestLaterLeaderEndsTheSessionOfTheFormer(t *testing.T) {
	g := startGroup(t, 1)
	g.awaitUsed(1)
	p := g.proxies[0]
	p.workers.holdTime = time.Hour
	p.workers.beforeSend = nil
	g.send(1, longLease)
	status := make(chan int, 1)
	await(t, "a hold that waits", func() bool { return p.workers.holds.Load() > 0 })
	p.batches <- batchMessage{callproxy.CallBatch{Session: 1, Term: g.term + 1, ReplyTo: "127.0.0.1:1"}, status}
	if got := <-status; got != http.StatusOK {
		t.Fatalf("status %d for a later term", got)
	}
	p.batches <- batchMessage{callproxy.CallBatch{Session: 2, Term: g.term, ReplyTo: g.address}, status}
	if got := <-status; got != http.StatusConflict {
		t.Errorf("status %d for a former term, want %d", got, http.StatusConflict)
	}
	starts := p.workers.starts.Load()
	g.send(1, longLease)
	g.collect(6)
	if got := p.workers.starts.Load(); got != starts {
		t.Errorf("%d starts of the former leader were sent", got-starts)
	}
}

// Guards against an answer to a hold that is lost because one message with answers failed, or that is
// passed on twice.
func TestAnswersAreSentAgain(t *testing.T) {
	g := startGroup(t, 1)
	g.awaitUsed(1)
	lost := 0
	g.proxies[0].link.set(func(r *http.Request) error {
		if lost++; lost > 3 {
			return nil
		}
		// The leader gets the message, its response is lost.
		response, err := http.DefaultTransport.RoundTrip(r)
		if err == nil {
			response.Body.Close()
		}
		return errors.New("connection reset")
	})
	g.send(50, longLease)
	wantTally(t, g.collect(150), tally{"hold-ok": 50, "start-ok": 50, "stop-old": 50})
}

// Guards against an answer to a hold that arrives after its timeout and is dropped: the worker may regard
// the ends in it as received (platform rule TWICE).
func TestLateAnswerToAHoldIsDelivered(t *testing.T) {
	g := startGroup(t, 1)
	g.awaitUsed(1)
	g.proxies[0].workers.holdTime = 600 * time.Millisecond // more than the wait and the margin
	g.send(5, longLease)
	got := g.collect(15)
	for end := time.Now().Add(testTimeout); got["late"] < 5 && time.Now().Before(end); {
		select {
		case r := <-g.results:
			got.add(r)
		case <-time.After(10 * time.Millisecond):
		}
	}
	wantTally(t, got, tally{"hold-no-answer": 5, "start-ok": 5, "stop-old": 5, "late": 5})
}

// Guards against results of an ended term that block the task, so that the next term is not served.
func TestEndedTermDoesNotBlockTheNext(t *testing.T) {
	g := startGroup(t, 2)
	g.awaitUsed(2)
	g.send(50, longLease) // nobody receives the results
	g.endTerm()
	g.ended, g.endTerm = context.WithCancel(t.Context())
	await(t, "the end of the session", func() bool { return containsLine(g.metrics.Text(), "call_proxies_used 0") })
	g.term++
	g.results = make(chan Results)
	g.awaitUsed(2)
	g.send(50, longLease)
	wantTally(t, g.collect(150), tally{"hold-ok": 50, "start-ok": 50, "stop-old": 50})
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
