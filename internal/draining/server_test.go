package draining

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// stopLimit is the longest wait for a stop that should end by itself.
const stopLimit = 10 * time.Second

// startServer serves handler and sends to accepted for each new connection.
func startServer(t *testing.T, accepted chan<- struct{}, handler http.HandlerFunc) *Server {
	t.Helper()
	socket, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startServerOn(t, socket, accepted, handler)
}

func startServerOn(t *testing.T, socket Socket, accepted chan<- struct{}, handler http.HandlerFunc) *Server {
	t.Helper()
	s := NewServer(socket, Plain, &http.Server{Handler: handler, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted <- struct{}{}
		}
	}}, &Flag{})
	go func() {
		if err := s.Serve(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(s.Close)
	return s
}

// stopResult holds the results of Server.Stop.
type stopResult struct {
	aborted int
	err     error
}

func stopInBackground(ctx context.Context, s *Server) <-chan stopResult {
	stopped := make(chan stopResult, 1)
	go func() {
		aborted, err := s.Stop(ctx)
		stopped <- stopResult{aborted, err}
	}()
	return stopped
}

func respondNoContent(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// Checks that a request whose header is completed after the stop has begun is
// answered. http.Server.Shutdown closes its connection without an answer.
func TestStopAnswersARequestThatIsBeingRead(t *testing.T) {
	accepted := make(chan struct{}, 1)
	s := startServer(t, accepted, respondNoContent)
	conn := dial(t, s)
	write(t, conn, "GET / HTTP/1.1\r\n")
	<-accepted
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	stopped := stopInBackground(ctx, s)
	<-s.serveEnded
	write(t, conn, "Host: entry\r\n\r\n")
	expectFinalResponse(t, conn)
	if end := <-stopped; end.aborted != 0 || end.err != nil {
		t.Errorf("%d connections aborted, %v", end.aborted, end.err)
	}
}

// expectFinalResponse reads an answer and expects it to close the connection.
func expectFinalResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent || !response.Close {
		t.Errorf("status %d, close %v", response.StatusCode, response.Close)
	}
}

// blockedListener accepts no connection before release is closed, like a busy
// process.
type blockedListener struct {
	*net.TCPListener
	release chan struct{}
}

func (l blockedListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// Checks that a stop does not reset a connection that is in the accept queue and on
// which the client has already sent a request.
func TestStopAnswersPendingConnection(t *testing.T) {
	socket, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	blocked := blockedListener{socket, make(chan struct{})}
	if err := stopWithPendingConnections(t, blocked, blocked.release); err != nil {
		t.Error(err)
	}
}

// optionRefusingSocket is a socket whose option call fails with EPERM, as it does
// under a system call filter.
type optionRefusingSocket struct {
	blockedListener
	optionRefused *atomic.Bool
}

func (o optionRefusingSocket) SyscallConn() (syscall.RawConn, error) {
	if !o.optionRefused.Swap(true) {
		return nil, syscall.EPERM
	}
	return o.blockedListener.SyscallConn()
}

// Checks that queued connections are answered and the error is returned if the kernel
// refuses the socket option of refuseNew.
func TestStopAnswersPendingConnectionsWithoutSocketOption(t *testing.T) {
	socket, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	blocked := optionRefusingSocket{blockedListener{socket, make(chan struct{})}, &atomic.Bool{}}
	if err := stopWithPendingConnections(t, blocked, blocked.release); !errors.Is(err, syscall.EPERM) {
		t.Errorf("Stop returned error %v, want %v", err, syscall.EPERM)
	}
}

// stopWithPendingConnections stops a server on a socket that accepts no connection
// before release is closed. It expects the connections that are queued by then to be
// answered and returns the error of the stop.
func stopWithPendingConnections(t *testing.T, blocked Socket, release chan struct{}) error {
	t.Helper()
	s := startServerOn(t, blocked, make(chan struct{}, 4), respondNoContent)
	var waiting []net.Conn
	for range 4 {
		conn := dial(t, s)
		write(t, conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
		waiting = append(waiting, conn)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	stopped := stopInBackground(ctx, s)
	for !s.flag.Draining() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for _, conn := range waiting {
		expectFinalResponse(t, conn)
	}
	end := <-stopped
	if end.aborted != 0 {
		t.Errorf("%d connections aborted", end.aborted)
	}
	return end.err
}

// Checks that a stop closes connections without a request at once, and that it
// returns the number of connections whose request it aborted.
func TestStopClosesIdleConnectionsAndCountsAbortedOnes(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	s := startServer(t, make(chan struct{}, 2), func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			began <- struct{}{}
			<-release
		}
	})
	idle := dial(t, s)
	write(t, idle, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
	answers := bufio.NewReader(idle)
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	slow := dial(t, s)
	write(t, slow, "GET /slow HTTP/1.1\r\nHost: entry\r\n\r\n")
	<-began
	ctx, cancel := context.WithCancel(context.Background())
	stopped := stopInBackground(ctx, s)
	if _, err := answers.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	// The server may count the closed connection after the client has read EOF.
	for limit := time.Now().Add(stopLimit); s.openConns.Load() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d connections open, want 1", s.openConns.Load())
		}
	}
	cancel()
	if end := <-stopped; end.aborted != 1 || end.err != nil {
		t.Errorf("%d connections aborted, want 1, %v", end.aborted, end.err)
	}
	close(release)
}
