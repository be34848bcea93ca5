package gateway

import (
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/lease"
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

// receiveAnnouncement delivers an announcement of a backend server.
type receiveAnnouncement struct {
	announcement membership.Announcement
	token        membership.Token
	reply        chan<- announceReply
}

type announceReply struct {
	membership.Reply
	service cellconfig.Service
}

// mergePulled delivers the announcements that were pulled from another entry process.
type mergePulled struct {
	peer        cell.EntryName
	incarnation cell.Incarnation
	cursor      uint64
	sentAt      time.Time
	items       []membership.AgedAnnouncement
}

// getCursor requests the cursor of the next pull from a peer.
type getCursor struct {
	peer  cell.EntryName
	reply chan<- peerCursor
}

type peerCursor struct {
	incarnation cell.Incarnation
	cursor      uint64
}

// pullRequest requests the announcements after a cursor. It is answered when there is at
// least one or when the wait ends.
type pullRequest struct {
	incarnation cell.Incarnation // incarnation of this process that the cursor belongs to
	cursor      uint64
	until       time.Time
	reply       chan<- pullReply
}

type pullReply struct {
	cursor uint64
	items  []membership.AgedAnnouncement
}

// addInFlight counts a request as in flight, so that a planned stop waits for it.
type addInFlight struct{ reply chan<- exchange.Reason }

// removeInFlight ends the count that addInFlight began.
type removeInFlight struct{}

// requestServer queues a request for a backend server. Exactly one grant is sent to reply.
type requestServer struct {
	addInFlight bool // also count the request as in flight
	service     cell.Service
	request     admission.Request
	exclude     []cell.BackendName
	reply       chan<- grant
}

// grant is the answer to requestServer. reason is set if the request was refused.
type grant struct {
	choice     routing.Choice
	upstream   *upstream
	at         time.Time // reading of the process's clocks
	reason     exchange.Reason
	retryAfter time.Duration
}

// isExpired reports whether a request must not be sent any more to the granted backend server. The process
// may have been paused since, or its machine suspended.
func (g grant) isExpired() bool { return lease.Elapsed(g.at, time.Now()) > maxGrantAge }

// cancelRequest cancels a queued request because its caller has disconnected.
type cancelRequest struct {
	service cell.Service
	id      uint64
}

// serverReleased reports that a request no longer uses the granted backend server.
type serverReleased struct {
	choice      routing.Choice
	observation routing.Observation
}

// startDrain begins a planned stop. idle is closed when no request is in flight.
type startDrain struct{ idle chan<- struct{} }

// countInFlight requests the number of requests in flight.
type countInFlight struct{ reply chan<- int }
