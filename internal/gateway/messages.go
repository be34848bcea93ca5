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

// message is sent to the router task, which calls apply.
type message interface {
	apply(r *router, now time.Time)
}

// setConfig puts a cell file in force.
type setConfig struct {
	file        cellconfig.File
	confirmedAt time.Time
}

// setMembers sets the list of entry processes.
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

// pulled delivers the announcements that were pulled from another entry process.
type pulled struct {
	peer        cell.EntryName
	incarnation cell.Incarnation
	cursor      uint64
	sentAt      time.Time
	items       []membership.Aged
}

// askCursor requests the cursor of the next pull from a peer.
type askCursor struct {
	peer  cell.EntryName
	reply chan<- peerCursor
}

type peerCursor struct {
	incarnation cell.Incarnation
	cursor      uint64
}

// pull requests the announcements after a cursor. It is answered when there is at
// least one or when the wait ends.
type pull struct {
	incarnation cell.Incarnation // incarnation of this process that the cursor belongs to
	cursor      uint64
	until       time.Time
	reply       chan<- pullReply
}

type pullReply struct {
	cursor uint64
	items  []membership.Aged
}

// enter counts a request as in flight, so that a planned stop waits for it.
type enter struct{ reply chan<- exchange.Reason }

// leave ends the count that enter began.
type leave struct{}

// admit queues a request for a backend server. Exactly one grant is sent to reply.
type admit struct {
	first   bool // also count the request as in flight, as enter does
	service cell.Service
	ticket  admission.Ticket
	exclude []cell.BackendName
	reply   chan<- grant
}

// grant is the answer to admit. reason is set if the request was refused.
type grant struct {
	choice     routing.Choice
	upstream   *upstream
	reason     exchange.Reason
	retryAfter time.Duration
}

// withdraw cancels a queued request because its caller has disconnected.
type withdraw struct {
	service cell.Service
	id      uint64
}

// finished reports that a request no longer uses the granted backend server.
type finished struct {
	choice      routing.Choice
	observation routing.Observation
}

// startDrain begins a planned stop. idle is closed when no request is in flight.
type startDrain struct{ idle chan<- struct{} }

// countFlights requests the number of requests in flight.
type countFlights struct{ reply chan<- int }
