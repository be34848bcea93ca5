package workload

import (
	"fmt"
	"time"
)

// JobID is the client-supplied id of a job.
type JobID string

// WorkerID identifies a worker. It stays the same when the worker restarts.
type WorkerID string

// Boot identifies one process lifetime of a worker by its start time in Unix milliseconds. A later
// start has a larger boot. It is 0 for a worker that does not report a start time.
type Boot int64

// RunNumber numbers the runs of a task from 1. The tasks of a gang that are assigned together get
// the same number.
type RunNumber uint64

// TaskID identifies a task by its position in a job.
type TaskID struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int // second part of the platform's ids; 0 for jobs accepted by Submit
	Step       int
	Index      int
}

// StepID identifies a step by its position in a job.
type StepID struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int // second part of the platform's ids; 0 for jobs accepted by Submit
	Step       int
}

// StepID returns the id of the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }

// Task returns the id of a task of the step.
func (s StepID) Task(index int) TaskID {
	return TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: index}
}

// String returns JOB/OCCURRENCE/STEP/INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// String returns JOB/OCCURRENCE/STEP.
func (s StepID) String() string { return fmt.Sprintf("%s/%d/%d", s.Job, s.Occurrence, s.Step) }

// Resources is the demand of a task or the capacity of a worker.
type Resources struct {
	_        struct{} `cbor:",toarray"`
	MilliCPU int64
	MemoryMB int64
	GPUs     int64
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + o.MilliCPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPUs: r.GPUs + o.GPUs}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - o.MilliCPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPUs: r.GPUs - o.GPUs}
}

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.GPUs <= capacity.GPUs
}

// StepSpec describes the tasks of a step.
type StepSpec struct {
	Tasks         int
	Size          Resources     // demand of each task
	Estimate      time.Duration // expected run time of a task
	DependsOn     []int         // earlier steps that must be done before this one starts
	Checkpoints   bool          // the tasks save their progress
	Gang          bool          // the tasks run together or not at all
	SingleRack    bool          // the gang is slower when it spans several racks
	RequiredLabel string        // label that a worker must have; empty for any worker
	PreferredRack string        // rack that holds the input data
	MaxPerWorker  int           // limit of tasks of the step on one worker; 0 is no limit
	Speculative   bool          // a task may run as several parallel copies
}

// JobSpec is a job as the client submitted it.
type JobSpec struct {
	Queue   string
	Payload string // opaque; passed to every task
	Steps   []StepSpec
}

// AdviserConfig describes the adviser of a queue: the service that decides which workers may run a
// step and issues a ticket for each of them.
type AdviserConfig struct {
	Base      time.Duration // response time of a call
	PerWorker time.Duration // additional response time for each worker in the call
	TicketTTL time.Duration
}

// Queue is the configuration of a queue.
type Queue struct {
	Name          string
	Host          string
	PathPrefix    string
	Service       string
	Timeout       time.Duration
	TargetLatency time.Duration
	SlackFactor   float64
	Priority      int // 0 is the highest priority
	MaxAttempts   int
	Advice        *AdviserConfig `cbor:",omitempty"` // nil if the queue has no adviser, so that any worker may run a step
	Anonymous     bool           `cbor:",omitempty"` // calls need no key
}

// Config is one version of the queue configuration.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []string
	Document []byte // the configuration as the operator sent it, returned on request
	// KeysRequired is set if the configuration lists teams: calls to queues that are not anonymous need the
	// key of a team.
	KeysRequired bool   `cbor:",omitempty"`
	Teams        []Team `cbor:",omitempty"`
}

// JobState is the state of a job as reported to the client.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the state is final: no task of the job starts any more.
func (s JobState) Ended() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// TaskState is the state of a task.
type TaskState uint8

// States of a task.
const (
	TaskPending  TaskState = iota
	TaskAssigned           // has an open run
	TaskDone
)

// Task is one task of a step. A done task of a gang may still have an open run, until its worker
// reports the end of the run.
type Task struct {
	_          struct{} `cbor:",toarray"`
	State      TaskState
	Open       bool      // the latest run is open
	Run        RunNumber // number of the latest run; 0 before the first one
	Failures   int       // failed runs; a gang counts them in Step
	Worker     WorkerID  // worker of the latest run; empty once no worker can carry out a start request for it
	Checkpoint string    // latest saved progress; empty if there is none
}

// Step is the state of a step.
type Step struct {
	Tasks          []Task
	RemainingTasks int           `cbor:"Left" json:"Left"` // number of tasks that are not done
	Failures       int           // failed runs of a gang
	LastFailedRun  RunNumber     `cbor:"FailedIn" json:"FailedIn"`     // latest gang run that is counted in Failures
	ClosedAt       time.Duration `cbor:",omitempty"`                   // retention clock when a run of the step was last closed
	SteadyClosedAt time.Duration `cbor:",omitempty" json:",omitempty"` // steady clock at the same time
	ClosedRuns     []ClosedRun   `cbor:",omitempty" json:",omitempty"` // sorted by task and worker; only runs of tasks that are not done
}

// Job is an accepted job.
type Job struct {
	ID    JobID
	Spec  JobSpec
	Queue Queue // configuration of the queue when the job was accepted
	// Team is the team whose key the job was accepted with. It stays when the keys change.
	Team TeamName `cbor:",omitempty" json:",omitempty"`
	// BeyondShare is set if the team had used up its guaranteed rate when the job was accepted.
	BeyondShare bool `cbor:",omitempty" json:",omitempty"`
	State       JobState
	Started     bool // a run is open, or one was not closed as never started; earlier versions count pending jobs by it
	Begun       bool // a worker is known to have begun a task
	Steps       []Step
	AcceptedAt  time.Time
	EndedAt     time.Duration // retention clock when the job ended
}

// StepID returns the id of a step of the job.
func (j *Job) StepID(step int) StepID { return StepID{Job: j.ID, Step: step} }

// Worker is a registered worker.
type Worker struct {
	ID       WorkerID
	Boot     Boot
	Address  string
	Zone     string
	Service  string
	Capacity Resources
	Labels   []string
	Draining bool // the worker is shutting down and takes no new runs
	// LeavesIn is the minimum time that a draining worker keeps running, counted from the commit of
	// its report. It is 0 if the worker did not report it.
	LeavesIn time.Duration
	Gone     bool // the boot has ended for good and has no runs
}

// workerState is a worker with its open runs.
type workerState struct {
	Worker
	runs map[TaskID]RunNumber
	used Resources // total demand of the open runs
}

// RunEnd is the reason why a run was closed.
type RunEnd string

// Reasons for closing a run.
const (
	EndDone           RunEnd = "done"
	EndFailed         RunEnd = "failed"  // the task or the worker failed
	EndStopped        RunEnd = "stopped" // stopped on request
	EndLeaseExpired   RunEnd = "lapsed"  // the lease of the worker expired
	EndGangBroken     RunEnd = "broken"  // another task of the gang ended
	EndGangIncomplete RunEnd = "alone"   // the other tasks of the gang did not start in time
	EndNeverStarted   RunEnd = "never"   // the worker never started the run
	EndLost           RunEnd = "lost"    // the boot of the worker ended
)
