package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/internal/backendapi"
	"github.com/godwitlink/godwitlink/internal/backendserver"
)

// Checks that a repeat does not run while the first request is running, and that it
// gets the same answer.
func TestRepeatWaitsForTheFirst(t *testing.T) {
	c := newCell(t, 2)
	server := c.addServer(backendserver.Faults{Delay: 300 * time.Millisecond})
	c.awaitBackends(1)
	answers := make([]answer, 8)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			answers[i] = c.entries[i%2].call("POST", "/turnos/book", "w", backendapi.HeaderIdempotencyKey, "k")
		})
	}
	group.Wait()
	for i, got := range answers {
		if got.outcome != "done" || got.body != answers[0].body {
			t.Errorf("answer %d: %+v", i, got)
		}
	}
	if runs := server.Counts().Runs["k"]; runs != 1 {
		t.Errorf("ran %d times", runs)
	}
	// A repeat whose deadline ends first must not be told that nothing ran.
	go c.entries[0].call("POST", "/turnos/book", "w", backendapi.HeaderIdempotencyKey, "k2")
	c.await("second run", func() bool { return server.Counts().Runs["k2"] == 1 })
	got := c.entries[1].call("POST", "/turnos/book", "w", backendapi.HeaderIdempotencyKey, "k2", backendapi.HeaderDeadline, "50")
	if got.outcome != "unknown" || got.reason != "key-running" {
		t.Errorf("repeat with a short deadline answered %+v", got)
	}
}

// Checks that a non-idempotent request continues when its caller disconnects, and
// that its answer is stored and replayed.
func TestAnswerIsStoredAfterCallerDisconnects(t *testing.T) {
	c := newCell(t, 1)
	server := c.addServer(backendserver.Faults{Delay: 200 * time.Millisecond})
	c.awaitBackends(1)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", c.entries[0].callers.URL+"/turnos/book", strings.NewReader("w"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(backendapi.HeaderTeam, "reservas")
	req.Header.Set(backendapi.HeaderIdempotencyKey, "k")
	go func() {
		c.await("run", func() bool { return server.Counts().Runs["k"] == 1 })
		cancel()
	}()
	if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("the caller got an answer before it disconnected")
	}
	got := c.entries[0].call("POST", "/turnos/book", "w", backendapi.HeaderIdempotencyKey, "k")
	if got.outcome != "done" || !strings.HasSuffix(got.body, "run 1\nw") {
		t.Errorf("repeat answered %+v", got)
	}
}

// Checks a leave of a backend server under load: no request starts on it later than
// announce_lease after the leave was announced, and no request fails because of it.
func TestLeaveUnderLoad(t *testing.T) {
	c := newCell(t, 3)
	c.addServer(backendserver.Faults{Delay: 2 * time.Millisecond}, c.entries[0])
	leaving := c.addServer(backendserver.Faults{Delay: 2 * time.Millisecond}, c.entries[1])
	c.awaitBackends(2)
	var leftAt time.Time
	results := c.sendRequests(900, 8, "5000", func() {
		leftAt = time.Now()
		leaving.leave()
		time.Sleep(50 * time.Millisecond)
	})
	if done := c.checkOutcomes(results); done != len(results) {
		t.Errorf("%d of %d done during a leave", done, len(results))
	}
	counts := leaving.Counts()
	if late := counts.LastRun.Sub(leftAt); late > c.file.Services[0].AnnounceLease {
		t.Errorf("a run started %v after the leave", late)
	}
	if counts.Total == 0 {
		t.Error("the leaving server ran no request before the leave")
	}
	c.awaitBackends(1)
}

// Checks that an entry process that was paused for longer than the lease does not
// route by announcements from before the pause.
func TestPauseLongerThanTheLease(t *testing.T) {
	c := newCell(t, 1)
	e := c.entries[0]
	server := c.addServer(noFaults)
	c.awaitBackends(1)
	_ = server.Kill()
	server.leave()
	// Blocks the router task as in a paused process; messages wait in its channel.
	release := make(chan struct{})
	e.send(runInRouter{func(*router) { <-release }})
	answers := make(chan answer, 1)
	go func() { answers <- e.call("POST", "/turnos/a", "x") }()
	time.Sleep(c.file.Services[0].AnnounceLease + 100*time.Millisecond)
	close(release)
	if got := <-answers; got.outcome != "not-run" || got.reason != "no-backend" {
		t.Errorf("after the pause answered %+v", got)
	}
}

// Checks a planned stop: running requests are completed, new ones are refused as
// not-run and their connection is closed, and requests that are still in flight at
// the end are counted. A refused request with a key has the outcome unknown, because
// an earlier one with the key may have run.
func TestDrain(t *testing.T) {
	c := newCell(t, 2)
	c.addServer(backendserver.Faults{Delay: 400 * time.Millisecond})
	c.awaitBackends(1)
	for i, wait := range []time.Duration{5 * time.Second, 50 * time.Millisecond} {
		e := c.entries[i]
		answers := make(chan answer, 1)
		key := fmt.Sprintf("k%d", i)
		go func() { answers <- e.call("POST", "/turnos/a", "x", backendapi.HeaderIdempotencyKey, key) }()
		c.await("request in flight", func() bool { return e.inFlight() == 1 })
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		remaining := make(chan int, 1)
		go func() { remaining <- e.Drain(ctx) }()
		c.await("draining", func() bool { return e.currentConfig.Load().draining })
		refused := e.call("POST", "/turnos/b", "x")
		keyed := e.call("POST", "/turnos/b", "x", backendapi.HeaderIdempotencyKey, "other")
		if keyed.outcome != "unknown" || keyed.reason != "draining" {
			t.Errorf("a key during the drain answered %+v", keyed)
		}
		if refused.outcome != "not-run" || refused.reason != "draining" || !refused.closes {
			t.Errorf("during the drain answered %+v", refused)
		}
		if got := <-remaining; got != i {
			t.Errorf("drain within %v returned %d, want %d", wait, got, i)
		}
		cancel()
		if got := <-answers; got.outcome != "done" || !got.closes {
			t.Errorf("request in flight answered %+v", got)
		}
	}
}

// Checks that non-idempotent requests are refused if the control group has not
// confirmed the configuration for too long, and that older generations are ignored.
func TestStaleConfiguration(t *testing.T) {
	c := newCell(t, 1)
	e := c.entries[0]
	c.addServer(noFaults)
	c.awaitBackends(1)
	e.SetConfig(c.file, time.Now().Add(-2*c.file.Cell.StaleAfter))
	c.await("stale", func() bool { return e.call("POST", "/turnos/a", "x").reason == "stale-config" })
	if got := e.call("GET", "/turnos/a", ""); got.outcome != "done" {
		t.Errorf("idempotent request answered %+v", got)
	}
	older := c.file
	older.Generation = 0
	e.SetConfig(older, time.Now())
	e.SetConfig(c.file, time.Now())
	c.await("confirmed again", func() bool { return e.call("POST", "/turnos/a", "x").outcome == "done" })
	if !strings.Contains(e.metrics.Text(), "gateway_old_generations_total 1") {
		t.Error("the older generation is not counted")
	}
}

// Checks that a repeat of a request that ran is not answered with not-run if it is
// refused before its record was read.
func TestRefusedRepeatHasUnknownOutcome(t *testing.T) {
	c := newCell(t, 1)
	server := c.addServer(noFaults)
	c.awaitBackends(1)
	e := c.entries[0]
	if got := e.call("POST", "/turnos/a", "washer", backendapi.HeaderIdempotencyKey, "k"); got.outcome != "done" {
		t.Fatalf("first request answered %+v", got)
	}
	const head = "POST /turnos/a HTTP/1.1\r\nHost: x\r\nGodwit-Team: reservas\r\nIdempotency-Key: k\r\nConnection: close\r\n"
	raw := map[string]string{
		"body that stops": head + "Godwit-Deadline-Ms: 100\r\nContent-Length: 6\r\n\r\nwas",
		"body that ends":  head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"framed two ways": head + "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n0\r\n\r\n",
		"deadline passed": head + "Godwit-Deadline-Ms: 0\r\nContent-Length: 6\r\n\r\nwasher",
		"deadline a word": head + "Godwit-Deadline-Ms: soon\r\nContent-Length: 6\r\n\r\nwasher",
	}
	for name, request := range raw {
		if got := e.sendRaw(t, request); !strings.Contains(got, "Godwit-Outcome: unknown\r\n") {
			t.Errorf("%s: answered %.300q", name, got)
		}
	}
	next := c.file
	for _, change := range []struct {
		name, reason string
		edit         func(service *cellconfig.Service)
	}{
		{"smaller limit", "too-large", func(s *cellconfig.Service) { s.MaxRequestBytes = 3 }},
		{"other team", "bad-request", func(s *cellconfig.Service) { s.Teams = []cell.Team{"other"} }},
		{"other prefix", "no-service", func(s *cellconfig.Service) { s.PathPrefix = "/moved/" }},
	} {
		next.Generation++
		next.Services = slices.Clone(c.file.Services)
		change.edit(&next.Services[0])
		e.SetConfig(next, time.Now())
		c.await("configuration", func() bool { return e.currentConfig.Load().generation == next.Generation })
		if got := e.call("POST", "/turnos/a", "washer", backendapi.HeaderIdempotencyKey, "k"); got.outcome != "unknown" || got.reason != change.reason {
			t.Errorf("%s: answered %+v", change.name, got)
		}
	}
	if runs := server.Counts().Runs["k"]; runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}
