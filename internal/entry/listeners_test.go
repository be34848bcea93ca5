package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/godwitlink/godwitlink/internal/eventlog"
)

// Guards against a planned stop that closes a kept connection while its next
// request is on the way: the caller then sees EOF and cannot know whether the
// request ran.
func TestDrainAnswersRequestsOnKeptConnections(t *testing.T) {
	l := &listeners{logger: eventlog.Nop()}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.add(socket, newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
	if kept := get(t, conn, answers); !kept {
		t.Fatal("the connection is not kept before the drain")
	}
	l.drain()
	if kept := get(t, conn, answers); kept {
		t.Error("the connection is kept although the server drains")
	}
}

// get sends a request and reports whether the connection is kept.
func get(t *testing.T, conn net.Conn, answers *bufio.Reader) bool {
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
