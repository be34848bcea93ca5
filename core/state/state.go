package state

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/workload"
)

// State is the state of the cell after a prefix of the log. It is owned by one goroutine; its methods
// are not safe for concurrent use. No result, event or snapshot depends on the iteration order of a
// map.
type State struct {
	index          uint64    // log index of the last command
	now            time.Time // largest command time so far
	retentionClock time.Time // retention clock, see advanceRetentionClock
	lastAdvance    time.Time // time of the last Advance
	advanceTerm    uint64    // log term of the last Advance; 0 if it is not known

	config  *config        // file in force; nil before the first file
	records []ConfigRecord // accepted files, oldest first

	lastJob        cell.JobID
	lastAllocation cell.AllocationID
	lastEpoch      cell.Epoch

	jobs        map[cell.JobID]*job
	jobKeys     map[jobKey]cell.JobID
	endedJobs   []cell.JobID // ended jobs without allocations, in the order in which they ended
	allocations map[cell.AllocationID]*allocation
	workers     map[cell.WorkerName]*worker
	pools       map[cell.Pool]int // number of workers that are registered or have allocations
	teams       map[cell.Team]*teamUsage

	requests       map[RequestKey]*request
	runningByEntry map[cell.EntryName]map[RequestKey]bool // running records by entry process
	expiryQueue    expiryHeap                             // records by expiry time
	storedAnswers  []answerRef                            // stored answers, oldest first
	answerBytes    int64                                  // total size of the stored answers

	members        map[cell.EntryName]Member
	workload       *workload.State
	removedMembers []removedMember // removed incarnations, oldest first

	violations []Violation
	events     []Event // events of the command that is being applied
}

// New returns the initial state.
func New() *State {
	return &State{
		jobs:           map[cell.JobID]*job{},
		jobKeys:        map[jobKey]cell.JobID{},
		allocations:    map[cell.AllocationID]*allocation{},
		workers:        map[cell.WorkerName]*worker{},
		pools:          map[cell.Pool]int{},
		teams:          map[cell.Team]*teamUsage{},
		requests:       map[RequestKey]*request{},
		runningByEntry: map[cell.EntryName]map[RequestKey]bool{},
		members:        map[cell.EntryName]Member{},
		workload:       workload.New(),
	}
}

// Apply applies the command at a log index. The result is for its proposer, the events are for the
// scheduler. A command at an index that was already applied is refused as invalid and has no effect.
func (s *State) Apply(index uint64, c Command) (Result, []Event) {
	if index <= s.index {
		return refuse(RefusalInvalid, "log index %d was applied already", index), nil
	}
	s.index = index
	s.advanceClock(c.At)
	s.events = nil
	result := s.applyCommand(c)
	events := s.events
	s.events = nil
	return result, events
}

// advanceClock updates the time of the state from a command. The time never moves back, even if the
// clock of a new leader is behind that of its predecessor.
func (s *State) advanceClock(at time.Time) {
	at = at.Round(0).UTC()
	if s.lastAdvance.IsZero() {
		s.lastAdvance = at // the retention clock starts with the first command
	}
	if at.After(s.now) {
		s.now = at
	}
}

func (s *State) applyCommand(c Command) Result {
	if countKinds(c) != 1 {
		return refuse(RefusalInvalid, "a command must be of exactly one kind, got %d", countKinds(c))
	}
	switch {
	case c.ApplyFile != nil:
		return s.applyFile(*c.ApplyFile)
	case c.SubmitJob != nil:
		return s.submitJob(*c.SubmitJob)
	case c.CancelJob != nil:
		return s.cancelJob(c.CancelJob.Job)
	case c.CommitPlan != nil:
		return s.commitPlan(*c.CommitPlan)
	case c.RegisterWorker != nil:
		return s.registerWorker(c.RegisterWorker.Worker)
	case c.ReportTasks != nil:
		return s.reportTasks(*c.ReportTasks)
	case c.ExpireWorker != nil:
		return s.expireWorker(*c.ExpireWorker)
	case c.ReleaseWorker != nil:
		return s.releaseWorker(*c.ReleaseWorker)
	case c.BeginRequest != nil:
		return s.beginRequest(*c.BeginRequest)
	case c.FinishRequest != nil:
		return s.finishRequest(*c.FinishRequest)
	case c.JoinMember != nil:
		return s.joinMember(c.JoinMember.Member)
	case c.LeaveMember != nil:
		return s.leaveMember(*c.LeaveMember)
	case c.Workload != nil:
		result := s.workload.Apply(s.now, s.retentionElapsed(), *c.Workload)
		return Result{Workload: &result}
	default:
		s.advance(c.At, c.Term)
		return Result{}
	}
}

// countKinds returns the number of command fields of c that are set.
func countKinds(c Command) int {
	count := 0
	for _, set := range []bool{
		c.ApplyFile != nil, c.SubmitJob != nil, c.CancelJob != nil, c.CommitPlan != nil,
		c.RegisterWorker != nil, c.ReportTasks != nil, c.ExpireWorker != nil, c.ReleaseWorker != nil, c.BeginRequest != nil,
		c.FinishRequest != nil, c.JoinMember != nil, c.LeaveMember != nil, c.Advance != nil, c.Workload != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

func (s *State) emit(e Event) { s.events = append(s.events, e) }
