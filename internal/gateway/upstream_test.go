package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/membership"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

// addTCPServer announces a backend server that calls serve for each connection.
func (c *testCell) addTCPServer(serve func(conn net.Conn)) {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	a := membership.Announcement{
		Backend: "raw", Incarnation: 1, Sequence: 1, Service: "turnos", Address: listener.Addr().String(),
		Region: "quito-norte", FailureDomain: "quito-norte-1", Slots: 8, Connections: 60,
	}
	for _, e := range c.entries {
		var token membership.Token
		for range 2 {
			reply := make(chan announceReply, 1)
			e.send(receiveAnnouncement{announcement: a, token: token, reply: reply})
			token = (<-reply).Token
		}
	}
	c.awaitBackends(1)
}

// answerOnce reads one request and answers it with its request id, extra headers and
// a body.
func answerOnce(conn net.Conn, reader *bufio.Reader, extra, body string) error {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	if _, err := reader.Discard(int(max(req.ContentLength, 0))); err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nGodwit-Request-Id: %s\r\n%s\r\n%s",
		req.Header.Get(backendapi.HeaderRequestID), extra, body)
	return err
}

// Checks that net/http does not send a non-idempotent request again by itself. It
// would do so on a reused connection that is closed without an answer, for methods
// that are usually idempotent and for any request without a body that has an
// Idempotency-Key.
func TestNoSilentRetryOnReusedConnection(t *testing.T) {
	cases := []struct {
		name, method, body string
		headers            []string
		resets             bool // the connection is reset, not closed
	}{
		{"keyed without body", "POST", "", []string{backendapi.HeaderIdempotencyKey, "k"}, false},
		{"keyed with body", "POST", "washer", []string{backendapi.HeaderIdempotencyKey, "k"}, false},
		{"without key", "DELETE", "", nil, false},
		{"options", "OPTIONS", "", nil, false},
		{"keyed, reset", "POST", "washer", []string{backendapi.HeaderIdempotencyKey, "k"}, true},
		{"keyed without body, reset", "POST", "", []string{backendapi.HeaderIdempotencyKey, "k"}, true},
		{"other key header", "POST", "", []string{"X-Idempotency-Key", "k"}, false},
		{"other key header, reset", "PUT", "washer", []string{"X-Idempotency-Key", "k"}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(t, 1)
			var reusedRequests atomic.Int32 // requests after the first one on a connection
			var connections atomic.Int32    // opened connections
			c.addTCPServer(func(conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				connections.Add(1)
				if answerOnce(conn, reader, "Content-Length: 2\r\n", "ok") != nil {
					return
				}
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				reusedRequests.Add(1)
				_, _ = reader.Discard(int(max(req.ContentLength, 0)))
				if test.resets {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			e := c.entries[0]
			if got := e.call("GET", "/turnos/warm", ""); got.status != 200 {
				t.Fatalf("first request answered %+v", got)
			}
			got := e.call(test.method, "/turnos/a", test.body, test.headers...)
			if got.outcome != "unknown" || got.reason != "broken-answer" {
				t.Errorf("answered %+v", got)
			}
			if reusedRequests.Load() != 1 || connections.Load() != 1 {
				t.Errorf("sent %d times on the reused connection and opened %d connections, want 1 and 1", reusedRequests.Load(), connections.Load())
			}
		})
	}
}

// Checks that an idempotent request is not answered with not-run if net/http first
// sent it on a reused connection that failed and a backend server refused only the
// second send. TestOutcomesUnderFailures has found this fault.
func TestRefusalAfterTransportRetryHasUnknownOutcome(t *testing.T) {
	c := newCell(t, 1)
	var connections atomic.Int32
	c.addTCPServer(func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if connections.Add(1) > 1 {
			req, err := http.ReadRequest(reader)
			if err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nGodwit-Request-Id: %s\r\nGodwit-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
					req.Header.Get(backendapi.HeaderRequestID))
			}
			return
		}
		if answerOnce(conn, reader, "Content-Length: 2\r\n", "ok") == nil {
			_, _ = http.ReadRequest(reader) // reads the request and does not answer it
		}
	})
	e := c.entries[0]
	if got := e.call("GET", "/turnos/warm", ""); got.status != 200 {
		t.Fatalf("first request answered %+v", got)
	}
	if got := e.call("GET", "/turnos/a", ""); got.outcome != "unknown" {
		t.Errorf("answered %+v, want unknown", got)
	}
}

// Checks that a caller cannot take a truncated answer for a complete one, and that
// answers whose end cannot be recognised are refused.
func TestTruncatedAnswers(t *testing.T) {
	cases := []struct {
		name, extra, body string
		whole             bool // the answer is refused before the caller receives any of it
	}{
		{"short body", "Content-Length: 100\r\n", "part", true},
		{"long body", "Content-Length: 1000000\r\n", strings.Repeat("x", 200_000), false},
		{"chunked", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", false},
		{"ends with the connection", "Connection: close\r\n", "all of it", true},
		{"two ids", "Content-Length: 0\r\nGodwit-Request-Id: other\r\n", "", true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.addTCPServer(func(conn net.Conn) {
				defer conn.Close()
				_ = answerOnce(conn, bufio.NewReader(conn), test.extra, test.body)
			})
			got := c.entries[0].call("POST", "/turnos/a", "x", backendapi.HeaderIdempotencyKey, "k")
			switch {
			case test.whole && (got.outcome != "unknown" || got.status != 502):
				t.Errorf("answered %+v, want 502 unknown", got)
			case !test.whole && got.err == nil:
				t.Errorf("caller got %d bytes as a complete answer", len(got.body))
			}
			c.await("record", func() bool {
				repeat := c.entries[0].call("POST", "/turnos/a", "x", backendapi.HeaderIdempotencyKey, "k", backendapi.HeaderDeadline, "50")
				return repeat.outcome == "unknown" && repeat.reason == "key-unknown"
			})
		})
	}
}

// Checks that a caller that does not read its answer occupies a slot of a backend
// server only for a limited time.
func TestCallerThatDoesNotRead(t *testing.T) {
	c := newCell(t, 1)
	c.addTCPServer(func(conn net.Conn) {
		defer conn.Close()
		_ = answerOnce(conn, bufio.NewReader(conn), "Content-Length: 50000000\r\n", strings.Repeat("x", 50_000_000))
	})
	e := c.entries[0]
	conn, err := net.Dial("tcp", e.callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /turnos/a HTTP/1.1\r\nHost: x\r\nGodwit-Team: reservas\r\nGodwit-Deadline-Ms: 200\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c.await("request in flight", func() bool { return e.inFlight() == 1 })
	c.await("request ended", func() bool { return e.inFlight() == 0 })
}

// Checks that a request is refused at once if no backend server is known, instead of
// waiting until its deadline.
func TestNoBackendIsRefusedAtOnce(t *testing.T) {
	c := newCell(t, 1)
	c.await("configuration", func() bool { return c.entries[0].currentConfig.Load().generation == 1 })
	got := c.entries[0].call("POST", "/turnos/a", "x", backendapi.HeaderDeadline, "30000")
	if got.reason != "no-backend" || got.outcome != "not-run" {
		t.Errorf("answered %+v", got)
	}
}

// Checks that a write either is counted before the seal or fails. The gateway relies
// on this to prove that a request was not sent.
func TestSealSeparatesWrites(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		buffer := make([]byte, 16)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	conn := &countedConn{Conn: near}
	if _, err := conn.Write([]byte("a")); err != nil {
		t.Fatal(err)
	}
	if got := conn.seal(); got != 1 {
		t.Errorf("seal counted %d writes, want 1", got)
	}
	if _, err := conn.Write([]byte("b")); err == nil {
		t.Error("a write after the seal succeeded")
	}
	_ = far.Close()
}

// Checks that time in which the VM was suspended is counted. Otherwise announcements
// would look too young, because the monotonic clock may stop during a suspension.
func TestClockCountsSuspension(t *testing.T) {
	c := newElapsedClock()
	before := c.now()
	c.addSuspension(time.Second, 10*time.Minute)
	c.addSuspension(2*time.Second, 0) // the wall clock was set back
	if got := c.now().Sub(before); got < 9*time.Minute {
		t.Errorf("10 minutes of suspension counted as %v", got)
	}
	c.addSuspension(3*time.Second, 10*time.Minute+1500*time.Millisecond)
	if got := c.now().Sub(before); got > 11*time.Minute {
		t.Errorf("one suspension counted twice: %v", got)
	}
	if age := c.now().Sub(c.fromTime(time.Now())); age > time.Minute {
		t.Errorf("a time of now looks %v old after a suspension", age)
	}
	if age := c.now().Sub(c.fromTime(time.Now().Add(-time.Hour))); age < time.Hour-time.Minute {
		t.Errorf("a time of an hour ago looks %v old", age)
	}
}
