package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of this package. Each returned error wraps one of these and names the file and the cause.
var (
	ErrIncompleteSettings = merry.Sentinel("TLS settings are incomplete")
	ErrUnreadable         = merry.Sentinel("TLS file cannot be read")
	ErrKeyPairMismatch    = merry.Sentinel("TLS certificate and key do not form a pair")
	ErrAuthorities        = merry.Sentinel("TLS authorities file contains no certificate")
	ErrConnect            = merry.Sentinel("TLS server cannot be reached")
	ErrHandshake          = merry.Sentinel("TLS handshake failed")
)

// Files names the PEM files of one identity. Certificate and Key are set together; both may be
// empty for a client without an identity. Authorities holds the certificates that must have signed
// the certificates of peers; it may be empty for a server that requests no client certificate.
type Files struct {
	Certificate string
	Key         string
	Authorities string
}

// credentials are the parsed files. They are immutable once they are published.
type credentials struct {
	certificate *tls.Certificate // nil when there is no identity
	authorities *x509.CertPool   // nil when peers are not verified
	notAfter    time.Time        // expiry of the certificate; zero when there is none
}

func (f Files) check() error {
	if (f.Certificate == "") != (f.Key == "") {
		return merry.Wrap(ErrIncompleteSettings, merry.AppendMessage("certificate and key must be set together"))
	}
	if f.Certificate == "" && f.Authorities == "" {
		return merry.Wrap(ErrIncompleteSettings, merry.AppendMessage("neither a certificate nor authorities are set"))
	}
	return nil
}

func (f Files) load() (*credentials, error) {
	m := &credentials{}
	if f.Certificate != "" {
		if err := m.loadPair(f.Certificate, f.Key); err != nil {
			return nil, err
		}
	}
	if f.Authorities != "" {
		if err := m.loadAuthorities(f.Authorities); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *credentials) loadPair(certificateFile, keyFile string) error {
	certificate, err := readFile(certificateFile)
	if err != nil {
		return err
	}
	key, err := readFile(keyFile)
	if err != nil {
		return err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return merry.Wrap(ErrKeyPairMismatch, merry.AppendMessagef("%s and %s: %v", certificateFile, keyFile, err))
	}
	m.certificate = &pair
	m.notAfter = pair.Leaf.NotAfter
	return nil
}

func (m *credentials) loadAuthorities(file string) error {
	data, err := readFile(file)
	if err != nil {
		return err
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(data) {
		return merry.Wrap(ErrAuthorities, merry.AppendMessage(file))
	}
	return nil
}

func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Wrap(ErrUnreadable, merry.AppendMessage(err.Error()))
	}
	return data, nil
}

// fingerprint detects changes of the files. It includes the sizes, because two changes within the
// resolution of the file system clock have the same modification time.
type fingerprint [3]fileFingerprint

type fileFingerprint struct {
	modified time.Time
	size     int64
}

// fingerprint reads the fingerprints of all files. A missing file has the zero value; load reports
// it.
func (f Files) fingerprint() fingerprint {
	var s fingerprint
	for i, name := range []string{f.Certificate, f.Key, f.Authorities} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil {
			s[i] = fileFingerprint{modified: info.ModTime(), size: info.Size()}
		}
	}
	return s
}
