package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// tlsFilePaths has the PEM files of a test. All processes and the operator use the same certificate.
type tlsFilePaths struct {
	certificate, key, authorities string
}

// tlsTable returns the TLS settings of an endpoint: mode tls or mutual, or plain without TLS.
func (c *cluster) tlsTable(name, mode string) string {
	var files tlsFilePaths
	switch {
	case c.tlsFiles == nil:
		mode = "plain"
	case mode == "tls":
		files = tlsFilePaths{certificate: c.tlsFiles.certificate, key: c.tlsFiles.key}
	default:
		files = *c.tlsFiles
	}
	return fmt.Sprintf("[%s]\nmode = %q\ncertificate = %q\nkey = %q\nauthorities = %q\n",
		name, mode, files.certificate, files.key, files.authorities)
}

// enableTLS creates a certificate for the addresses of the control replicas and entry processes, and
// makes the HTTP client use it.
func (c *cluster) enableTLS(t *testing.T, n clusterSize) {
	t.Helper()
	var ips []net.IP
	for kind, count := range map[int]int{kindControl: n.controls, kindEntry: n.entries} {
		for i := range count {
			host, _, err := net.SplitHostPort(loopbackAddress(kind, i, 1))
			if err != nil {
				t.Fatal(err)
			}
			ips = append(ips, net.ParseIP(host))
		}
	}
	c.tlsFiles = writeSelfSignedCertificate(t, c.dir, ips)
	c.callerScheme = "https"
	pair, err := tls.LoadX509KeyPair(c.tlsFiles.certificate, c.tlsFiles.key)
	if err != nil {
		t.Fatal(err)
	}
	authorities, err := os.ReadFile(c.tlsFiles.authorities)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authorities)
	c.httpClient.Transport = &http.Transport{
		MaxIdleConnsPerHost: 64,
		TLSClientConfig:     &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}},
	}
}

// writeSelfSignedCertificate writes a self-signed certificate for the given addresses, and its key.
func writeSelfSignedCertificate(t *testing.T, dir string, ips []net.IP) *tlsFilePaths {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "operator-ana"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:        true, BasicConstraintsValid: true, IPAddresses: ips,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := &tlsFilePaths{
		certificate: filepath.Join(dir, "cert.pem"), key: filepath.Join(dir, "key.pem"), authorities: filepath.Join(dir, "ca.pem"),
	}
	for file, block := range map[string]*pem.Block{
		files.certificate: {Type: "CERTIFICATE", Bytes: certificate},
		files.authorities: {Type: "CERTIFICATE", Bytes: certificate},
		files.key:         {Type: "PRIVATE KEY", Bytes: encodedKey},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// Guards against endpoints that accept plain text or a client without a certificate although the
// settings require TLS, and against components that work without TLS only.
func TestTLS(t *testing.T) {
	n := smallCluster
	n.tls = true
	c := startCell(t, exampleCellFile, n)
	c.demoRequest(t, t.Logf)
	out, err := c.godwitctl("get", "--output", "json")
	if err != nil || !strings.Contains(out, `"from": "operator-ana"`) {
		t.Errorf("the operator's name is missing from the configuration: %v\n%s", err, out)
	}
	clientWithoutCertificate := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, // the server must reject the connection, not the client
	}}
	for name, url := range map[string]string{
		"operators without a certificate": "https://" + c.entries[0].operatorAddress + "/v1/status",
		"operators in plain text":         "http://" + c.entries[0].operatorAddress + "/v1/status",
		"internal without a certificate":  "https://" + c.controls[0].internalAddress + "/",
	} {
		response, err := clientWithoutCertificate.Get(url)
		if err == nil {
			response.Body.Close()
			if response.StatusCode != http.StatusBadRequest {
				t.Errorf("%s: status %d", name, response.StatusCode)
			}
		}
	}
	// Callers that prefer HTTP/2 once received no response: the listener offered HTTP/2, although
	// the wrapper that limits connections hides the TLS connection from net/http.
	http2Client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true,
	}}
	response, err := http2Client.Get("https://" + c.entries[0].callerAddress + "/nowhere")
	if err != nil {
		t.Errorf("response to a caller that prefers HTTP/2: %v", err)
	} else {
		response.Body.Close()
	}
	c.stopAll(t)
}
