// Package backendapi defines the protocol between entry processes and backend servers: the JSON
// announcements and the headers of routed requests (docs/design.md, sections 2.8 and 5.2).
package backendapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/membership"
)

// Headers of routed requests and of their responses.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTeam           = "Godwit-Team"
	HeaderDeadline       = "Godwit-Deadline-Ms" // time that remains, in milliseconds
	HeaderRequestID      = "Godwit-Request-Id"
	HeaderOutcome        = "Godwit-Outcome"
	HeaderReason         = "Godwit-Reason"
	HeaderInFlight       = "Godwit-In-Flight"
	HeaderRetryAfter     = "Retry-After"
)

// AnnouncePath is the path to which announcements are posted.
const AnnouncePath = "/v1/backends/announce"

// MaxAnnouncementBytes is the size limit of an announcement body.
const MaxAnnouncementBytes = 4 << 10

// Announcement is the body of an announcement request.
type Announcement struct {
	Backend       string `json:"backend"`
	Incarnation   uint64 `json:"incarnation"`
	Sequence      uint64 `json:"sequence"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	InFlight      int    `json:"in_flight"`
	Leaving       bool   `json:"leaving"`
	Token         string `json:"token"` // from the last response of this entry process, or empty
}

// AnnouncementResponse is the body of the response to an announcement.
type AnnouncementResponse struct {
	Verdict    string `json:"verdict"` // membership.Verdict
	Token      string `json:"token"`
	IntervalMS int64  `json:"interval_ms"` // announce_interval of the service
	LeaseMS    int64  `json:"lease_ms"`    // announce_lease of the service
}

// Errors of DecodeAnnouncement.
var (
	ErrTooLarge  = merry.Sentinel("backendapi: announcement is too large")
	ErrMalformed = merry.Sentinel("backendapi: announcement is malformed")
)

// DecodeAnnouncement reads and validates an announcement.
func DecodeAnnouncement(body io.Reader) (membership.Announcement, membership.Token, error) {
	data, err := io.ReadAll(io.LimitReader(body, MaxAnnouncementBytes+1))
	if err != nil {
		return membership.Announcement{}, "", merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	if len(data) > MaxAnnouncementBytes {
		return membership.Announcement{}, "", merry.Wrap(ErrTooLarge)
	}
	var wire Announcement
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return membership.Announcement{}, "", merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return membership.Announcement{}, "", merry.Wrap(ErrMalformed, merry.AppendMessage("more than one value"))
	}
	a := wire.toMembership()
	if err := ValidateAnnouncement(a); err != nil {
		return membership.Announcement{}, "", err
	}
	return a, membership.Token(wire.Token), nil
}

// ValidateAnnouncement returns ErrMalformed when the announcement is invalid or its address is not
// an IP address and port.
func ValidateAnnouncement(a membership.Announcement) error {
	if err := a.Validate(); err != nil {
		return merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return nil
}

func (a Announcement) toMembership() membership.Announcement {
	return membership.Announcement{
		Backend:       cell.BackendName(a.Backend),
		Incarnation:   cell.Incarnation(a.Incarnation),
		Sequence:      a.Sequence,
		Service:       cell.Service(a.Service),
		Address:       a.Address,
		Region:        cell.Region(a.Region),
		FailureDomain: cell.FailureDomain(a.FailureDomain),
		Slots:         a.Slots,
		Connections:   a.Connections,
		InFlight:      a.InFlight,
		Leaving:       a.Leaving,
	}
}
