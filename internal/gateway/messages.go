package gateway

import (
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/membership"
	"github.com/godwitlink/godwitlink/core/routing"
	"github.com/godwitlink/godwitlink/core/state"
)

// message is sent to the router task. apply runs in that task.
type message interface {
	apply(r *router, now time.Time)
}

// setConfig puts a cell file in force.
type setConfig struct {
	file        cellconfig.File
	confirmedAt time.Time
}

// setMembers states the entry processes.
type setMembers struct{ members []state.Member }

// announce delivers an announcement of a backend server.
type announce struct {
	announcement membership.Announcement
	token        membership.Token
	reply        chan<- announceReply
}

type announceReply struct {
	membership.Reply
	service cellconfig.Service
}

// pulled delivers the announcements of another entry process.
type pulled struct {
	peer        cell.EntryName
	incarnation cell.Incarnation
	cursor      uint64
	sentAt      time.Time
	items       []membership.AgedAnnouncement
}

// askCursor asks what to pull with next.
type askCursor struct {
	peer  cell.EntryName
	reply chan<- peerCursor
}

type peerCursor struct {
	incarnation cell.Incarnation
	cursor      uint64
}

// pull asks for announcements after a cursor. It is answered when there is one
// or at the end of the wait.
type pull struct {
	incarnation cell.Incarnation // that the cursor belongs to
	cursor      uint64
	until       time.Time
	reply       chan<- pullReply
}

type pullReply struct {
	cursor uint64
	items  []membership.AgedAnnouncement
}

// enter counts a request as in flight, so that a planned stop waits for it.
type enter struct{ reply chan<- exchange.Reason }

// leave ends what enter began.
type leave struct{}

// admit asks for a backend server. Exactly one grant is sent to reply.
type admit struct {
	first   bool // counts the request as in flight, as enter does
	service cell.Service
	ticket  admission.Request
	exclude []cell.BackendName
	reply   chan<- grant
}

// grant answers admit. reason is set where the request was refused.
type grant struct {
	choice     routing.Choice
	upstream   *upstream
	reason     exchange.Reason
	retryAfter time.Duration
}

// withdraw takes back an admit whose handler no longer waits for the grant.
type withdraw struct {
	service cell.Service
	id      uint64
}

// finished reports the end of a granted request.
type finished struct {
	choice      routing.Choice
	observation routing.Observation
}

// startDrain begins a planned stop; idle is closed when no request is left.
type startDrain struct{ idle chan<- struct{} }

// countFlights asks for the number of requests in flight.
type countFlights struct{ reply chan<- int }
