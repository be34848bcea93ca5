package workload

import "time"

// Command is one change of the state. Exactly one field is set.
type Command struct {
	Configure *Config   `cbor:",omitempty"`
	Submit    *Submit   `cbor:",omitempty"`
	Cancel    *Cancel   `cbor:",omitempty"`
	Register  *Register `cbor:",omitempty"`
	Drain     *Drain    `cbor:",omitempty"`
	Decide    *Decide   `cbor:",omitempty"`
	EndBoot   *EndBoot  `cbor:",omitempty"`
}

// Submit accepts a job. It has no effect if the id of the job is known.
type Submit struct {
	ID   JobID
	Spec JobSpec
	Team TeamName `cbor:",omitempty" json:",omitempty"` // team of the call's key
}

// Cancel ends a job that has not ended. Team and AnonymousQueue are those of the Caller.
type Cancel struct {
	ID             JobID
	Team           TeamName `cbor:",omitempty" json:",omitempty"`
	AnonymousQueue string   `cbor:",omitempty" json:",omitempty"`
}

// Register adds a worker or a later boot of a known worker.
type Register struct{ Worker Worker }

// Drain marks a worker as shutting down, so that it gets no new runs.
type Drain struct {
	Worker WorkerID
	Boot   Boot
}

// Decide is a batch of decisions of the leader: the runs to close as their workers reported, and
// then the runs to open. Ends also contains the reports that jobs have begun (BegunReport)
// and how long runs have taken (RunTimeReport).
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
	Checkpoint string // latest saved progress, or empty
}

// Assign opens runs for tasks of one step. It must list all tasks of a gang, whose runs are opened
// together or not at all.
type Assign struct {
	Step    StepID
	Members []TaskAssignment
}

// TaskAssignment assigns one task of a step to a worker.
type TaskAssignment struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Worker WorkerID
	Boot   Boot
}

// EndBoot closes all runs of a boot, because its process ended or its lease expired.
type EndBoot struct {
	Worker    WorkerID
	Boot      Boot
	Permanent bool `cbor:"Left" json:"Left"` // the boot has ended for good and cannot register again
	// Replaced is set when another worker answers at the address of this one. That worker rejects
	// any start request for this one that is still in transit.
	Replaced    bool `cbor:",omitempty"`
	Checkpoints []TaskCheckpoint
	// UnconfirmedRuns lists the tasks whose run no worker has confirmed as started.
	UnconfirmedRuns []TaskID `cbor:"Unheard,omitempty" json:"Unheard"`
}

// TaskCheckpoint is the latest checkpoint that the leader received for a run.
type TaskCheckpoint struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskID
	Run        RunNumber
	Checkpoint string
}

// Refusal is the reason code of a command that was refused.
type Refusal string

// Reasons for refusing a command. RefusalNone means that the command was applied.
const (
	RefusalNone           Refusal = ""
	RefusalInvalid        Refusal = "invalid"
	RefusalNoConfig       Refusal = "no-config"
	RefusalNoQueue        Refusal = "no-queue"
	RefusalUnsupported    Refusal = "unsupported"
	RefusalUnknownJob     Refusal = "unknown-job"
	RefusalJobEnded       Refusal = "job-ended"
	RefusalStaleBoot      Refusal = "stale-boot"
	RefusalNotPending     Refusal = "not-pending"
	RefusalNoWorker       Refusal = "no-worker"
	RefusalDraining       Refusal = "draining"
	RefusalNoCapacity     Refusal = "no-room"
	RefusalWrongService   Refusal = "wrong-service"
	RefusalPerWorkerLimit Refusal = "per-worker-limit"
	RefusalMissingLabel   Refusal = "label"
	RefusalDependency     Refusal = "order" // a dependency of the step is not done
	RefusalTeamCap        Refusal = "team-cap"
	RefusalOtherTeam      Refusal = "other-team" // the id belongs to a job of another team
	// RefusalNoRoomBeyondShare is given to a new job that its team is not guaranteed and that finds no room.
	RefusalNoRoomBeyondShare Refusal = "beyond-share"
	// RefusalOverloaded is given by the leader, before the log, to a new job that could not end in time.
	RefusalOverloaded Refusal = "overloaded"
)

// Result is the result of a command.
type Result struct {
	Refusal Refusal
	State   JobState       `cbor:",omitempty"` // state of the job, for Submit and Cancel
	Version uint64         `cbor:",omitempty"` // version in force, for Configure
	Assigns []AssignResult `cbor:",omitempty"` // one for each of Decide.Assigns
	// RetryAfter is when a refused Submit may find room, with RefusalNoRoomBeyondShare and
	// RefusalOverloaded.
	RetryAfter time.Duration `cbor:",omitempty"`
}

// AssignResult is the result of an Assign, with one entry for each of its Members. The tasks of a
// gang are accepted or refused together, other tasks one by one.
type AssignResult struct {
	Members []TaskAssignmentResult
}

// TaskAssignmentResult is the result of a TaskAssignment.
type TaskAssignmentResult struct {
	_       struct{} `cbor:",toarray"`
	Refusal Refusal
	Run     RunNumber // number of the opened run; 0 if refused
}
