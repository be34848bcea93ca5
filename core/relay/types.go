package relay

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/state"
)

// SyncID identifies a sync that waits for a response.
type SyncID uint64

// Sync is a message from a worker agent.
type Sync struct {
	ID       SyncID
	Worker   cell.Worker
	Epoch    cell.Epoch // 0: register
	Sequence uint64     // 0: long poll for assignments, no renewal
	Reports  []state.TaskReport
	Version  uint64        // version of the worker's assignments
	MaxWait  time.Duration // maximum duration of a long poll
	Leaving  bool          // the worker has stopped all tasks; its epoch may end
}

// Renewal is the renewal of one worker within a batch.
type Renewal struct {
	Worker      cell.WorkerName
	Incarnation cell.Incarnation
	Epoch       cell.Epoch
	Sequence    uint64
	Reports     []state.TaskReport
}

// Grant is the leader's response to a Renewal.
type Grant struct {
	Worker       cell.WorkerName
	Sequence     uint64
	Granted      bool // false if the epoch has ended
	Terms        lease.Terms
	SyncInterval time.Duration
}

// Registration is the outcome of a registration. Refusal is set if the worker was not admitted, and
// Failed if the outcome is unknown.
type Registration struct {
	Worker      cell.WorkerName
	Incarnation cell.Incarnation
	Epoch       cell.Epoch
	Refusal     state.Refusal
	Failed      bool
}

// Departure is a request to commit the last reports of a worker and to end its epoch.
type Departure struct {
	SyncID      SyncID
	Worker      cell.WorkerName
	Incarnation cell.Incarnation
	Epoch       cell.Epoch
	Reports     []state.TaskReport
}

// Status is the result of a sync.
type Status uint8

// Possible results.
const (
	StatusOK          Status = iota + 1
	StatusEpochEnded         // the worker must register again
	StatusRefused            // the worker is not admitted
	StatusUnavailable        // the control group did not respond; retry
)

// Response is the response to a sync.
type Response struct {
	SyncID       SyncID
	Status       Status
	Refusal      state.Refusal
	Epoch        cell.Epoch
	Sequence     uint64 // 0 if the lease was not renewed
	Terms        lease.Terms
	SyncInterval time.Duration
	Changed      bool // Version and Assignments are valid
	Version      uint64
	Assignments  []state.Assignment
}

// AttachedWorker is a worker that syncs with this entry process, and the version of its assignments
// known here.
type AttachedWorker struct {
	Worker  cell.WorkerName
	Epoch   cell.Epoch
	Version uint64
}

// Effects is a batch of actions for the owner.
type Effects struct {
	Responses     []Response
	Registrations []cell.Worker
	Renewals      []Renewal // to be sent in one call; report its outcome by HandleGrants or HandleRenewalFailure
	Departures    []Departure
	// AttachedChanged is true if the set of attached workers or their epochs changed. A feed
	// call, which tells the leader the attached workers and waits for their assignments, should
	// then be restarted if one is in progress.
	AttachedChanged bool
	Deadline        time.Time // call Tick no later than this; the zero time means never
}
