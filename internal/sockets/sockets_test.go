package sockets

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/openfiles"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

func newTestBudget(reserved, shared int) (*Budget, *metrics.Set) {
	division := openfiles.Division{Shared: shared}
	for use := range division.Reserved {
		division.Reserved[use] = reserved
	}
	set := metrics.New()
	return New(division, eventlog.Nop(), set), set
}

// Guards against a use that takes the sockets that are reserved for another one.
func TestUseKeepsItsReservedSockets(t *testing.T) {
	b, set := newTestBudget(2, 3)
	for range 5 {
		if _, ok := b.TryAcquire(openfiles.UseWorkers); !ok {
			t.Fatal("no permit for a worker")
		}
	}
	if _, ok := b.TryAcquire(openfiles.UseWorkers); ok {
		t.Error("a sixth permit for workers")
	}
	if _, ok := b.TryAcquire(openfiles.UseProcesses); !ok {
		t.Error("no reserved permit for processes")
	}
	if text := set.Text(); !strings.Contains(text, `sockets_open{reason="workers"} 5`) {
		t.Errorf("metrics: %s", text)
	}
}

// Guards against a wait that does not end with its context, is not counted, or asks nobody for an idle
// connection.
func TestWaitForASocket(t *testing.T) {
	b, set := newTestBudget(1, 0)
	permit, _ := b.TryAcquire(openfiles.UseCalls)
	reclaims := 0
	b.OnShortage(func() { reclaims++ })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := b.Acquire(ctx, openfiles.UseCalls); !errors.Is(err, ErrNone) {
		t.Errorf("error %v, want ErrNone", err)
	}
	time.AfterFunc(10*time.Millisecond, func() { b.Release(openfiles.UseCalls, permit) })
	if _, err := b.Acquire(t.Context(), openfiles.UseCalls); err != nil {
		t.Error(err)
	}
	if reclaims != 2 || !b.Short(openfiles.UseCalls) || b.Short(openfiles.UseWorkers) {
		t.Errorf("%d reclaims, short %v, %v", reclaims, b.Short(openfiles.UseCalls), b.Short(openfiles.UseWorkers))
	}
	for _, line := range []string{`socket_waits_total{reason="calls"} 2`, `socket_refusals_total{reason="calls"} 1`} {
		if !strings.Contains(set.Text(), line) {
			t.Errorf("%s is missing in %s", line, set.Text())
		}
	}
}

// Guards against a permit that is lost or returned twice when a connection is closed.
func TestClosedConnectionReturnsItsSocketOnce(t *testing.T) {
	b, _ := newTestBudget(1, 0)
	dial := b.Dial(openfiles.UseCalls, time.Second, func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		return client, server.Close()
	})
	for range 3 {
		opened, err := dial(t.Context(), "tcp", "")
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(opened.Close(), opened.Close()); err != nil {
			t.Error(err)
		}
	}
	failing := b.Dial(openfiles.UseCalls, time.Second, func(context.Context, string, string) (net.Conn, error) { return nil, io.EOF })
	if _, err := failing(t.Context(), "tcp", ""); !errors.Is(err, io.EOF) {
		t.Errorf("error %v", err)
	}
	if len(b.reserved[openfiles.UseCalls]) != 1 {
		t.Errorf("%d permits", len(b.reserved[openfiles.UseCalls]))
	}
}

// Guards against a listener that accepts more connections than it may, or that never accepts again.
func TestListenerLimitsConnections(t *testing.T) {
	b, set := newTestBudget(1, 0)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: b.CloseWhenShort(openfiles.UseCallers, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))}
	go server.Serve(b.Limit(openfiles.UseCallers, inner))
	defer server.Close()
	first, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(first, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := first.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	second, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if n, err := second.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("a connection above the limit is served")
	}
	if !strings.Contains(set.Text(), `socket_refusals_total{reason="callers"} 1`) {
		t.Errorf("metrics: %s", set.Text())
	}
	if err := first.Close(); err != nil {
		t.Error(err)
	}
	response, err := http.Get("http://" + inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if !response.Close {
		t.Error("the connection stays open during a shortage")
	}
}

// emptyListener has no file descriptor for any connection.
type emptyListener struct {
	net.Listener
	accepts atomic.Int64
}

func (l *emptyListener) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// Guards against a server that ends, or uses the processor in a loop, while it cannot accept.
func TestServerWaitsWithoutDescriptors(t *testing.T) {
	b, _ := newTestBudget(1, 0)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &emptyListener{Listener: inner}
	server := &http.Server{}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(b.Limit(openfiles.UseCallers, listener)) }()
	select {
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	// The delays between two attempts double from 5 ms to 1 s.
	if got := listener.accepts.Load(); got > 10 {
		t.Errorf("%d attempts to accept in 300 ms", got)
	}
	server.Close()
}
