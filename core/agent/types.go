package agent

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
)

// Outcome is the result of a task on this worker.
type Outcome string

// Outcomes of a task, as reported to the cell.
const (
	OutcomeRunning      Outcome = "running"
	OutcomeSucceeded    Outcome = "succeeded"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeCheckpointed Outcome = "checkpointed"
)

// Task is a task assigned to this worker.
type Task struct {
	Allocation       cell.AllocationID
	Job              cell.JobID
	Index            int
	Size             cell.Resources
	Command          string
	RunTime          time.Duration // declared by the job
	Stop             StopKind      // StopNone unless the task is to be stopped
	KeepOnDisconnect bool          // continues to run after the lease ends
}

// StopKind is the way in which a task is stopped.
type StopKind string

// Ways to stop a task.
const (
	StopNone       StopKind = ""
	StopNow        StopKind = "stop"
	StopCheckpoint StopKind = "checkpoint"
)

// Report is the reported state of one allocation.
type Report struct {
	Allocation cell.AllocationID
	Outcome    Outcome
	Detail     string
	Used       cell.Resources
}

// Sync is a message to the cell. A sync with Sequence 0 requests only assignments.
type Sync struct {
	Epoch    cell.Epoch // 0 requests registration
	Sequence uint64
	Reports  []Report
	Version  uint64
	Leaving  bool // all tasks have ended; the epoch may end
}

// Response is the cell's response to a Sync.
type Response struct {
	Failed       bool // no response arrived; the sync is retried soon
	Epoch        cell.Epoch
	Sequence     uint64
	Granted      bool
	EpochEnded   bool // the agent must register again
	Refused      bool // the cell does not admit this worker
	Terms        lease.Terms
	SyncInterval time.Duration
	Changed      bool // Tasks and Version are valid
	Version      uint64
	Tasks        []Task // all tasks assigned to the worker
}

// Stop tells the owner to stop a task.
type Stop struct {
	Allocation cell.AllocationID
	Kind       StopKind
}

// Effects is a batch of actions for the owner, in this order: stop tasks, start tasks, send the
// sync.
type Effects struct {
	Stops  []Stop
	Starts []Task
	Sync   *Sync
	Wake   time.Duration // call Tick no later than this after the call of Effects
	// Lease is how long tasks may continue to run after the reading passed to Effects, or 0 without
	// a lease. A task that continues after a pause of the process must check it first.
	Lease time.Duration
	Done  bool // a planned shutdown is complete
}
