package entry

import (
	"context"
	"net/http"
)

// health is the task that owns the readiness of this process. The process is
// ready from the time it knows the configuration in force until a planned stop
// begins.
type health struct {
	configured chan bool
	draining   chan struct{}
	queries    chan chan bool
}

func newHealth() *health {
	return &health{
		configured: make(chan bool, 1),
		draining:   make(chan struct{}),
		queries:    make(chan chan bool),
	}
}

func (h *health) run(ctx context.Context) {
	ready, stopping := false, false
	for {
		select {
		case ready = <-h.configured:
		case <-h.draining:
			stopping = true
		case reply := <-h.queries:
			reply <- ready && !stopping
		case <-ctx.Done():
			return
		}
	}
}

// drain turns readiness off permanently.
func (h *health) drain(ctx context.Context) {
	select {
	case h.draining <- struct{}{}:
	case <-ctx.Done():
	}
}

func (h *health) ready(ctx context.Context) bool {
	reply := make(chan bool, 1)
	select {
	case h.queries <- reply:
		return <-reply
	case <-ctx.Done():
		return false
	}
}

func (h *health) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, request *http.Request) {
		if !h.ready(request.Context()) {
			http.Error(w, reasonNotReady, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}
