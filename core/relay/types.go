package relay

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/state"
)

// WaiterID identifies a sync that waits for its answer.
type WaiterID uint64

// Sync is a message of a worker agent.
type Sync struct {
	Waiter   WaiterID
	Worker   cell.Worker
	Epoch    cell.Epoch // 0: register
	Sequence uint64     // 0: watch only
	Reports  []state.TaskReport
	Version  uint64        // of the assignments that the worker holds
	MaxWait  time.Duration // of a watch
	Leaving  bool          // the worker has stopped all tasks; its epoch may end
}

// Renewal is one worker's part of a batch.
type Renewal struct {
	Worker      cell.WorkerName
	Incarnation cell.Incarnation
	Epoch       cell.Epoch
	Sequence    uint64
	Reports     []state.TaskReport
}

// Grant is the leader's answer to a Renewal.
type Grant struct {
	Worker       cell.WorkerName
	Sequence     uint64
	Granted      bool // false: the epoch has ended
	Terms        lease.Terms
	SyncInterval time.Duration
}

// Registration is the outcome of a registration. Refusal is set where the
// worker was not admitted; Failed where nothing is known.
type Registration struct {
	Worker      cell.WorkerName
	Incarnation cell.Incarnation
	Epoch       cell.Epoch
	Refusal     state.Refusal
	Failed      bool
}

// Departure asks to commit the last reports of a worker and to end its epoch.
type Departure struct {
	Waiter      WaiterID
	Worker      cell.WorkerName
	Incarnation cell.Incarnation
	Epoch       cell.Epoch
	Reports     []state.TaskReport
}

// Status says how a sync was answered.
type Status uint8

// Statuses of answers.
const (
	StatusOK          Status = iota + 1
	StatusEpochEnded         // register again
	StatusRefused            // the worker is not admitted
	StatusUnavailable        // the control group did not answer; try again
)

// Answer answers a sync.
type Answer struct {
	Waiter       WaiterID
	Status       Status
	Refusal      state.Refusal
	Epoch        cell.Epoch
	Sequence     uint64 // 0 where the lease was not renewed
	Terms        lease.Terms
	SyncInterval time.Duration
	Changed      bool // Version and Assignments are set
	Version      uint64
	Assignments  []state.Assignment
}

// Attached is a worker that syncs with this entry process and the version of
// its assignments that is known here.
type Attached struct {
	Worker  cell.WorkerName
	Epoch   cell.Epoch
	Version uint64
}

// Effects is what the owner must do.
type Effects struct {
	Answers  []Answer
	Register []cell.Worker
	Renewals []Renewal // one call; its outcome goes to Granted or RenewFailed
	Depart   []Departure
	// AttachedChanged says that the set of attached workers or their epochs
	// changed, so that a feed call under way should be started anew.
	AttachedChanged bool
	Deadline        time.Time // call Tick then at the latest; zero for never
}
