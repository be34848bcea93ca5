package backendapi

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

const validAnnouncement = `{"backend":"b","incarnation":1,"sequence":2,"service":"s","address":"127.0.0.1:80",` +
	`"region":"r","failure_domain":"d","slots":8,"connections":60,"in_flight":3,"leaving":false,"token":"t"}`

// Announcements that are incomplete, malformed or larger than the limit must be rejected as a
// whole.
func TestDecodeAnnouncement(t *testing.T) {
	a, token, err := DecodeAnnouncement(strings.NewReader(validAnnouncement))
	if err != nil || a.Backend != "b" || a.Slots != 8 || token != "t" {
		t.Errorf("valid announcement: %+v %q %v", a, token, err)
	}
	for name, body := range map[string]string{
		"empty":         "",
		"unknown field": strings.Replace(validAnnouncement, `"slots"`, `"slotz"`, 1),
		"two values":    validAnnouncement + "{}",
		"no name":       strings.Replace(validAnnouncement, `"b"`, `""`, 1),
		"host name":     strings.Replace(validAnnouncement, "127.0.0.1:80", "localhost:80", 1),
		"no slots":      strings.Replace(validAnnouncement, `"slots":8`, `"slots":0`, 1),
		"negative":      strings.Replace(validAnnouncement, `"in_flight":3`, `"in_flight":-1`, 1),
		"large number":  strings.Replace(validAnnouncement, `"incarnation":1`, `"incarnation":99999999999999999999`, 1),
	} {
		if _, _, err := DecodeAnnouncement(strings.NewReader(body)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, _, err := DecodeAnnouncement(strings.NewReader(strings.Repeat(" ", MaxAnnouncementBytes+1))); !errors.Is(err, ErrTooLarge) {
		t.Errorf("oversize: %v", err)
	}
}

// No input may crash the decoder or be accepted with a value out of range.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(validAnnouncement))
	f.Add([]byte(`{"backend":"b","slots":1e400}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, _, err := DecodeAnnouncement(bytes.NewReader(data))
		if err == nil && (a.Validate() != nil || a.Backend == "" || a.Slots < 1 || a.InFlight < 0) {
			t.Errorf("accepted %+v", a)
		}
	})
}
