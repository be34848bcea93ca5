// Package draining moves clients away from a server that is about to stop
// without cutting a request off.
package draining

import (
	"net/http"
	"sync/atomic"
)

// Flag says whether a process drains. The zero value does not.
type Flag struct{ set atomic.Bool }

// Begin starts the drain.
func (f *Flag) Begin() { f.set.Store(true) }

// Draining reports whether the drain has begun.
func (f *Flag) Draining() bool { return f.set.Load() }

// Wrap ends each connection with its next answer once the drain has begun.
//
// http.Server.SetKeepAlivesEnabled(false) is no substitute: it closes every
// idle connection at once, also one on which a request is on its way.
func (f *Flag) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
