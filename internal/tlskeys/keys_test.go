package tlskeys

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// testCA is a certificate authority for tests.
type testCA struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{t: t, key: newKey(t), serial: 1}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	a.certificate = a.sign(template, template, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *testCA) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return parsed
}

// issue writes a certificate for 127.0.0.1, its key and the certificate of the authority to a new
// folder.
func (a *testCA) issue(lifetime time.Duration) Files {
	dir := a.t.TempDir()
	files := Files{
		Certificate: filepath.Join(dir, "certificate.pem"), Key: filepath.Join(dir, "key.pem"), Authorities: filepath.Join(dir, "authorities.pem"),
	}
	a.write(files, lifetime)
	return files
}

// write replaces the files of an identity by a new certificate with a later modification time.
func (a *testCA) write(files Files, lifetime time.Duration) {
	a.serial++
	key := newKey(a.t)
	certificate := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(a.serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lifetime),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, key)
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	writePEM(a.t, files.Certificate, "CERTIFICATE", certificate.Raw, a.serial)
	writePEM(a.t, files.Key, "EC PRIVATE KEY", encoded, a.serial)
	writePEM(a.t, files.Authorities, "CERTIFICATE", a.certificate.Raw, a.serial)
}

func writePEM(t *testing.T, file, kind string, der []byte, change int64) {
	writeFile(t, file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), change)
}

func writeFile(t *testing.T, file string, data []byte, change int64) {
	t.Helper()
	modified := time.Unix(1_700_000_000+change, 0)
	if err := errors.Join(os.WriteFile(file, data, 0o600), os.Chtimes(file, modified, modified)); err != nil {
		t.Fatal(err)
	}
}

func openKeys(t *testing.T, files Files) *Keys {
	t.Helper()
	k, err := Open(files, eventlog.Nop(), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// handshake connects a client to a server over loopback and returns the serial number of the
// certificate that the client received.
func handshake(t *testing.T, server *tls.Config, client *Keys) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() { done <- serveOneConnection(listener) }()
	conn, err := client.DialTLS(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		return 0, errors.Join(err, <-done)
	}
	defer conn.Close()
	// With TLS 1.3 the client learns at its first read that the server refused its certificate.
	_, err = conn.Read(make([]byte, 1))
	if err = errors.Join(err, <-done); err != nil {
		return 0, err
	}
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// serveOneConnection accepts one connection and writes one byte to it.
func serveOneConnection(listener net.Listener) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Write([]byte("x"))
	return err
}

func mutualHandshake(t *testing.T, server, client *Keys) (int64, error) {
	t.Helper()
	serverConfig, err := server.MutualServer()
	if err != nil {
		t.Fatal(err)
	}
	return handshake(t, serverConfig, client)
}

// A peer must be rejected when it has no certificate, a certificate of another authority or an
// expired certificate.
func TestRejectsUntrustedPeers(t *testing.T) {
	ours, other := newTestCA(t), newTestCA(t)
	server := openKeys(t, ours.issue(time.Hour))
	anonymous := ours.issue(time.Hour)
	anonymous.Certificate, anonymous.Key = "", ""
	foreign := other.issue(time.Hour)
	foreign.Authorities = ours.issue(time.Hour).Authorities
	cases := map[string]struct {
		server, client *Keys
		want           bool
	}{
		"same authority":     {server, openKeys(t, ours.issue(time.Hour)), true},
		"no certificate":     {server, openKeys(t, anonymous), false},
		"client of other CA": {server, openKeys(t, foreign), false},
		"server of other CA": {server, openKeys(t, other.issue(time.Hour)), false},
		"expired client":     {server, openKeys(t, ours.issue(-time.Minute)), false},
		"expired server":     {openKeys(t, ours.issue(-time.Minute)), openKeys(t, ours.issue(time.Hour)), false},
	}
	for name, c := range cases {
		if _, err := mutualHandshake(t, c.server, c.client); (err == nil) != c.want {
			t.Errorf("%s: %v", name, err)
		}
	}
	callers, err := server.Server()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(t, callers, openKeys(t, anonymous)); err != nil {
		t.Errorf("a caller without a certificate: %v", err)
	}
}

// Renewed certificates and authorities must be used without a restart, and half-written files must
// not interrupt the service.
func TestReload(t *testing.T) {
	old, next := newTestCA(t), newTestCA(t)
	serverFiles, clientFiles := old.issue(time.Hour), old.issue(time.Hour)
	var log bytes.Buffer
	logger, err := eventlog.New(&log, "info", "test")
	if err != nil {
		t.Fatal(err)
	}
	set := metrics.New()
	server, err := Open(serverFiles, logger, set)
	if err != nil {
		t.Fatal(err)
	}
	client := openKeys(t, clientFiles)
	expect := func(step string, want int64) {
		t.Helper()
		server.poll(time.Now())
		client.poll(time.Now())
		if got, err := mutualHandshake(t, server, client); err != nil || got != want {
			t.Errorf("%s: serial %d, want %d: %v", step, got, want, err)
		}
	}
	expect("unchanged", 2)
	old.write(serverFiles, 2*time.Hour)
	expect("renewed", 4)
	key, err := os.ReadFile(serverFiles.Key)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, serverFiles.Key, []byte("half"), 100)
	expect("half-written key", 4)
	expect("half-written key, again", 4)
	writeFile(t, serverFiles.Key, key, 100)
	expect("key is back", 4)
	next.serial = 10
	next.write(serverFiles, 3*time.Hour)
	next.write(clientFiles, time.Hour)
	expect("new authority", 11)

	text := set.Text()
	for _, want := range []string{`tls_reloads_total{reason="refused"} 1`, `tls_reloads_total{reason="reloaded"} 3`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in\n%s", want, text)
		}
	}
	if got := strings.Count(log.String(), `"event":6001`); got != 1 {
		t.Errorf("the load error is logged %d times, want 1:\n%s", got, log.String())
	}
	if got := strings.Count(log.String(), `"event":6002`); got != 3 {
		t.Errorf("the coming expiry of 3 certificates is logged %d times:\n%s", got, log.String())
	}
}

// Watch must reload changed files and must return when its context ends.
func TestWatch(t *testing.T) {
	a := newTestCA(t)
	files := a.issue(time.Hour)
	k := openKeys(t, files)
	before := k.current.Load()
	a.write(files, time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		k.Watch(ctx, time.Millisecond)
		close(ended)
	}()
	for k.current.Load() == before {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
}

// Files that cannot be used must be rejected at startup.
func TestOpenRejectsUnusableFiles(t *testing.T) {
	a := newTestCA(t)
	good, other := a.issue(time.Hour), a.issue(time.Hour)
	cases := map[string]struct {
		files Files
		want  error
	}{
		"nothing":        {Files{}, ErrIncompleteSettings},
		"no key":         {Files{Certificate: good.Certificate}, ErrIncompleteSettings},
		"absent":         {Files{Certificate: good.Certificate, Key: good.Key + "x"}, ErrUnreadable},
		"other key":      {Files{Certificate: good.Certificate, Key: other.Key}, ErrKeyPairMismatch},
		"no authorities": {Files{Authorities: good.Key}, ErrAuthorities},
	}
	for name, c := range cases {
		if _, err := Open(c.files, eventlog.Nop(), metrics.New()); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
	authorities := openKeys(t, Files{Authorities: good.Authorities})
	identity := openKeys(t, Files{Certificate: good.Certificate, Key: good.Key})
	_, server := authorities.Server()
	_, mutualServer := identity.MutualServer()
	_, client := identity.Client("127.0.0.1")
	for name, err := range map[string]error{"server": server, "mutual server": mutualServer, "client": client} {
		if !errors.Is(err, ErrIncompleteSettings) {
			t.Errorf("%s without its files: %v", name, err)
		}
	}
}
