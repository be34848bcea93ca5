package state

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Retention of ended jobs, finished requests, old files and removed members. Each list is limited in
// time and in number, so that the size of the state is limited under any load.
const (
	// EndedJobRetention is how long an ended job can be queried and its key is recognised in a
	// repeated submission.
	EndedJobRetention = 24 * time.Hour
	// MaxEndedJobs limits the ended jobs, to about nine days of the planned 11,000 jobs a day. The
	// oldest are removed first.
	MaxEndedJobs = 100_000
	// MaxRequestRetention is the longest retention that a request may specify.
	MaxRequestRetention = 30 * 24 * time.Hour
	// MaxRequestRecords limits the request records. At the limit a new request is refused before it is
	// dispatched, because removing a record early could let its request be processed twice.
	MaxRequestRecords = 500_000
	// MaxAnswerBytes limits the total size of the stored answers. The oldest are removed first; their
	// records stay.
	MaxAnswerBytes = 256 << 20
	// MaxConfigRecords limits the accepted files that can be queried.
	MaxConfigRecords = 1000
	// MaxConfigBodyBytes limits the total size of the stored bodies of accepted files. The body of the
	// file in force is always stored.
	MaxConfigBodyBytes = 4 << 20
	// WorkerRetention is how long the incarnation of a worker is remembered after its epoch has ended
	// and it has no allocations.
	WorkerRetention = 24 * time.Hour
	// MaxRemovedMembers limits the remembered incarnations of removed entry processes. The oldest are
	// removed first.
	MaxRemovedMembers = 1000
)

// MaxRetentionStep limits by how much one Advance moves the retention clock. The leader sends an
// Advance every second, so the clock catches up after a pause. A leader whose wall clock is far ahead
// cannot expire many request records at once, after which their requests could be processed twice.
const MaxRetentionStep = 10 * time.Second

// retentionStepLimit is MaxRetentionStep, except in the randomised tests of this package. They raise
// it, because days pass between two of their Advance commands.
var retentionStepLimit = MaxRetentionStep

// advanceRetentionClock moves the retention clock by the time since the last Advance. The clock starts
// at the zero time and stops while there is no leader.
func (s *State) advanceRetentionClock(at time.Time) {
	at = at.Round(0).UTC()
	step := min(max(at.Sub(s.lastAdvance), 0), retentionStepLimit)
	s.retentionClock = s.retentionClock.Add(step)
	s.lastAdvance = at
}

// advance moves the clocks and removes everything whose retention has passed.
func (s *State) advance(at time.Time, term uint64) {
	s.advanceRetentionClock(at)
	s.removeExpiredJobs()
	s.removeExpiredRequests()
	s.removeExpiredWorkers()
	s.workload.Expire(s.retentionElapsed(), s.workload.SteadyClock()+s.steadyStep(term))
}

// steadyStep returns by how much an Advance moves the steady clock of the workload. A leader proposes
// each Advance at least one interval after it has applied the one before. The time between the Advance
// commands of two leaders does not count.
func (s *State) steadyStep(term uint64) time.Duration {
	sameLeader := term != 0 && term == s.advanceTerm
	s.advanceTerm = term
	if sameLeader {
		return workload.AdvanceInterval
	}
	return 0
}

// retentionElapsed returns the retention clock as a duration since the first command.
func (s *State) retentionElapsed() time.Duration { return s.retentionClock.Sub(time.Time{}) }

// removeExpiredJobs removes the ended jobs whose retention has passed and the oldest above
// MaxEndedJobs. Jobs that still have allocations are not in the list of ended jobs.
func (s *State) removeExpiredJobs() {
	for len(s.endedJobs) > 0 {
		j := s.jobs[s.endedJobs[0]]
		expired := !s.retentionClock.Before(j.endedAt.Add(EndedJobRetention))
		if !expired && len(s.endedJobs) <= MaxEndedJobs {
			return
		}
		s.endedJobs = s.endedJobs[1:]
		delete(s.jobs, j.id)
		delete(s.jobKeys, jobKey{j.spec.Team, j.key})
	}
}

// removeExpiredWorkers removes the workers without an epoch or allocations whose retention has passed.
func (s *State) removeExpiredWorkers() {
	for name, w := range s.workers {
		idle := !w.registered && len(w.allocations) == 0
		if idle && !s.retentionClock.Before(w.endedAt.Add(WorkerRetention)) {
			delete(s.workers, name)
		}
	}
}
