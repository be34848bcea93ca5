package membership

import (
	"errors"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Limits of an announcement. They bound the memory that one announcer can take.
const (
	maxNameBytes   = 128
	maxSlots       = 1 << 16
	maxConnections = 1 << 16
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	Backend       cell.BackendName
	Incarnation   cell.Incarnation
	Sequence      uint64 // larger in each announcement of an incarnation
	Service       cell.Service
	Address       string // IP and port that serves requests
	Region        cell.Region
	FailureDomain cell.FailureDomain
	Slots         int // requests that it runs at once
	Connections   int // connections that it accepts from all entry processes
	InFlight      int // requests that it runs now
	Leaving       bool
}

// Sighting is an announcement with the earliest time at which it may have been
// made, by the clock of this entry process.
type Sighting struct {
	Announcement
	SeenAt time.Time
}

// Errors of Check.
var (
	ErrName    = errors.New("membership: a name is empty or too long")
	ErrAddress = errors.New("membership: address is empty or too long")
	ErrCounts  = errors.New("membership: slots, connections or in-flight out of range")
)

// Check returns an error where the announcement is malformed. Whether Address
// is an IP address and port is left to the caller, which has the means.
func (a Announcement) Check() error {
	names := []string{string(a.Backend), string(a.Service), string(a.Region), string(a.FailureDomain)}
	for _, name := range names {
		if name == "" || len(name) > maxNameBytes {
			return ErrName
		}
	}
	if a.Address == "" || len(a.Address) > maxNameBytes {
		return ErrAddress
	}
	slotsValid := a.Slots >= 1 && a.Slots <= maxSlots
	connectionsValid := a.Connections >= 1 && a.Connections <= maxConnections
	if !slotsValid || !connectionsValid || a.InFlight < 0 || a.InFlight > maxConnections {
		return ErrCounts
	}
	return nil
}

// newer reports whether s replaces old for the same backend server. The same
// announcement may arrive on two ways; both bounds of its age hold, so the
// later time is kept. A leave is final for its incarnation.
func (s Sighting) newer(old Sighting) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	if old.Leaving != s.Leaving {
		return s.Leaving
	}
	if s.Sequence != old.Sequence {
		return s.Sequence > old.Sequence
	}
	return s.SeenAt.After(old.SeenAt)
}
