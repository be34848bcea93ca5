// Package endpoint opens the listeners and HTTP clients of a process, in plain text or with TLS as
// its settings say. Certificates are reloaded when their files change (internal/tlskeys).
package endpoint

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/internal/draining"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/settings"
	"github.com/godwitlink/godwitlink/internal/tlskeys"
)

// Errors of this package.
var (
	// ErrKeys says that the key files of an endpoint cannot be used.
	ErrKeys = merry.Sentinel("key files of the endpoint cannot be used")
	// ErrListen says that the process cannot listen on an address.
	ErrListen = merry.Sentinel("cannot listen")
)

// keyFileCheckInterval is the time between two checks of the key files for changes.
const keyFileCheckInterval = 10 * time.Second

// Endpoint holds the TLS mode and keys of a listener or client.
type Endpoint struct {
	mode settings.TLSMode
	keys *tlskeys.Keys // nil in plain text
}

// Open reads the key files, if the mode needs any.
func Open(s settings.TLS, logger *eventlog.Logger, set *metrics.Set) (*Endpoint, error) {
	if s.Mode == settings.TLSPlain {
		return &Endpoint{mode: s.Mode}, nil
	}
	keys, err := tlskeys.Open(tlskeys.Files{
		Certificate: s.Certificate, Key: s.Key, Authorities: s.Authorities,
	}, logger, set)
	if err != nil {
		return nil, merry.Wrap(ErrKeys, merry.WithCause(err))
	}
	return &Endpoint{mode: s.Mode, keys: keys}, nil
}

// Watch reloads the key files when they change, until ctx ends.
func (e *Endpoint) Watch(ctx context.Context) {
	if e.keys != nil {
		e.keys.Watch(ctx, keyFileCheckInterval)
	}
}

// Listen opens a listener with the protection of the endpoint.
func (e *Endpoint) Listen(address string) (net.Listener, error) {
	socket, layer, err := e.ListenLayered(address)
	if err != nil {
		return nil, err
	}
	return layer(socket), nil
}

// ListenLayered opens a TCP listener and returns it separately from the layer that adds TLS, for a
// draining.Server.
func (e *Endpoint) ListenLayered(address string) (*net.TCPListener, draining.Layer, error) {
	config, err := e.serverConfig()
	if err != nil {
		return nil, nil, merry.Wrap(ErrKeys, merry.WithCause(err))
	}
	socket, err := draining.Listen(address)
	if err != nil {
		return nil, nil, merry.Wrap(ErrListen, merry.WithCause(err))
	}
	if config == nil {
		return socket, draining.Plain, nil
	}
	return socket, func(l net.Listener) net.Listener { return tls.NewListener(l, config) }, nil
}

func (e *Endpoint) serverConfig() (*tls.Config, error) {
	switch e.mode {
	case settings.TLSServer:
		return e.keys.Server()
	case settings.TLSMutual:
		return e.keys.MutualServer()
	default:
		return nil, nil
	}
}

// Scheme returns the scheme of URLs to this endpoint.
func (e *Endpoint) Scheme() string {
	if e.keys == nil {
		return "http"
	}
	return "https"
}

// Client returns an HTTP client that presents the endpoint's certificate and verifies that of the
// server.
func (e *Endpoint) Client(transport *http.Transport) *http.Client {
	if e.keys != nil {
		transport.DialTLSContext = e.keys.DialTLS
	}
	return &http.Client{Transport: transport}
}
