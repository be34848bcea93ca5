package draining

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stopsUnderLoad is enough stops for at least one reset if closing the socket
	// resets connections that are being opened.
	stopsUnderLoad = 60
	// connectingClients is the number of clients that open connections one after the
	// other until they are refused.
	connectingClients = 8
	// answersBeforeStop is the number of answers after which all clients are assumed to
	// be sending at their full rate.
	answersBeforeStop = 5 * connectingClients
)

// Checks that a stop resets no connection that a client opens while the socket is
// being closed.
func TestStopResetsNoConnectionThatIsBeingOpened(t *testing.T) {
	answers, resets := 0, 0
	for range stopsUnderLoad {
		answered, failed := stopUnderNewConnections(t)
		answers += answered
		resets += len(failed)
		for _, err := range failed {
			t.Log(err)
		}
	}
	if resets > 0 {
		t.Errorf("%d connections failed in %d stops, %d requests answered", resets, stopsUnderLoad, answers)
	}
}

// stopUnderNewConnections stops a server while clients open connections. It returns
// the number of answered requests and the errors of those that were neither answered
// nor refused.
func stopUnderNewConnections(t *testing.T) (answered int, failed []error) {
	t.Helper()
	socket, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(socket, Plain, &http.Server{Handler: http.HandlerFunc(respondNoContent)}, &Flag{})
	go func() {
		if err := s.Serve(); err != nil {
			t.Error(err)
		}
	}()
	var clients sync.WaitGroup
	var answers atomic.Int64
	errs := make(chan error, connectingClients)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: stopLimit}
	ready := make(chan struct{})
	for range connectingClients {
		clients.Go(func() {
			for {
				response, err := client.Get("http://" + s.Address())
				if err != nil {
					errs <- err
					return
				}
				response.Body.Close()
				if answers.Add(1) == answersBeforeStop {
					close(ready)
				}
			}
		})
	}
	<-ready
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if aborted, err := s.Stop(ctx); aborted != 0 || err != nil {
		t.Errorf("%d connections aborted, %v", aborted, err)
	}
	clients.Wait()
	close(errs)
	for err := range errs {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			failed = append(failed, err)
		}
	}
	return int(answers.Load()), failed
}

// deferAcceptSeconds is how long the kernel keeps a handshake open that waits for the
// first data.
const deferAcceptSeconds = 60

// Checks that refusing new connections does not end ongoing handshakes.
func TestRefuseNewKeepsOngoingHandshakes(t *testing.T) {
	socket, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// With this option a handshake is completed only by the first data.
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, deferAcceptSeconds)
	})
	if err := errors.Join(err, optionErr); err != nil {
		t.Fatal(err)
	}
	handshaking, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer handshaking.Close()
	a := &acceptor{Socket: socket}
	if err := a.refuseNew(); err != nil {
		t.Fatal(err)
	}
	if late, err := net.Dial("tcp", socket.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("new connection %v, error %v, want %v", late, err, syscall.ECONNREFUSED)
	}
	write(t, handshaking, "x")
	if !a.stopAcceptingAt(time.Now().Add(stopLimit)) {
		t.Fatal("the deadline of the socket cannot be set")
	}
	conn, err := a.Accept()
	if err != nil {
		t.Fatalf("the connection with the ongoing handshake was not accepted: %v", err)
	}
	defer conn.Close()
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}
