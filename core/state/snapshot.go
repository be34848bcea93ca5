package state

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Snapshot is the complete state in encodable form. Its lists are sorted, the jobs and requests by
// Sort, so that equal states have equal snapshots. The bodies of files and answers are shared with the
// state, which does not modify them.
type Snapshot struct {
	Index          uint64
	Now            time.Time
	Retained       time.Time // retention clock
	LastAdvance    time.Time
	AdvanceTerm    uint64            `cbor:",omitempty" json:",omitempty"` // log term of the last Advance
	NextJob        cell.JobID        // last id that was assigned, despite its name
	NextAllocation cell.AllocationID // last id that was assigned, despite its name
	LastEpoch      cell.Epoch
	Records        []ConfigRecord       // oldest first; the last one is in force
	Jobs           []JobSnapshot        // sorted by id after Sort
	EndedJobs      []cell.JobID         // in the order in which they ended
	Workers        []WorkerSnapshot     // sorted by name
	Allocations    []AllocationSnapshot // sorted by id
	Requests       []RequestSnapshot    // sorted by key after Sort
	Members        []Member             // sorted by name
	Left           []LeaveMember        // removed incarnations, oldest first
	Workload       workload.Snapshot
}

// JobSnapshot is a job with its tasks.
type JobSnapshot struct {
	ID          cell.JobID
	Key         string
	Spec        cell.JobSpec
	Kind        cell.PolicyKind
	State       cell.JobState
	SubmittedAt time.Time
	EndedAt     time.Time // retention clock when the job ended
	NotBefore   time.Time // end of the backoff of the failed tasks
	Tasks       []TaskSnapshot
}

// TaskSnapshot is one task of a job.
type TaskSnapshot struct {
	_         struct{} `cbor:",toarray"` // field names would double the size of this most frequent record
	State     cell.TaskState
	Attempts  int
	Preempted bool
	NotBefore int64 // end of the backoff in Unix milliseconds
	Detail    string
}

// WorkerSnapshot is a worker with its current or last epoch.
type WorkerSnapshot struct {
	Info       cell.Worker
	Epoch      cell.Epoch
	Registered bool
	EndedAt    time.Time // retention clock when the epoch ended
	Version    uint64    // log index of the last change of its epoch or allocations
}

// AllocationSnapshot is an allocation with the status of its task.
type AllocationSnapshot struct {
	Allocation cell.Allocation
	Running    bool
	Stopping   bool
	Preempted  bool
	StartedAt  time.Time
}

// RequestSnapshot is the record of a request.
type RequestSnapshot struct {
	Key         RequestKey
	Digest      uint64
	Entry       cell.EntryName
	Incarnation cell.Incarnation
	Attempt     uint64
	State       RequestState
	Retention   time.Duration
	DropAt      time.Time     // retention clock when the record expires; zero while it is running
	Released    []uint64      // attempts that ended as not run, oldest first
	Granted     uint64        // attempt that may have dispatched the request; 0 for none
	AnswerID    uint64        // log index of the FinishRequest with the answer; 0 if no answer is stored
	Answer      *StoredAnswer `cbor:",omitempty"`
}

// Snapshot returns a copy of the state that later commands do not change. Its jobs and requests are
// unordered until Sort is called.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		Index:          s.index,
		Now:            s.now,
		Retained:       s.retentionClock,
		LastAdvance:    s.lastAdvance,
		AdvanceTerm:    s.advanceTerm,
		NextJob:        s.lastJob,
		NextAllocation: s.lastAllocation,
		LastEpoch:      s.lastEpoch,
		Records:        slices.Clone(s.records),
		Jobs:           s.jobSnapshots(),
		EndedJobs:      slices.Clone(s.endedJobs),
		Workers:        s.workerSnapshots(),
		Allocations:    s.allocationSnapshots(),
		Requests:       s.requestSnapshots(),
		Members:        s.memberList(),
		Left:           s.removedMemberSnapshots(),
		Workload:       s.workload.Snapshot(),
	}
}

// Sort sorts the jobs by id and the requests by key, so that equal states have equal snapshots. It is
// separate from State.Snapshot because sorting would take most of the time there and block the
// goroutine that owns the state. The goroutine that encodes the snapshot calls it.
func (s *Snapshot) Sort() {
	slices.SortFunc(s.Jobs, func(a, b JobSnapshot) int { return compare(a.ID, b.ID) })
	slices.SortFunc(s.Requests, func(a, b RequestSnapshot) int { return compareKeys(a.Key, b.Key) })
}

func (s *State) jobSnapshots() []JobSnapshot {
	all := make([]JobSnapshot, 0, len(s.jobs))
	for _, j := range s.jobs {
		all = append(all, j.snapshot())
	}
	return all
}

func (j *job) snapshot() JobSnapshot {
	snapshot := JobSnapshot{
		ID:          j.id,
		Key:         j.key,
		Spec:        j.spec,
		Kind:        j.kind,
		State:       j.state,
		SubmittedAt: j.submittedAt,
		EndedAt:     j.endedAt,
		NotBefore:   j.notBefore,
		Tasks:       make([]TaskSnapshot, len(j.tasks)),
	}
	for i, t := range j.tasks {
		snapshot.Tasks[i] = TaskSnapshot{
			State: t.state, Attempts: t.attempts, Preempted: t.preempted, NotBefore: t.notBefore, Detail: t.detail,
		}
	}
	return snapshot
}

func (s *State) workerSnapshots() []WorkerSnapshot {
	all := make([]WorkerSnapshot, 0, len(s.workers))
	for _, name := range s.workerNames() {
		w := s.workers[name]
		all = append(all, WorkerSnapshot{
			Info: w.info, Epoch: w.epoch, Registered: w.registered, EndedAt: w.endedAt, Version: w.version,
		})
	}
	return all
}

func (s *State) allocationSnapshots() []AllocationSnapshot {
	all := make([]AllocationSnapshot, 0, len(s.allocations))
	for _, id := range s.allocationIDs() {
		a := s.allocations[id]
		all = append(all, AllocationSnapshot{
			Allocation: a.Allocation, Running: a.running, Stopping: a.stopping, Preempted: a.preempted, StartedAt: a.startedAt,
		})
	}
	return all
}

func (s *State) requestSnapshots() []RequestSnapshot {
	all := make([]RequestSnapshot, 0, len(s.requests))
	for _, r := range s.requests {
		all = append(all, RequestSnapshot{
			Key: r.key, Digest: r.digest, Entry: r.entry, Incarnation: r.incarnation, Attempt: r.attempt, State: r.state,
			Retention: r.retention, DropAt: r.expiresAt, Released: slices.Clone(r.notRunAttempts), Granted: r.dispatchAttempt,
			AnswerID: r.answerID, Answer: r.answer,
		})
	}
	return all
}

func (s *State) removedMemberSnapshots() []LeaveMember {
	all := make([]LeaveMember, len(s.removedMembers))
	for i, removed := range s.removedMembers {
		all[i] = LeaveMember{Name: removed.name, Incarnation: removed.incarnation}
	}
	return all
}

func compare[T ~uint64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
