package gateway

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/membership"
	"github.com/godwitlink/godwitlink/core/routing"
)

// newTestRouter returns a router with the named backend servers, which have one slot
// each. Its task does not run; tests apply messages directly.
func newTestRouter(t *testing.T, now time.Time, names ...cell.BackendName) *router {
	r := newRouter(t.Context(), New(Options{Entry: "entry-0", Incarnation: 1, Region: "r", FailureDomain: "d"}))
	setConfig{file: testCellFile(), confirmedAt: now}.apply(r, now)
	for _, name := range names {
		a := membership.Announcement{
			Backend: name, Incarnation: 1, Sequence: 1, Service: "turnos", Address: "127.0.0.1:1",
			Region: "r", FailureDomain: "d", Slots: 1, Connections: 9,
		}
		token := r.registry.Receive(now, a, "").Token
		receiveAnnouncement{announcement: a, token: token, reply: make(chan announceReply, 1)}.apply(r, now)
	}
	return r
}

func (r *router) testRequestServer(now time.Time, id uint64, retry bool, exclude ...cell.BackendName) <-chan grant {
	reply := make(chan grant, 1)
	request := admission.Request{ID: id, Team: "reservas", Deadline: now.Add(time.Minute), Retry: retry}
	requestServer{service: "turnos", request: request, exclude: exclude, reply: reply}.apply(r, now)
	return reply
}

// Checks that a retry that waits for a busy server does not block the requests queued
// behind it, which may use a server that the retry excludes.
func TestRetryDoesNotBlockOtherRequests(t *testing.T) {
	now := time.Now()
	r := newTestRouter(t, now, "a", "b")
	busy := r.testRequestServer(now, 1, false, "a")
	if got := <-busy; got.choice.Backend != "b" {
		t.Fatalf("granted %+v", got)
	}
	retry := r.testRequestServer(now, 2, true, "a")
	if len(retry) != 0 {
		t.Fatalf("retry answered %+v, want it to wait for b", <-retry)
	}
	select {
	case got := <-r.testRequestServer(now, 3, false):
		if got.choice.Backend != "a" {
			t.Errorf("granted %+v", got)
		}
	default:
		t.Error("a new request waits behind the retry although a is free")
	}
}

// Checks that a changed connection limit creates a new upstream. The limit changes
// when this entry process becomes the home of the server. A transport with the old
// limit would make requests wait for a connection.
func TestUpstreamFollowsTheConnectionLimit(t *testing.T) {
	r := newTestRouter(t, time.Now())
	c := routing.Choice{Backend: "a", Incarnation: 1, Address: "127.0.0.1:1", Connections: 6}
	first := r.upstreamOf(c)
	if r.upstreamOf(c) != first {
		t.Error("another upstream for the same choice")
	}
	c.Connections = 12
	if got := r.upstreamOf(c); got == first || got.transport.MaxConnsPerHost != 12 {
		t.Errorf("limit %d after the change to 12", got.transport.MaxConnsPerHost)
	}
}

// Checks that exactly one grant is sent for a canceled request, whether it was still
// queued or already granted.
func TestCancelRequest(t *testing.T) {
	now := time.Now()
	r := newTestRouter(t, now, "a")
	granted := r.testRequestServer(now, 1, false)
	waits := r.testRequestServer(now, 2, false)
	for _, id := range []uint64{1, 2, 2} {
		cancelRequest{service: "turnos", id: id}.apply(r, now)
	}
	if got := <-granted; got.reason != exchange.ReasonNone {
		t.Errorf("granted request got %+v", got)
	}
	if got := <-waits; got.reason != exchange.ReasonDeadline || r.queues["turnos"].Waiting() != 0 {
		t.Errorf("canceled request got %+v", got)
	}
}
