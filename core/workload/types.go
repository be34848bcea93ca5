package workload

import (
	"fmt"
	"time"
)

// JobID is the id that the client chose for a job.
type JobID string

// WorkerID names a worker. A worker may start again under the same id.
type WorkerID string

// Boot tells the starts of a worker apart: its start in Unix milliseconds. A
// later start has a larger boot. 0 is that of a worker that states none.
type Boot int64

// RunNumber numbers the runs of a task from 1. All tasks of a gang run have the
// same number.
type RunNumber uint64

// TaskID names a task.
type TaskID struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// StepID names a step of a job.
type StepID struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
}

// StepID returns the step of a task.
func (t TaskID) StepID() StepID { return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }

// String formats the id for logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// String formats the id for logs.
func (s StepID) String() string { return fmt.Sprintf("%s/%d/%d", s.Job, s.Occurrence, s.Step) }

// Resources are what a task needs or a worker has.
type Resources struct {
	_        struct{} `cbor:",toarray"`
	MilliCPU int64
	MemoryMB int64
	GPUs     int64
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + o.MilliCPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPUs: r.GPUs + o.GPUs}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - o.MilliCPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPUs: r.GPUs - o.GPUs}
}

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
}

// StepSpec describes the tasks of a step.
type StepSpec struct {
	Tasks         int
	Size          Resources // of each task
	Estimate      time.Duration
	DependsOn     []int // steps of which all tasks must be done first
	Checkpoints   bool  // the tasks save their progress
	Gang          bool  // the tasks run together or not at all
	SingleRack    bool  // a gang that is slower on more than one rack
	RequiredLabel string
	PreferredRack string // where its data is
	MaxPerWorker  int    // tasks of the step on one worker; 0 is no limit
	Speculative   bool   // copies may run in parallel
}

// JobSpec is what a client submitted.
type JobSpec struct {
	Queue   string
	Payload string // opaque, passed to every task
	Steps   []StepSpec
}

// AdviserConfig says how the adviser of a queue answers.
type AdviserConfig struct {
	Base      time.Duration // time of a call
	PerWorker time.Duration // more for each worker named
	TicketTTL time.Duration
}

// Queue is one queue of the configuration.
type Queue struct {
	Name          string
	Host          string
	PathPrefix    string
	Service       string
	Timeout       time.Duration
	TargetLatency time.Duration
	SlackFactor   float64
	Priority      int // 0 comes first
	MaxAttempts   int
	Advice        *AdviserConfig `cbor:",omitempty"` // nil where any worker may run a step
}

// Config is the queue configuration of one version.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []string
	Document []byte // as the operator sent it, for read-back
}

// JobState is what a client is shown.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether nothing of the job starts any more.
func (s JobState) Ended() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// TaskState is the state of a task.
type TaskState uint8

// States of a task.
const (
	TaskPending TaskState = iota
	TaskAssigned              // has an open run
	TaskDone
)

// Task is one task of a step. Run is the number of the last run and Worker
// the one that holds or held it, or empty where no start of it can reach a worker
// any more. A done task of a gang may still have an open run, until its worker
// reports the end.
type Task struct {
	_          struct{} `cbor:",toarray"`
	State      TaskState
	Open       bool // a run is open
	Run        RunNumber
	Failures   int
	Worker     WorkerID
	Checkpoint string // empty where none is known
}

// Step is the state of a step.
type Step struct {
	Tasks    []Task
	RemainingTasks     int       // tasks that are not done
	Failures int       // failed runs of a gang
	LastFailedRun RunNumber // last gang run that was counted in Failures
	// ClosedAt is when a run was last closed, by the clock of retention.
	ClosedAt time.Duration `cbor:",omitempty"`
}

// Job is an accepted job.
type Job struct {
	ID         JobID
	Spec       JobSpec
	Queue      Queue // as it was when the job was accepted
	State      JobState
	Started    bool // a run is open or has begun
	HasExecuted      bool // a run has ended that had begun
	Steps      []Step
	AcceptedAt time.Time
	EndedAt    time.Duration // by the clock of retention
}

// Worker is a registered worker.
type Worker struct {
	ID       WorkerID
	Boot     Boot
	Address  string
	Zone     string
	Service  string
	Capacity Resources
	Labels   []string
	Draining bool
	// LeavesIn is the least time that a draining worker stays, counted from the
	// commit of its report; 0 where it did not say.
	LeavesIn time.Duration
	Gone     bool // the boot has ended; nothing runs there
}

// workerState is a worker with its open runs.
type workerState struct {
	Worker
	runs map[TaskID]RunNumber
	used Resources
}

// RunEnd says how a run ended.
type RunEnd string

// Ends of runs.
const (
	EndDone    RunEnd = "done"
	EndFailed  RunEnd = "failed"  // by its own fault or that of the worker
	EndStopped RunEnd = "stopped" // as told
	EndLeaseExpired  RunEnd = "lapsed"  // the lease of the worker ran out
	EndGangBroken  RunEnd = "broken"  // another member of the gang ended
	EndGangIncomplete   RunEnd = "alone"   // the other members of the gang did not come in time
	EndNeverStarted   RunEnd = "never"   // the run never began
	EndLost    RunEnd = "lost"    // the boot of the worker ended
)
