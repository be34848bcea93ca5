package admission

import (
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// ShedOrder says which request is refused where the queue is full.
type ShedOrder string

// Shed orders. docs/decisions/routing.md has the measurement.
const (
	ShedNewest ShedOrder = "newest" // the arriving request
	ShedOldest ShedOrder = "oldest" // the request that has waited longest
)

// Options are the settings of the queue of one service at one entry process.
type Options struct {
	MaxQueue    int                   // requests that wait at once
	Shares      map[cell.Team]float64 // of the service's teams, larger than 0
	RetryBudget float64               // retries as a share of requests
	Order       ShedOrder
	Random      *rand.Rand // seeded by the caller
}

// Ticket is a request that waits.
type Ticket struct {
	ID       uint64 // unique in its queue
	Team     cell.Team
	Deadline time.Time
	Retry    bool // dispatched before; goes ahead of new requests
}

// Refusal is the reason code of a refused request (docs/design.md, section
// 5.2).
type Refusal string

// Refusals.
const (
	RefusalNone          Refusal = ""
	RefusalQueueFull     Refusal = "queue-full"
	RefusalShareExceeded Refusal = "share-exceeded"
	RefusalDeadline      Refusal = "deadline"
	RefusalRetryBudget   Refusal = "retry-budget"
	RefusalUnknownTeam   Refusal = "bad-request"
)

// Refused is a request that was refused, with the reason.
type Refused struct {
	Ticket Ticket
	Reason Refusal
}

// Sample is what a finished request tells of the load.
type Sample struct {
	Answered bool          // complete answer
	Refused  bool          // refused by a backend server that was full
	Delay    time.Duration // from dispatch to the end of the answer
}
