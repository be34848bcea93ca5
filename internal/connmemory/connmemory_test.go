package connmemory

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/memorybudget"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// testTimeout fails a test that hangs. No test checks how long an operation takes.
const testTimeout = 20 * time.Second

// testServer is a server whose connections draw on a budget.
type testServer struct {
	budget  *Budget
	metrics *metrics.Set
	address string
}

// startServer serves a handler that answers each body with its length.
func startServer(t *testing.T, kind Peer, bytes int64) *testServer {
	return startServerWith(t, kind, bytes, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, 1<<20, PerByte(ClientRequestFactor))
		var tooLarge *http.MaxBytesError
		switch {
		case errors.Is(err, ErrNoRoom):
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			fmt.Fprint(w, len(body))
		}
	}))
}

func startServerWith(t *testing.T, kind Peer, bytes int64, handler http.Handler) *testServer {
	t.Helper()
	division, err := memorybudget.Divide(bytes)
	if err != nil {
		t.Fatal(err)
	}
	set := metrics.New()
	s := &testServer{budget: New(division, eventlog.Nop(), set), metrics: set}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = inner.Addr().String()
	server := &http.Server{Handler: s.budget.Handler(kind, handler), ReadHeaderTimeout: DefaultLimits.HeaderTimeout, IdleTimeout: DefaultLimits.IdleTimeout, MaxHeaderBytes: MaxHeadBytes}
	Attach(server)
	go s.budget.Run(t.Context())
	go server.Serve(s.budget.Limit(kind, inner))
	t.Cleanup(func() { server.Close() })
	return s
}

// dial opens a connection and sends a text.
func (s *testServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	// The server may refuse the request before it has read all of it.
	_, _ = io.WriteString(conn, text)
	return conn
}

// answer returns everything that the server sends until it closes the connection.
func answer(conn net.Conn) string {
	text, _ := io.ReadAll(conn)
	return string(text)
}

// awaitMetric waits until a counter or gauge has a value, as a line of the metrics.
func (s *testServer) awaitMetric(t *testing.T, line string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !strings.Contains(s.metrics.Text(), line+"\n"); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s is missing in\n%s", line, s.metrics.Text())
		}
	}
}

const minBudget = memorybudget.MinBytes

// Guards against a request inside the limits that is answered otherwise than without a budget: whole, in chunks,
// byte by byte, and several on one connection.
func TestRequestsInsideTheLimits(t *testing.T) {
	s := startServer(t, PeerClients, minBudget)
	client := &http.Client{Timeout: testTimeout}
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 300_000, 1 << 20} {
		for name, body := range map[string]io.Reader{
			"whole": bytes.NewReader(make([]byte, size)), "chunked": struct{ io.Reader }{bytes.NewReader(make([]byte, size))},
		} {
			response, err := client.Post("http://"+s.address, "text/plain", body)
			if err != nil {
				t.Fatal(err)
			}
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK || string(text) != fmt.Sprint(size) {
				t.Errorf("%s, %d bytes: status %d, %q", name, size, response.StatusCode, text)
			}
		}
	}
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nConnection: close\r\n\r\nabcde"
	conn := s.dial(t, "")
	for i := range request {
		if _, err := io.WriteString(conn, request[i:i+1]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	if got := answer(conn); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("byte by byte: %q", got)
	}
	client.CloseIdleConnections()
	for _, use := range []string{"connections", "heads", "bodies", "requests"} {
		s.awaitMetric(t, fmt.Sprintf("connection_memory_bytes{reason=%q} 0", use))
	}
}

// Guards against heads and bodies above the limits that are not refused with their status.
func TestRequestsAboveTheLimits(t *testing.T) {
	s := startServer(t, PeerClients, minBudget)
	s.budget.SetLimits(Limits{HeadBytes: 2000, BodyBytes: 100})
	const head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	for name, c := range map[string]struct{ request, status, reason string }{
		"head above the limit":       {head + "X: " + strings.Repeat("x", 2500) + "\r\nContent-Length: 1\r\n\r\nx", "431", reasonHeadTooLarge},
		"head without end":           {head + "X: " + strings.Repeat("x", 100_000), "431", reasonHeadTooLarge},
		"fields without end":         {head + strings.Repeat("x: y\r\n", 20_000), "431", reasonHeadTooLarge},
		"stated length":              {head + "Content-Length: 101\r\n\r\n", "413", reasonBodyTooLarge},
		"chunked body":               {head + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", "413", reasonBodyTooLarge},
		"chunked body without end":   {head + "Transfer-Encoding: chunked\r\n\r\n10000\r\n" + strings.Repeat("x", 20_000), "413", reasonBodyTooLarge},
		"body and head at the limit": {head + "X: " + strings.Repeat("x", 1900) + "\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100), "200", ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := answer(s.dial(t, c.request)); !strings.HasPrefix(got, "HTTP/1.1 "+c.status) {
				t.Errorf("answered %.100q, want %s", got, c.status)
			}
			if c.reason != "" && !strings.Contains(s.metrics.Text(), fmt.Sprintf("connection_memory_refusals_total{reason=%q}", c.reason)) {
				t.Errorf("%s is not counted", c.reason)
			}
		})
	}
}

// Guards against a client that gets a reset instead of the refusal of a body that it is still sending.
func TestRefusedBodyIsReadUntilTheClientHasItsAnswer(t *testing.T) {
	s := startServer(t, PeerClients, minBudget)
	s.budget.SetLimits(Limits{BodyBytes: 1000})
	const head, size = "POST / HTTP/1.1\r\nHost: h\r\n", 4 << 20
	body := strings.Repeat("x", size)
	for name, request := range map[string]string{
		"stated length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, body),
		"chunked body":  fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, size, body),
	} {
		t.Run(name, func(t *testing.T) {
			conn := s.dial(t, "")
			if _, err := io.WriteString(conn, request); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 413") {
				t.Errorf("answered %.100q, %v, want 413", got, err)
			}
		})
	}
}

// Guards against a client that never ends a refused body and keeps its connection for it.
func TestRefusedBodyWithoutEndIsClosed(t *testing.T) {
	s := startServer(t, PeerClients, minBudget)
	conn := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000000\r\n\r\nx")
	if got := answer(conn); !strings.HasPrefix(got, "HTTP/1.1 413") {
		t.Errorf("answered %.100q, want 413", got)
	}
	s.awaitMetric(t, `connection_memory_bytes{reason="connections"} 0`)
}

// Guards against a body inside the limit that takes more than the process has for requests once it is decoded.
func TestBodyThatGrowsIsRefused(t *testing.T) {
	s := startServerWith(t, PeerClients, minBudget, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(w, r, 1<<20, JSON(ClientRequestFactor, "list"))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}))
	list := "[" + strings.Repeat("{},", 100_000) + "{}]"
	for name, c := range map[string]struct{ body, status string }{
		"list that is decoded": {`{"list":` + list + `}`, "413"},
		"list that is skipped": {`{"other":` + list + `}`, "200"},
	} {
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body)
		if got := answer(s.dial(t, request)); !strings.HasPrefix(got, "HTTP/1.1 "+c.status) {
			t.Errorf("%s: answered %.100q, want %s", name, got, c.status)
		}
	}
	s.awaitMetric(t, `connection_memory_refusals_total{reason="decoded-too-large"} 1`)
	s.awaitMetric(t, `connection_memory_bytes{reason="bodies"} 0`)
}

// Guards against bodies that stop short of their end and shut out others: the first that finds no room is
// refused with 503, and once the others have stalled, the oldest of them gives way.
func TestStoppedBodiesGiveWay(t *testing.T) {
	s := startServer(t, PeerClients, minBudget)
	const size = 1 << 20
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
	body := strings.Repeat("x", size)
	limit := int(s.budget.division.Limit(memorybudget.UseBodies) / size)
	for range limit {
		s.dial(t, request+body[:size-1])
	}
	s.awaitMetric(t, fmt.Sprintf(`connection_memory_bytes{reason="bodies"} %v`, float64(limit*size)))
	if got := answer(s.dial(t, request+body)); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("answered %.100q, want 503", got)
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(100 * time.Millisecond) {
		if got := answer(s.dial(t, request+body)); strings.HasPrefix(got, "HTTP/1.1 200") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no request is answered beside stopped ones")
		}
	}
	if text := s.metrics.Text(); !strings.Contains(text, `connection_memory_refusals_total{reason="stalled"}`) || !strings.Contains(text, `connection_memory_refusals_total{reason="no-room-bodies"}`) {
		t.Errorf("metrics: %s", text)
	}
}

// Guards against a slow client that is closed although nobody needs its memory.
func TestSlowClientIsServed(t *testing.T) {
	s := startServer(t, PeerClients, minBudget)
	conn := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\na")
	time.Sleep(memorybudget.StallTime + 500*time.Millisecond)
	if _, err := io.WriteString(conn, "b"); err != nil {
		t.Fatal(err)
	}
	if got := answer(conn); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("answered %q", got)
	}
}

// Guards against times of the configuration that are not in force for clients, or that are for others.
func TestTimesOfTheConfiguration(t *testing.T) {
	clients, operators := startServer(t, PeerClients, minBudget), startServer(t, PeerOperators, minBudget)
	for _, s := range []*testServer{clients, operators} {
		s.budget.SetLimits(Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
	}
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	late := clients.dial(t, request[:10])
	time.Sleep(200 * time.Millisecond)
	// The connection may be closed already.
	_, _ = io.WriteString(late, request[10:])
	if got := answer(late); strings.Contains(got, "HTTP/1.1 200") {
		t.Errorf("late head: answered %q", got)
	}
	if got := answer(clients.dial(t, request)); strings.Count(got, "HTTP/1.1 200") != 1 {
		t.Errorf("idle connection: answered %q", got)
	}
	conn := operators.dial(t, "")
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		if n, err := conn.Read(make([]byte, 1000)); n == 0 || err != nil {
			t.Fatalf("%d bytes, %v", n, err)
		}
	}
}

// Guards against a limit of the configuration above what the memory allows, and against a limit that is not
// stated and so refuses everything.
func TestLimitsStayWithinTheMemory(t *testing.T) {
	s := startServer(t, PeerClients, minBudget)
	s.budget.SetLimits(Limits{HeadBytes: 1 << 40, BodyBytes: 1 << 40, HeaderTimeout: time.Hour, IdleTimeout: time.Hour})
	got := s.budget.Limits()
	if got.HeadBytes > MaxHeadBytes || ClientRequestFactor*got.BodyBytes > s.budget.division.Limit(memorybudget.UseRequests) || got.HeaderTimeout > DefaultLimits.HeaderTimeout || got.IdleTimeout > DefaultLimits.IdleTimeout {
		t.Errorf("in force: %+v", got)
	}
	s.budget.SetLimits(Limits{})
	if got := s.budget.Limits(); got != DefaultLimits {
		t.Errorf("in force: %+v", got)
	}
}

// Guards against large messages that shut out small ones of other processes, such as votes.
func TestSmallMessagesPassLargeOnes(t *testing.T) {
	s := startServerWith(t, PeerProcesses, minBudget, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	const head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	refused := 0
	for range 10 {
		conn := s.dial(t, head+"Content-Length: 4000000\r\n\r\nx")
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if strings.HasPrefix(answer(conn), "HTTP/1.1 503") {
			refused++
		}
	}
	if refused == 0 {
		t.Error("10 large messages have room")
	}
	if got := answer(s.dial(t, head+"Content-Length: 4\r\n\r\nvote")); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("a small message is answered %q", got)
	}
}

// Guards against a request that loses its connection while it is worked on.
func TestWorkedOnRequestsKeepTheirConnections(t *testing.T) {
	proceed := make(chan struct{})
	s := startServerWith(t, PeerClients, minBudget, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, 1<<20, PerByte(ClientRequestFactor)); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-proceed
	}))
	const size = 1 << 20
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	first := s.dial(t, request)
	s.awaitMetric(t, fmt.Sprintf(`connection_memory_bytes{reason="requests"} %v`, float64(ClientRequestFactor*size)))
	time.Sleep(memorybudget.StallTime)
	for range 10 {
		s.dial(t, request)
	}
	s.awaitMetric(t, `connection_memory_bytes{reason="bodies"} 0`)
	close(proceed)
	if got := answer(first); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("answered %q", got)
	}
}

// Guards against ordinary traffic that is refused: an entry process with 184 MB, 400 clients that keep their
// connections and send jobs of 8 KiB, and ten with jobs of 256 KiB, the largest that a configuration allows.
func TestOrdinaryTrafficIsNotRefused(t *testing.T) {
	s := startServer(t, PeerClients, Bytes(184))
	s.budget.SetLimits(Limits{HeadBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	const clients, requests, largeEvery = 410, 5, 41
	failures := make(chan string, clients*requests)
	var running sync.WaitGroup
	for i := range clients {
		size := 8 << 10
		if i%largeEvery == 0 {
			size = 256 << 10
		}
		running.Go(func() {
			client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for range requests {
				response, err := client.Post("http://"+s.address, "text/plain", bytes.NewReader(make([]byte, size)))
				if err != nil {
					failures <- err.Error()
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode != http.StatusOK {
					failures <- response.Status
				}
			}
		})
	}
	running.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
	if strings.Contains(s.metrics.Text(), "connection_memory_refusals_total") {
		t.Errorf("metrics: %s", s.metrics.Text())
	}
}

// BenchmarkRequest measures a request of 4 KiB on a connection that is kept, with the budget.
func BenchmarkRequest(b *testing.B) { benchmarkRequest(b, true) }

// BenchmarkRequestWithoutBudget measures the same with a server that has none.
func BenchmarkRequestWithoutBudget(b *testing.B) { benchmarkRequest(b, false) }

func benchmarkRequest(b *testing.B, withBudget bool) {
	division, err := memorybudget.Divide(Bytes(184))
	if err != nil {
		b.Fatal(err)
	}
	budget := New(division, eventlog.Nop(), metrics.New())
	go budget.Run(b.Context())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = ReadBody(w, r, 1<<20, PerByte(ClientRequestFactor))
	})
	server := &http.Server{Handler: handler}
	listener := inner
	if withBudget {
		server.Handler = budget.Handler(PeerClients, handler)
		Attach(server)
		listener = budget.Limit(PeerClients, inner)
	}
	go server.Serve(listener)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	body := make([]byte, 4<<10)
	for b.Loop() {
		response, err := client.Post("http://"+inner.Addr().String(), "text/plain", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		response.Body.Close()
	}
}
