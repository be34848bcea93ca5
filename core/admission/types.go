package admission

import (
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// ShedOrder selects the request that is refused when the queue is full.
type ShedOrder string

// Shed orders; they are compared in docs/decisions/routing.md.
const (
	ShedNewest ShedOrder = "newest" // the arriving request
	ShedOldest ShedOrder = "oldest" // the request that has waited longest
)

// Options are the settings of the queue of one service at one entry process.
type Options struct {
	MaxQueue    int                   // maximum number of waiting new requests
	Shares      map[cell.Team]float64 // shares of the service's teams, larger than 0
	RetryBudget float64               // retries as a fraction of requests
	Order       ShedOrder
	Random      *rand.Rand // seeded by the caller
}

// Request is a request to be queued.
type Request struct {
	ID       uint64 // unique in its queue
	Team     cell.Team
	Deadline time.Time
	Retry    bool // already dispatched once; precedes new requests
}

// Refusal is the reason code of a refused request (docs/design.md, section 5.2).
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

// Refused is a refused request with the reason.
type Refused struct {
	Request Request
	Reason  Refusal
}

// Completion describes how a request ended.
type Completion struct {
	Answered bool          // complete answer
	Refused  bool          // refused by a backend server whose slots were full
	Delay    time.Duration // from dispatch to the end of the answer
}
