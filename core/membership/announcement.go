package membership

import (
	"errors"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Limits of an announcement. They bound the memory used by a single announcer.
const (
	maxNameBytes   = 128
	maxSlots       = 1 << 16
	maxConnections = 1 << 16
)

// Announcement is the state that a backend server announces.
type Announcement struct {
	Backend       cell.BackendName
	Incarnation   cell.Incarnation
	Sequence      uint64 // increases with each announcement of an incarnation
	Service       cell.Service
	Address       string // IP address and port that serves requests
	Region        cell.Region
	FailureDomain cell.FailureDomain
	Slots         int // maximum number of concurrent requests
	Connections   int // maximum number of connections from all entry processes together
	InFlight      int // number of requests in progress
	Leaving       bool
}

// TimedAnnouncement is an announcement with the earliest time at which it may have been made, by
// the clock of this entry process.
type TimedAnnouncement struct {
	Announcement
	EarliestTime time.Time
}

// Errors returned by Announcement.Validate.
var (
	ErrInvalidName    = errors.New("membership: a name is empty or too long")
	ErrInvalidAddress = errors.New("membership: address is empty or too long")
	ErrInvalidCounts  = errors.New("membership: slots, connections or in-flight out of range")
)

// Validate returns an error if the announcement is malformed. It does not check that Address is a
// valid IP address and port; the caller does.
func (a Announcement) Validate() error {
	names := []string{string(a.Backend), string(a.Service), string(a.Region), string(a.FailureDomain)}
	for _, name := range names {
		if name == "" || len(name) > maxNameBytes {
			return ErrInvalidName
		}
	}
	if a.Address == "" || len(a.Address) > maxNameBytes {
		return ErrInvalidAddress
	}
	slotsValid := a.Slots >= 1 && a.Slots <= maxSlots
	connectionsValid := a.Connections >= 1 && a.Connections <= maxConnections
	if !slotsValid || !connectionsValid || a.InFlight < 0 || a.InFlight > maxConnections {
		return ErrInvalidCounts
	}
	return nil
}

// supersedes reports whether a replaces old for the same backend server. If the same announcement
// arrives on two paths, both times are lower bounds, so the later time is kept. A leave is final
// for its incarnation.
func (a TimedAnnouncement) supersedes(old TimedAnnouncement) bool {
	if a.Incarnation != old.Incarnation {
		return a.Incarnation > old.Incarnation
	}
	if old.Leaving != a.Leaving {
		return a.Leaving
	}
	if a.Sequence != old.Sequence {
		return a.Sequence > old.Sequence
	}
	return a.EarliestTime.After(old.EarliestTime)
}
