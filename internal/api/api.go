// Package api defines the JSON messages of the HTTP interface that entry processes offer to
// callers, operators and workers. The entry process, godwitctl and the simulated workers and
// backend servers share it.
package api

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

// Header names.
const (
	HeaderIdempotencyKey = backendapi.HeaderIdempotencyKey
	HeaderOutcome        = backendapi.HeaderOutcome
	HeaderReason         = backendapi.HeaderReason
)

// Problem is the body of every response that reports an error.
type Problem struct {
	Reason string            `json:"reason"` // reason code
	Detail string            `json:"detail,omitempty"`
	Faults strictconf.Faults `json:"faults,omitempty"` // faults of a submitted cell file
}

// JobSubmission is the body of POST /v1/jobs.
type JobSubmission struct {
	Name         string          `json:"name"`
	Team         cell.Team       `json:"team"`
	Policy       cell.PolicyName `json:"policy"`
	Priority     cell.Priority   `json:"priority"`
	Tasks        int             `json:"tasks"`
	CPUs         float64         `json:"cpus"`         // cores per task
	Memory       string          `json:"memory"`       // per task, with a unit, such as "512MiB"
	Accelerators int64           `json:"accelerators"` // per task
	RunTime      string          `json:"run_time"`     // declared run time, such as "90s"; "0s" for a service
	Region       cell.Region     `json:"region"`       // empty means any region
	Checkpoints  bool            `json:"checkpoints"`
	Command      string          `json:"command"`
}

// JobAccepted is the response to a submission or cancellation.
type JobAccepted struct {
	ID       cell.JobID    `json:"id"`
	State    cell.JobState `json:"state"`
	Repeated bool          `json:"repeated"` // the idempotency key was known; nothing was added
}

// Job is the body of GET /v1/jobs/{id}.
type Job struct {
	ID          cell.JobID    `json:"id"`
	Name        string        `json:"name"`
	Team        cell.Team     `json:"team"`
	State       cell.JobState `json:"state"`
	SubmittedAt time.Time     `json:"submitted_at"`
	Tasks       []Task        `json:"tasks"`
}

// Task is one task of a Job.
type Task struct {
	State    cell.TaskState  `json:"state"`
	Attempts int             `json:"attempts"`
	Worker   cell.WorkerName `json:"worker,omitempty"`
	Detail   string          `json:"detail,omitempty"`
}

// CellFileAccepted is the response to POST /v1/config and /v1/config/check.
type CellFileAccepted struct {
	Generation cell.Generation `json:"generation"`
	Digest     string          `json:"digest"`
	Repeated   bool            `json:"repeated"`
	Changes    []string        `json:"changes"`
}

// Config is the body of GET /v1/config.
type Config struct {
	Generation cell.Generation   `json:"generation"`
	Digest     string            `json:"digest"`
	Submitter  string            `json:"submitter"`
	From       string            `json:"from"`
	At         time.Time         `json:"at"`
	Text       string            `json:"text"`
	Entries    []EntryGeneration `json:"entries"`
}

// EntryGeneration reports which generation of the cell file an entry process uses.
type EntryGeneration struct {
	Name       cell.EntryName  `json:"name"`
	Generation cell.Generation `json:"generation"`
	AgeMillis  int64           `json:"age_millis"` // time since the last message from the entry process
}

// Status is the body of GET /v1/status.
type Status struct {
	Entry       cell.EntryName        `json:"entry"` // the entry process that responded
	Generation  cell.Generation       `json:"generation"`
	Digest      string                `json:"digest"`
	Workers     int                   `json:"workers"`
	Allocations int                   `json:"allocations"`
	Jobs        map[cell.JobState]int `json:"jobs"`
	Capacity    string                `json:"capacity"`
	Reserved    string                `json:"reserved"`
	Entries     []EntryGeneration     `json:"entries"`
}

// Explanation is the body of GET /v1/explain/job/{id}.
type Explanation struct {
	Job   cell.JobID    `json:"job"`
	State cell.JobState `json:"state"`
	Lines []string      `json:"lines"`
}

// WorkerSyncRequest is the body of POST /v1/workers/{name}/sync.
type WorkerSyncRequest struct {
	Incarnation   cell.Incarnation   `json:"incarnation"`
	Epoch         cell.Epoch         `json:"epoch"`    // 0 registers the worker
	Sequence      uint64             `json:"sequence"` // 0 watches for assignments without renewing the lease
	Region        cell.Region        `json:"region"`
	FailureDomain cell.FailureDomain `json:"failure_domain"`
	Rack          cell.Rack          `json:"rack"`
	Pool          cell.Pool          `json:"pool"`
	MilliCPU      int64              `json:"milli_cpu"`
	MemoryBytes   int64              `json:"memory_bytes"`
	Accelerators  int64              `json:"accelerators"`
	Reports       []TaskReport       `json:"reports,omitempty"`
	Version       uint64             `json:"version"`         // of the assignments that the worker has
	MaxWaitMillis int64              `json:"max_wait_millis"` // longest time to wait for another version
	Leaving       bool               `json:"leaving"`         // all tasks have stopped and the epoch may end
}

// TaskReport is a worker's report on one allocation.
type TaskReport struct {
	Allocation      cell.AllocationID `json:"allocation"`
	Outcome         string            `json:"outcome"` // see state.TaskOutcome
	Detail          string            `json:"detail,omitempty"`
	UsedMilliCPU    int64             `json:"used_milli_cpu"`
	UsedMemoryBytes int64             `json:"used_memory_bytes"`
	UsageAgeMillis  int64             `json:"usage_age_millis"`
}

// Values of WorkerSyncResponse.Reason: why a sync was not granted.
const (
	ReasonEpochEnded  = "epoch-ended"  // the worker must register again
	ReasonNotAdmitted = "not-admitted" // the cell file does not admit this worker
)

// WorkerSyncResponse is the response to a WorkerSyncRequest. Times are in milliseconds.
type WorkerSyncResponse struct {
	Epoch              cell.Epoch   `json:"epoch"`
	Sequence           uint64       `json:"sequence"`
	Granted            bool         `json:"granted"`
	Reason             string       `json:"reason,omitempty"` // set when Granted is false
	LeaseMillis        int64        `json:"lease_millis"`
	StopMarginMillis   int64        `json:"stop_margin_millis"`
	DriftPPM           int64        `json:"drift_ppm"`
	SyncIntervalMillis int64        `json:"sync_interval_millis"`
	Version            uint64       `json:"version"`
	Changed            bool         `json:"changed"`               // Assignments is valid
	Assignments        []Assignment `json:"assignments,omitempty"` // all assignments of the worker
}

// Assignment is one allocation that is assigned to a worker.
type Assignment struct {
	Allocation       cell.AllocationID `json:"allocation"`
	Job              cell.JobID        `json:"job"`
	Task             int               `json:"task"`
	MilliCPU         int64             `json:"milli_cpu"`
	MemoryBytes      int64             `json:"memory_bytes"`
	Accelerators     int64             `json:"accelerators"`
	Command          string            `json:"command"`
	RunMillis        int64             `json:"run_millis"`
	Stop             string            `json:"stop,omitempty"` // "stop" or "checkpoint"
	KeepOnDisconnect bool              `json:"keep_on_disconnect"`
}
