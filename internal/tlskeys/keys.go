package tlskeys

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events of this package.
var (
	eventReloaded = eventlog.Declare(6000, zapcore.InfoLevel, "TLS files changed, the new certificate is in use")
	eventRefused  = eventlog.Declare(6001, zapcore.ErrorLevel, "TLS files changed and cannot be used, the former certificate stays in use")
	eventExpiring = eventlog.Declare(6002, zapcore.WarnLevel, "TLS certificate expires soon")
)

// Metrics of this package.
var (
	metricReloads = metrics.Declare("tls_reloads_total", metrics.KindCounter,
		"readings of changed TLS files, by reason: reloaded or refused")
	metricExpiry = metrics.Declare("tls_certificate_expiry_seconds", metrics.KindGauge,
		"time until the certificate in use expires")
)

// expiryWarning is how long before its expiry a certificate is reported. A week leaves working days
// to renew it.
const expiryWarning = 7 * 24 * time.Hour

// Keys holds the credentials of one identity and reloads them from its files.
type Keys struct {
	files             Files
	log               *eventlog.Logger
	metrics           *metrics.Set
	current           atomic.Pointer[credentials] // written only by Open and Watch
	loadedFingerprint fingerprint                 // used only by Watch, as are the fields below
	lastError         string                      // last reported load error; empty after a successful load
	warnedExpiry      time.Time                   // expiry of the last certificate that was reported as expiring
}

// Open reads the files. The error is ErrIncompleteSettings, ErrUnreadable, ErrKeyPairMismatch or
// ErrAuthorities.
func Open(files Files, log *eventlog.Logger, set *metrics.Set) (*Keys, error) {
	if err := files.check(); err != nil {
		return nil, err
	}
	k := &Keys{files: files, log: log, metrics: set, loadedFingerprint: files.fingerprint()}
	m, err := files.load()
	if err != nil {
		return nil, err
	}
	k.current.Store(m)
	return k, nil
}

// Watch checks the files for changes at each interval until ctx ends. Only one goroutine may run
// it.
func (k *Keys) Watch(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			k.poll(now)
			timer.Reset(interval)
		}
	}
}

// poll reloads the files when they have changed. The fingerprint is taken before the content is
// read, so that a change during the load is detected by the next poll. A failed load is retried at
// every poll, because the certificate and its key are replaced one after the other.
func (k *Keys) poll(now time.Time) {
	seen := k.files.fingerprint()
	if seen != k.loadedFingerprint || k.lastError != "" {
		k.reload(seen)
	}
	k.checkExpiry(now)
}

func (k *Keys) reload(seen fingerprint) {
	m, err := k.files.load()
	if err != nil {
		k.reportLoadError(err)
		return
	}
	k.loadedFingerprint = seen
	k.lastError = ""
	k.current.Store(m)
	k.metrics.Add(metricReloads, "reloaded", 1)
	k.log.Log(eventReloaded, zap.String("certificate", k.files.Certificate), zap.Time("expires", m.notAfter))
}

// reportLoadError reports an error unless it equals the last reported one.
func (k *Keys) reportLoadError(err error) {
	if err.Error() == k.lastError {
		return
	}
	k.lastError = err.Error()
	k.metrics.Add(metricReloads, "refused", 1)
	k.log.Log(eventRefused, zap.String("reason", err.Error()))
}

func (k *Keys) checkExpiry(now time.Time) {
	end := k.current.Load().notAfter
	if end.IsZero() {
		return
	}
	k.metrics.SetGauge(metricExpiry, end.Sub(now).Seconds())
	if end.Sub(now) < expiryWarning && !k.warnedExpiry.Equal(end) {
		k.warnedExpiry = end
		k.log.Log(eventExpiring, zap.String("certificate", k.files.Certificate), zap.Time("expires", end))
	}
}
