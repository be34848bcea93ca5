package agent

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
)

// Outcome is how a task ended on this worker.
type Outcome string

// Outcomes of a task, as reported to the cell.
const (
	OutcomeRunning      Outcome = "running"
	OutcomeSucceeded    Outcome = "succeeded"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeCheckpointed Outcome = "checkpointed"
)

// Task is an assignment of this worker.
type Task struct {
	Allocation       cell.AllocationID
	Job              cell.JobID
	Index            int
	Size             cell.Resources
	Command          string
	RunTime          time.Duration // declared
	Stop             StopKind      // not empty: the cell wants it to end
	KeepOnDisconnect bool          // runs on when the lease ends
}

// StopKind says how a task is to be ended.
type StopKind string

// Kinds of stops.
const (
	StopNone       StopKind = ""
	StopNow        StopKind = "stop"
	StopCheckpoint StopKind = "checkpoint"
)

// Report is the news of one allocation.
type Report struct {
	Allocation cell.AllocationID
	Outcome    Outcome
	Detail     string
	Used       cell.Resources
}

// Sync is a message to the cell. Sequence 0 asks for assignments only.
type Sync struct {
	Epoch    cell.Epoch // 0: register
	Sequence uint64
	Reports  []Report
	Version  uint64
	Leaving  bool // all tasks have been stopped; the epoch may end
}

// Answer is the cell's answer to a Sync.
type Answer struct {
	Failed       bool // no answer came; the sync is repeated soon
	Epoch        cell.Epoch
	Sequence     uint64
	Granted      bool
	EpochEnded   bool // register again
	Refused      bool // the cell does not admit this worker
	Terms        lease.Terms
	SyncInterval time.Duration
	Changed      bool // Tasks and Version are set
	Version      uint64
	Tasks        []Task // complete
}

// Stop tells the owner to end a task.
type Stop struct {
	Allocation cell.AllocationID
	Kind       StopKind
}

// Effects is what the owner must do, in this order: end tasks, start tasks,
// send the sync.
type Effects struct {
	Stops  []Stop
	Starts []Task
	Sync   *Sync
	Wake   time.Duration // call Tick after so long at the latest
	// Lease is how long tasks may run on from the reading given to Effects; 0
	// without a lease. A task that outlived a pause must check it before it
	// goes on.
	Lease time.Duration
	Done  bool // a planned stop is complete
}
