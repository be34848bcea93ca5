package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// sendRaw sends a request on a new connection and returns all bytes received until the
// connection is closed or one second has passed.
func (e *testEntry) sendRaw(t *testing.T, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", e.callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		return err.Error()
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	data, _ := io.ReadAll(conn)
	return string(data)
}

// Checks that malformed, ambiguous and oversize requests are refused with a reason
// code and not routed.
func TestMalformedRequestsAreRefused(t *testing.T) {
	const head = "Host: x\r\nGodwit-Team: reservas\r\nConnection: close\r\n"
	cases := map[string]struct{ request, status, reason string }{
		"both lengths":         {"POST /turnos/a HTTP/1.1\r\n" + head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "bad-request"},
		"two content lengths":  {"POST /turnos/a HTTP/1.1\r\n" + head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", "400", "bad-request"},
		"malformed chunk":      {"POST /turnos/a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "bad-request"},
		"unknown method":       {"BREW /turnos/a HTTP/1.1\r\n" + head + "\r\n", "405", "bad-request"},
		"connect":              {"CONNECT /turnos/a HTTP/1.1\r\n" + head + "\r\n", "405", "bad-request"},
		"malformed head":       {"GET /turnos/a HTTP/1.1\r\nHost: x\r\n bad\r\n\r\n", "400", "bad-request"},
		"oversize head":        {"GET /turnos/a HTTP/1.1\r\n" + head + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431", "too-large"},
		"oversize stated body": {"POST /turnos/a HTTP/1.1\r\n" + head + "Content-Length: 2000000\r\n\r\n", "413", "too-large"},
		"oversize chunk":       {"POST /turnos/a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", 1<<20+1, strings.Repeat("x", 1<<20+1)), "413", "too-large"},
		"dot segment":          {"GET /turnos/../a HTTP/1.1\r\n" + head + "\r\n", "400", "bad-request"},
		"no service":           {"GET /other/a HTTP/1.1\r\n" + head + "\r\n", "404", "no-service"},
		"unknown team":         {"GET /turnos/a HTTP/1.1\r\nHost: x\r\nGodwit-Team: x\r\nConnection: close\r\n\r\n", "400", "bad-request"},
		"two keys":             {"POST /turnos/a HTTP/1.1\r\n" + head + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", "400", "bad-request"},
		"malformed deadline":   {"GET /turnos/a HTTP/1.1\r\n" + head + "Godwit-Deadline-Ms: soon\r\n\r\n", "400", "bad-request"},
		"passed deadline":      {"GET /turnos/a HTTP/1.1\r\n" + head + "Godwit-Deadline-Ms: 0\r\n\r\n", "504", "deadline"},
		"body that stops":      {"POST /turnos/a HTTP/1.1\r\n" + head + "Godwit-Deadline-Ms: 200\r\nContent-Length: 9\r\n\r\nabc", "408", "deadline"},
	}
	c := newCell(t, 1)
	e := c.entries[0]
	c.await("configuration", func() bool { return e.currentConfig.Load().generation == 1 })
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got := e.sendRaw(t, test.request)
			if !strings.HasPrefix(got, "HTTP/1.1 "+test.status) || !strings.Contains(got, "Godwit-Reason: "+test.reason+"\r\n") ||
				!strings.Contains(got, "Godwit-Outcome: not-run\r\n") {
				t.Errorf("answered %.300q, want %s %s", got, test.status, test.reason)
			}
			counted := fmt.Sprintf("gateway_refusals_total{reason=%q}", test.reason)
			if !strings.Contains(e.metrics.Text(), counted) {
				t.Errorf("%s is not counted", counted)
			}
		})
	}
}

// Checks that the framing of each request on a connection is determined from its own
// head: state from an earlier head must neither refuse a valid request nor accept an
// ambiguous one.
func TestFramingIsCheckedPerRequest(t *testing.T) {
	c := newCell(t, 1)
	c.addServer(noFaults)
	c.awaitBackends(1)
	const chunked = "POST /turnos/a HTTP/1.1\r\nHost: x\r\nGodwit-Team: reservas\r\nTransfer-Encoding: chunked\r\n"
	conn, err := net.Dial("tcp", c.entries[0].callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for i, test := range []struct{ request, status string }{
		{chunked + "\r\n1\r\na\r\n0\r\n\r\n", "HTTP/1.1 200"},
		{chunked + "\r\n1\r\nb\r\n0\r\n\r\n", "HTTP/1.1 200"},
		{chunked + "Content-Length: 1\r\n\r\n1\r\nb\r\n0\r\n\r\n", "HTTP/1.1 400"},
	} {
		if _, err := io.WriteString(conn, test.request); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 4096)
		n, err := conn.Read(buffer)
		if err != nil || !strings.HasPrefix(string(buffer[:n]), test.status) {
			t.Errorf("request %d: %q %v, want %s", i, buffer[:n], err, test.status)
		}
	}
}

// Checks that connections above the limit are refused and that closed connections no
// longer count.
func TestConnectionsAreLimited(t *testing.T) {
	c := newCell(t, 1)
	e := c.entries[0]
	var open []net.Conn
	for range testMaxConnections {
		conn, err := net.Dial("tcp", e.callers.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, conn)
	}
	got := e.sendRaw(t, "")
	if !strings.HasPrefix(got, "HTTP/1.1 503") || !strings.Contains(got, "Godwit-Reason: overloaded") {
		t.Errorf("connection above the limit got %q", got)
	}
	for _, conn := range open {
		_ = conn.Close()
	}
	c.await("connections free again", func() bool {
		return strings.HasPrefix(e.sendRaw(t, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), "HTTP/1.1 404")
	})
}
