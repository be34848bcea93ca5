package workload

// Command is one change. Exactly one field is set.
type Command struct {
	Configure *Config   `cbor:",omitempty"`
	Submit    *Submit   `cbor:",omitempty"`
	Cancel    *Cancel   `cbor:",omitempty"`
	Register  *Register `cbor:",omitempty"`
	Drain     *Drain    `cbor:",omitempty"`
	Decide    *Decide   `cbor:",omitempty"`
	EndBoot   *EndBoot  `cbor:",omitempty"`
}

// Submit accepts a job. A job whose id is known is not changed.
type Submit struct {
	ID   JobID
	Spec JobSpec
}

// Cancel ends a job.
type Cancel struct{ ID JobID }

// Register adds a worker, or a later boot of it.
type Register struct{ Worker Worker }

// Drain says that a worker is leaving: it takes nothing new.
type Drain struct {
	Worker WorkerID
	Boot   Boot
}

// Decide is a batch of the leader: the ends that workers reported, then the
// runs to open.
type Decide struct {
	Ends    []EndedRun
	Assigns []Assign
}

// EndedRun closes a run.
type EndedRun struct {
	_          struct{} `cbor:",toarray"`
	Worker     WorkerID
	Boot       Boot
	Task       TaskID
	Run        RunNumber
	How        RunEnd
	Checkpoint string // latest, or empty
}

// Assign opens runs for tasks of one step. The tasks of a gang are named
// together and opened together or not at all.
type Assign struct {
	Step    StepID
	Members []TaskAssignment
}

// TaskAssignment puts one task on a worker.
type TaskAssignment struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Worker WorkerID
	Boot   Boot
}

// EndBoot says that a boot of a worker has ended: its process ended, or its
// lease ran out. All of its runs are closed.
type EndBoot struct {
	Worker WorkerID
	Boot   Boot
	Permanent   bool // it will not come back
	// Replaced says that another worker answers at its address. That one rejects
	// what is still on its way to this one.
	Replaced    bool `cbor:",omitempty"`
	Checkpoints []TaskCheckpoint
	// UnconfirmedRuns are the tasks of which no worker has said that their run began.
	UnconfirmedRuns []TaskID `cbor:",omitempty"`
}

// TaskCheckpoint is the latest checkpoint that was heard of a run.
type TaskCheckpoint struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskID
	Run        RunNumber
	Checkpoint string
}

// Refusal is a reason code for a command that was not carried out.
type Refusal string

// Refusals. The empty one means that the command was carried out.
const (
	RefusalNone         Refusal = ""
	RefusalInvalid      Refusal = "invalid"
	RefusalNoConfig     Refusal = "no-config"
	RefusalNoQueue      Refusal = "no-queue"
	RefusalUnsupported  Refusal = "unsupported"
	RefusalUnknownJob   Refusal = "unknown-job"
	RefusalJobEnded     Refusal = "job-ended"
	RefusalStaleBoot    Refusal = "stale-boot"
	RefusalNotPending   Refusal = "not-pending"
	RefusalNoWorker     Refusal = "no-worker"
	RefusalDraining     Refusal = "draining"
	RefusalNoCapacity       Refusal = "no-room"
	RefusalWrongService Refusal = "wrong-service"
	RefusalPerWorkerLimit        Refusal = "per-worker-limit"
	RefusalMissingLabel        Refusal = "label"
	RefusalDependency        Refusal = "order" // a step before it is not done
)

// Result answers a command.
type Result struct {
	Refusal Refusal
	State   JobState       `cbor:",omitempty"` // of the job of Submit or Cancel
	Version uint64         `cbor:",omitempty"` // in force, of Configure
	Assigns []AssignResult `cbor:",omitempty"` // one for each of Decide.Assigns
}

// AssignResult answers an Assign: the number of the runs, or why there are
// none. Members of a step that is no gang are judged one by one.
type AssignResult struct {
	Members []TaskAssignmentResult
}

// TaskAssignmentResult answers a Member.
type TaskAssignmentResult struct {
	_       struct{} `cbor:",toarray"`
	Refusal Refusal
	Run     RunNumber // 0 where refused
}
