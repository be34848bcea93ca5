package tlskeys

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/ansel1/merry/v2"
)

// Server returns the configuration of a listener for callers, which present no
// certificate. TLS 1.2 is accepted because callers' devices are not ours.
func (k *Keys) Server() (*tls.Config, error) {
	if k.files.Certificate == "" {
		return nil, merry.Wrap(ErrSettings, merry.AppendMessage("a server needs a certificate"))
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// The limits on callers' connections hide the TLS connection from
		// net/http, which then cannot answer HTTP/2.
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current.Load().certificate, nil
		},
	}, nil
}

// MutualServer returns the configuration of a listener whose peers must present
// a certificate that the authorities have signed. Sessions are not resumed: a
// resumed one would trust authorities that have been replaced since.
func (k *Keys) MutualServer() (*tls.Config, error) {
	if k.files.Certificate == "" || k.files.Authorities == "" {
		return nil, merry.Wrap(ErrSettings, merry.AppendMessage("a mutual server needs a certificate and authorities"))
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

// Client returns the configuration of one connection to a server that the
// authorities have signed. The identity, where there is one, is presented to a
// server that asks for it. Connections that are opened later need a new
// configuration, because the authorities may have been replaced; DialTLS sees
// to that.
func (k *Keys) Client(serverName string) (*tls.Config, error) {
	if k.files.Authorities == "" {
		return nil, merry.Wrap(ErrSettings, merry.AppendMessage("a client needs authorities"))
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

// DialTLS opens a connection with the files in use at that time. It fits
// http.Transport.DialTLSContext. The server's certificate must be valid for the
// name or IP address that is dialled.
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
		_ = conn.Close() // the handshake's error is the one to report
		return nil, merry.Wrap(ErrPeer, merry.AppendMessagef("%s: %v", address, err), merry.WithCause(err))
	}
	return secure, nil
}
