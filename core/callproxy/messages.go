package callproxy

import "github.com/godwitlink/godwitlink/core/workload"

// CallBatch is a message of the leader to a call proxy.
type CallBatch struct {
	_       struct{} `cbor:",toarray"`
	Session uint64   // chosen at random by the leader for its term
	Term    uint64
	ReplyTo string // address of the leader's internal listener
	Calls   []Call
}

// The kinds of calls.
const (
	KindHold  = 1
	KindStart = 2
	KindStop  = 3
)

// Call is a call to a worker. Run is set for a start and a stop.
type Call struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64   // unique in the session
	Kind       uint8
	Until      int64 // when the leader's permission ends, by its boot clock, in ns
	TimeoutMs  int64 // how long the proxy waits for the worker's answer
	Worker     string
	Address    string
	Token      uint64
	LeaseUntil int64
	AckedEnd   uint64
	WaitMs     int64
	Run        *RunCall
}

// RunCall names the run of a start or a stop. The other fields are set for a start only.
type RunCall struct {
	_          struct{} `cbor:",toarray"`
	Task       workload.TaskID
	Run        uint64
	Payload    string
	Checkpoint string
	Ticket     string
}

// AnswerBatch is a message of a call proxy to the leader. Without answers it says that the proxy is alive.
type AnswerBatch struct {
	_       struct{} `cbor:",toarray"`
	Session uint64
	Proxy   string // address of the proxy's internal listener
	Answers []Answer
}

// Answer is the outcome of a call. The lists are those of a hold.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Outcome uint8
	Clock   int64
	Boot    int64
	Active  []ActiveRun
	Ends    []ListedEnd
}

// ActiveRun is a run that a worker lists as active.
type ActiveRun struct {
	_          struct{} `cbor:",toarray"`
	Task       workload.TaskID
	Run        uint64
	Checkpoint string
	Percent    int
}

// ListedEnd is the end of a run as a worker lists it.
type ListedEnd struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Task       workload.TaskID
	Run        uint64
	Result     string
	Checkpoint string
}

// ClockReading is the leader's answer to an AnswerBatch.
type ClockReading struct {
	_     struct{} `cbor:",toarray"`
	Clock int64    // the leader's boot clock in ns, read while it handled the message
}
