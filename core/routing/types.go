package routing

import (
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Options places the entry process.
type Options struct {
	Name          cell.EntryName
	Region        cell.Region
	FailureDomain cell.FailureDomain
	Random        *rand.Rand // seeded by the caller
}

// Policy is what the cell file says of a service.
type Policy struct {
	Lease              time.Duration // announce_lease
	MaxEntries         int           // entry processes that share a backend server
	CrossRegionPenalty time.Duration // delay that a crossing must save
	PanicThreshold     float64       // below this share of usable servers, use all
}

// Announcement is the last known announcement of a backend server.
type Announcement struct {
	Service       cell.Service
	Backend       cell.BackendName
	Incarnation   cell.Incarnation
	Address       string
	Region        cell.Region
	FailureDomain cell.FailureDomain
	Slots         int
	Connections   int
	InFlight      int
	Leaving       bool
	SeenAt        time.Time // earliest time at which it may have been made
}

// Request is a request to be routed.
type Request struct {
	Service cell.Service
	Exclude []cell.BackendName // tried before by this request
	Waiting int                // requests of the service that wait, with this one
}

// Choice is a backend server that was picked for a request.
type Choice struct {
	Service     cell.Service
	Backend     cell.BackendName
	Incarnation cell.Incarnation
	Address     string
	Connections int // that this entry process may open to it
	CrossRegion bool
	ID          uint64 // unique in its Table
}

// Refusal says why no backend server was picked.
type Refusal string

// Refusals.
const (
	RefusalNone      Refusal = ""
	RefusalNoBackend Refusal = "no-backend" // no server with a valid announcement
	RefusalBusy      Refusal = "busy"       // every usable server is taken to be full
	RefusalTried     Refusal = "tried"      // every usable server was tried by this request
)

// Result is how a dispatched request ended, as far as routing is concerned.
type Result string

// Results.
const (
	ResultAnswered      Result = "answered"       // complete answer, not a server error
	ResultRefused       Result = "refused"        // above its slots
	ResultConnectFailed Result = "connect-failed" // no connection
	ResultFailed        Result = "failed"         // server error, broken or foreign answer
	ResultTimedOut      Result = "timed-out"      // no answer by the deadline
	ResultAbandoned     Result = "abandoned"      // the caller went away
)

// UnknownInFlight is the in-flight number of an answer that states none.
const UnknownInFlight = -1

// Observation is what a finished request tells of its backend server.
type Observation struct {
	Result   Result
	Delay    time.Duration // from dispatch to the end of the answer
	InFlight int           // as the answer stated, or UnknownInFlight
}
