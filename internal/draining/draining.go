// Package draining stops an HTTP server without aborting requests.
package draining

import (
	"net/http"
	"sync/atomic"
)

// Flag records whether a process is draining. The zero value is not draining.
type Flag struct{ set atomic.Bool }

// Begin starts the drain.
func (f *Flag) Begin() { f.set.Store(true) }

// Draining reports whether the drain has begun.
func (f *Flag) Draining() bool { return f.set.Load() }

// Wrap returns a handler that, once the drain has begun, closes each connection
// after its next answer.
//
// http.Server.SetKeepAlivesEnabled(false) is no substitute, because it closes idle
// connections at once, including those on which a request is in transit.
func (f *Flag) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
