// Package backendapi is the protocol between entry processes and backend
// servers: the announcement in JSON and the headers of routed requests
// (docs/design.md, sections 2.8 and 5.2).
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

// Headers of routed requests and their answers.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderTeam       = "Godwit-Team"
	HeaderDeadline   = "Godwit-Deadline-Ms" // remaining time in milliseconds
	HeaderRequestID  = "Godwit-Request-Id"
	HeaderOutcome    = "Godwit-Outcome"
	HeaderReason     = "Godwit-Reason"
	HeaderInFlight   = "Godwit-In-Flight"
	HeaderRetryAfter = "Retry-After"
)

// AnnouncePath is the path that takes announcements.
const AnnouncePath = "/v1/backends/announce"

// MaxAnnouncementBytes is the largest announcement that is read.
const MaxAnnouncementBytes = 4 << 10

// Announcement is the body of an announcement.
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
	Token         string `json:"token"` // of the last answer of this entry process, or empty
}

// Answer is the body of the answer to an announcement.
type Answer struct {
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

// DecodeAnnouncement reads and checks an announcement.
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
	a := wire.core()
	if err := Check(a); err != nil {
		return membership.Announcement{}, "", err
	}
	return a, membership.Token(wire.Token), nil
}

// Check returns an error where the announcement is malformed.
func Check(a membership.Announcement) error {
	if err := a.Validate(); err != nil {
		return merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return nil
}

func (a Announcement) core() membership.Announcement {
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
