package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/backendapi"
	"github.com/godwitlink/godwitlink/internal/backendserver"
)

// Checks the whole path of a request: a backend server announces itself to one entry
// process, another entry process learns of it by a pull, and both route requests to it
// and return the right answers.
func TestRoutedRequestEndToEnd(t *testing.T) {
	c := newCell(t, 2)
	server := c.addServer(backendserver.Faults{}, c.entries[0])
	c.awaitBackends(1)
	for i, e := range c.entries {
		got := e.call("GET", "/turnos/week?n=1", "")
		if got.status != 200 || got.outcome != "done" || !strings.Contains(got.body, "GET /turnos/week?n=1") {
			t.Errorf("entry %d: GET answered %+v", i, got)
		}
		got = e.call("POST", "/turnos/book", "washer 7", backendapi.HeaderIdempotencyKey, "key-"+string(e.opts.Entry))
		if got.status != 200 || !strings.HasSuffix(got.body, "run 1\nwasher 7") {
			t.Errorf("entry %d: POST answered %+v", i, got)
		}
	}
	if counts := server.Counts(); counts.Total != 4 {
		t.Errorf("backend server ran %d requests, want 4", counts.Total)
	}
}

// Checks that a repeated request gets the stored answer and does not run again, also
// through another entry process.
func TestRepeatGetsStoredAnswer(t *testing.T) {
	c := newCell(t, 2)
	server := c.addServer(backendserver.Faults{})
	c.awaitBackends(1)
	first := c.entries[0].call("POST", "/turnos/book", "washer 7", backendapi.HeaderIdempotencyKey, "k1")
	second := c.entries[1].call("POST", "/turnos/book", "washer 7", backendapi.HeaderIdempotencyKey, "k1")
	other := c.entries[1].call("POST", "/turnos/book", "washer 8", backendapi.HeaderIdempotencyKey, "k1")
	if first.body != second.body || second.outcome != "done" {
		t.Errorf("repeat answered %+v, first %+v", second, first)
	}
	if other.status != 409 || other.reason != "key-reused" || other.outcome != "not-run" {
		t.Errorf("another request under the key answered %+v", other)
	}
	if runs := server.Counts().Runs["k1"]; runs != 1 {
		t.Errorf("ran %d times, want 1", runs)
	}
}

// Checks that a request is not dispatched before its begin record is committed, and
// that a repeat does not run if the entry process of the first request ended before
// it recorded an outcome.
func TestDispatchNeedsCommittedRecord(t *testing.T) {
	c := newCell(t, 2)
	server := c.addServer(backendserver.Faults{Delay: 300 * time.Millisecond})
	c.awaitBackends(1)
	c.control.setDown(true)
	got := c.entries[0].call("POST", "/turnos/book", "x", backendapi.HeaderIdempotencyKey, "k1")
	if got.outcome != "unknown" || got.reason != "control-unavailable" {
		t.Errorf("without the control group answered %+v", got)
	}
	if runs := server.Counts().Runs["k1"]; runs != 0 {
		t.Errorf("without its record k1 ran %d times", runs)
	}
	c.control.setDown(false)
	if again := c.entries[1].call("POST", "/turnos/book", "x", backendapi.HeaderIdempotencyKey, "k1"); again.outcome != "done" {
		t.Errorf("the repeat answered %+v", again)
	}
	go c.entries[0].call("POST", "/turnos/book", "x", backendapi.HeaderIdempotencyKey, "k2")
	c.await("first run", func() bool { return server.Counts().Runs["k2"] == 1 })
	c.removeMember(c.entries[0])
	got = c.entries[1].call("POST", "/turnos/book", "x", backendapi.HeaderIdempotencyKey, "k2")
	if got.outcome != "unknown" || got.reason != "key-unknown" {
		t.Errorf("repeat after the entry process died answered %+v", got)
	}
	if runs := server.Counts().Runs; runs["k1"] != 1 || runs["k2"] != 1 {
		t.Errorf("runs by key: %v", runs)
	}
}
