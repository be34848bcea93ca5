package tlskeys

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/ansel1/merry/v2"
)

// Server returns the configuration of a listener for callers, which present no certificate. It
// accepts TLS 1.2 because the devices of callers are outside the control of the operator.
func (k *Keys) Server() (*tls.Config, error) {
	if k.files.Certificate == "" {
		return nil, merry.Wrap(ErrIncompleteSettings, merry.AppendMessage("a server needs a certificate"))
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// The listener that limits the connections of callers wraps the TLS connection, so that
		// net/http does not recognize it and cannot serve HTTP/2.
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current.Load().certificate, nil
		},
	}, nil
}

// MutualServer returns the configuration of a listener whose clients must present a certificate
// signed by the authorities. Session resumption is disabled, because a resumed session would keep
// trusting authorities that have been replaced since.
func (k *Keys) MutualServer() (*tls.Config, error) {
	if k.files.Certificate == "" || k.files.Authorities == "" {
		return nil, merry.Wrap(ErrIncompleteSettings, merry.AppendMessage("a mutual server needs a certificate and authorities"))
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.current.Load().mutualServer(), nil
		},
	}, nil
}

// mutualServer returns the configuration for one handshake.
func (m *credentials) mutualServer() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{"h2", "http/1.1"},
		Certificates:           []tls.Certificate{*m.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              m.authorities,
		SessionTicketsDisabled: true,
	}
}

// Client returns the configuration of one connection to a server whose certificate is signed by the
// authorities. The client presents its own certificate, if it has one, when the server asks for it.
// A later connection needs a new configuration, because the authorities may have been replaced;
// DialTLS creates one for each connection.
func (k *Keys) Client(serverName string) (*tls.Config, error) {
	if k.files.Authorities == "" {
		return nil, merry.Wrap(ErrIncompleteSettings, merry.AppendMessage("a client needs authorities"))
	}
	m := k.current.Load()
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: serverName,
		RootCAs:    m.authorities,
	}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	return config, nil
}

// DialTLS opens a connection with the certificates that are in use at that time. It can be used as
// http.Transport.DialTLSContext. The server's certificate must be valid for the host name or IP
// address in address.
func (k *Keys) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, merry.Wrap(ErrConnect, merry.AppendMessage(err.Error()))
	}
	config, err := k.Client(host)
	if err != nil {
		return nil, err
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, merry.Wrap(ErrConnect, merry.AppendMessage(err.Error()), merry.WithCause(err))
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // the handshake error is returned instead
		return nil, merry.Wrap(ErrHandshake, merry.AppendMessagef("%s: %v", address, err), merry.WithCause(err))
	}
	return secure, nil
}
