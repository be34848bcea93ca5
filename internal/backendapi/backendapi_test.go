package backendapi

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

const valid = `{"backend":"b","incarnation":1,"sequence":2,"service":"s","address":"127.0.0.1:80",` +
	`"region":"r","failure_domain":"d","slots":8,"connections":60,"in_flight":3,"leaving":false,"token":"t"}`

// Guards against announcements that are read in part or beyond their limits.
func TestDecodeAnnouncement(t *testing.T) {
	a, token, err := DecodeAnnouncement(strings.NewReader(valid))
	if err != nil || a.Backend != "b" || a.Slots != 8 || token != "t" {
		t.Errorf("valid announcement: %+v %q %v", a, token, err)
	}
	for name, body := range map[string]string{
		"empty":         "",
		"unknown field": strings.Replace(valid, `"slots"`, `"slotz"`, 1),
		"two values":    valid + "{}",
		"no name":       strings.Replace(valid, `"b"`, `""`, 1),
		"host name":     strings.Replace(valid, "127.0.0.1:80", "localhost:80", 1),
		"no slots":      strings.Replace(valid, `"slots":8`, `"slots":0`, 1),
		"negative":      strings.Replace(valid, `"in_flight":3`, `"in_flight":-1`, 1),
		"large number":  strings.Replace(valid, `"incarnation":1`, `"incarnation":99999999999999999999`, 1),
	} {
		if _, _, err := DecodeAnnouncement(strings.NewReader(body)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, _, err := DecodeAnnouncement(strings.NewReader(strings.Repeat(" ", MaxAnnouncementBytes+1))); !errors.Is(err, ErrTooLarge) {
		t.Errorf("oversize: %v", err)
	}
}

// Guards against input that crashes the decoder or passes its checks with
// values out of range.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"backend":"b","slots":1e400}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, _, err := DecodeAnnouncement(bytes.NewReader(data))
		if err == nil && (a.Validate() != nil || a.Backend == "" || a.Slots < 1 || a.InFlight < 0) {
			t.Errorf("accepted %+v", a)
		}
	})
}
