package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/routing"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// Guards against a request that is sent to a backend server which has left: the process was paused, or its
// machine suspended, between the grant of the server and the request. The request counts as not sent.
func TestRequestIsNotSentOnAnOldGrant(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	choice := routing.Choice{Incarnation: 1, Address: strings.TrimPrefix(server.URL, "http://"), Connections: 4}
	up := newUpstream(choice.Incarnation, choice.Address, choice.Connections)
	defer up.close()
	for name, c := range map[string]struct {
		at   time.Time
		sent bool
	}{
		"fresh":     {time.Now(), true},
		"paused":    {time.Now().Add(-5 * time.Second), false},
		"suspended": {testclock.StepWall(time.Now(), -5*time.Second), false},
		"reused":    {time.Now(), true},
	} {
		received.Store(0)
		trace := connTrace{mayNotSend: grant{choice: choice, upstream: up, at: c.at}.isExpired}
		request, err := http.NewRequestWithContext(trace.trace(t.Context()), http.MethodPost, server.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := up.transport.RoundTrip(request)
		if err == nil {
			if err := response.Body.Close(); err != nil {
				t.Error(err)
			}
		}
		if sent := received.Load() == 1; sent != c.sent || (err == nil) != c.sent {
			t.Errorf("%s: received %d times, error %v", name, received.Load(), err)
		}
		if err != nil && trace.sealAndClose() {
			t.Errorf("%s: the request counts as sent", name)
		}
	}
}
