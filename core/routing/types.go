package routing

import (
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Options describes the entry process.
type Options struct {
	Name          cell.EntryName
	Region        cell.Region
	FailureDomain cell.FailureDomain
	Random        *rand.Rand // seeded by the caller
}

// Policy holds the routing settings of a service from the cell file.
type Policy struct {
	Lease              time.Duration // announce_lease
	MaxEntries         int           // maximum number of entry processes that share a backend server
	CrossRegionPenalty time.Duration // delay that a server in another region must save
	PanicThreshold     float64       // fraction of usable servers below which ejected ones are used
}

// Announcement is the latest announcement of a backend server.
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
	SeenAt        time.Time // lower bound of the time at which it was made
}

// Request is a request to be routed.
type Request struct {
	Service cell.Service
	Exclude []cell.BackendName // servers that this request has tried
	Waiting int                // waiting requests of the service, including this one
}

// Choice is a backend server that was picked for a request.
type Choice struct {
	Service     cell.Service
	Backend     cell.BackendName
	Incarnation cell.Incarnation
	Address     string
	Connections int // connections that this entry process may open to the server
	CrossRegion bool
	ID          uint64 // unique in its Table
}

// Refusal is the reason why no backend server was picked.
type Refusal string

// Refusals.
const (
	RefusalNone      Refusal = ""
	RefusalNoBackend Refusal = "no-backend" // no server with a valid announcement
	RefusalBusy      Refusal = "busy"       // every usable server is assumed to be full
	RefusalTried     Refusal = "tried"      // every usable server was tried by this request
)

// Result is the end of a dispatched request, as routing distinguishes it.
type Result string

// Results.
const (
	ResultAnswered      Result = "answered"       // complete answer other than a server error
	ResultRefused       Result = "refused"        // the server refused the request because its slots were full
	ResultConnectFailed Result = "connect-failed" // the connection failed
	ResultFailed        Result = "failed"         // server error, broken answer, or an answer of another server
	ResultTimedOut      Result = "timed-out"      // no answer by the deadline
	ResultAbandoned     Result = "abandoned"      // the caller disconnected
)

// UnknownInFlight is the InFlight of an answer that reports none.
const UnknownInFlight = -1

// Observation describes how a request to a backend server ended.
type Observation struct {
	Result   Result
	Delay    time.Duration // from dispatch to the end of the answer
	InFlight int           // as reported in the answer, or UnknownInFlight
}
