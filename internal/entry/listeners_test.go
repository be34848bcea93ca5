package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/draining"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/gateway"
)

const (
	// stopLimit is the longest wait for a stop that should end by itself.
	stopLimit = 10 * time.Second
	// pendingCallers is the number of connections in the accept queue.
	pendingCallers = 16
)

// Checks that a planned stop answers the callers in the accept queue. It fails if the
// listener with the connection limit hides the socket from the stop.
func TestStopAnswersPendingCallers(t *testing.T) {
	l := &listeners{logger: eventlog.Nop()}
	socket, err := draining.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := gateway.New(gateway.Options{})
	limit := func(l net.Listener) net.Listener { return g.CallerListener(l, pendingCallers) }
	l.add(socket, limit, g.CallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := io.WriteString(w, "answer"); err != nil {
			t.Error(err)
		}
	})))
	defer l.close()
	var waiting []net.Conn
	for range pendingCallers {
		conn, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		waiting = append(waiting, conn)
	}
	l.serve()
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	l.shutdown(ctx)
	for _, conn := range waiting {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("status %d", response.StatusCode)
		}
	}
}

// Checks that a drain closes a keep-alive connection only with an answer. If it were
// closed while the next request is in transit, the caller would read EOF and could
// not know whether the request ran.
func TestDrainAnswersRequestsOnKeepAliveConnections(t *testing.T) {
	l := &listeners{logger: eventlog.Nop()}
	socket, err := draining.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.add(socket, draining.Plain, newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := io.WriteString(w, "answer"); err != nil {
			t.Error(err)
		}
	})))
	l.serve()
	defer l.close()
	conn, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	if keptAlive := sendRequest(t, conn, answers); !keptAlive {
		t.Fatal("the connection is not kept alive before the drain")
	}
	l.drain()
	if keptAlive := sendRequest(t, conn, answers); keptAlive {
		t.Error("the connection is kept alive although the server drains")
	}
}

// sendRequest sends a request and reports whether the connection is kept.
func sendRequest(t *testing.T, conn net.Conn, answers *bufio.Reader) bool {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "answer" {
		t.Fatalf("answer %q, error %v", body, err)
	}
	return !response.Close
}
