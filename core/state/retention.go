package state

import "time"

// Retention of what has ended. Each list is bounded in time and in number, so
// that the state stays bounded under any load.
const (
	// EndedJobRetention is how long an ended job can be read and its key is
	// known.
	EndedJobRetention = 24 * time.Hour
	// MaxEndedJobs bounds the ended jobs that are kept, about nine days of the
	// planned 11,000 jobs a day; the oldest are dropped first.
	MaxEndedJobs = 100_000
	// MaxRequestRetention bounds the retention that a request may ask for.
	MaxRequestRetention = 30 * 24 * time.Hour
	// MaxRequestRecords bounds the records of requests. Above it a request is
	// refused before it is dispatched: dropping a record early would let its
	// request run twice.
	MaxRequestRecords = 500_000
	// MaxAnswerBytes bounds the answers that are kept for replay, together.
	// The oldest are dropped first; their records stay.
	MaxAnswerBytes = 256 << 20
	// MaxConfigRecords bounds the accepted files that read-back knows.
	MaxConfigRecords = 1000
	// MaxConfigBodyBytes bounds the bodies of accepted files that are kept,
	// together. The one in force is always kept.
	MaxConfigBodyBytes = 4 << 20
	// WorkerRetention is how long the incarnation of a worker is remembered
	// after its epoch has ended and nothing is kept on it.
	WorkerRetention = 24 * time.Hour
	// MaxRemovedMembers bounds the removed incarnations of entry processes that
	// are remembered; the oldest are dropped first.
	MaxRemovedMembers = 1000
)

// MaxRetentionStep bounds by how much one Advance moves the clock of
// retention. The leader sends one a second, so the clock keeps up after a pause,
// while a leader whose wall clock is far ahead cannot drop records of requests
// at once: their requests could run twice.
const MaxRetentionStep = 10 * time.Second

// retentionStepLimit is MaxRetentionStep. The randomised tests of this package
// raise it, because days pass between two of their Advances.
var retentionStepLimit = MaxRetentionStep

// advanceRetention moves the clock of retention by the time between two
// Advances. It counts from the zero time and stands still without a leader.
func (s *State) advanceRetention(at time.Time) {
	at = at.Round(0).UTC()
	step := min(max(at.Sub(s.lastAdvance), 0), retentionStepLimit)
	s.retained = s.retained.Add(step)
	s.lastAdvance = at
}

// advance drops what is past its retention.
func (s *State) advance(at time.Time) {
	s.advanceRetention(at)
	s.dropJobs()
	s.dropRequests()
	s.dropWorkers()
	s.workload.Expire(s.retainedFor())
}

// retainedFor is the clock of retention as a duration since the first command.
func (s *State) retainedFor() time.Duration { return s.retained.Sub(time.Time{}) }

// dropJobs drops ended jobs. A job whose tasks still hold reservations is not in
// the list yet.
func (s *State) dropJobs() {
	for len(s.ended) > 0 {
		j := s.jobs[s.ended[0]]
		expired := !s.retained.Before(j.endedAt.Add(EndedJobRetention))
		if !expired && len(s.ended) <= MaxEndedJobs {
			return
		}
		s.ended = s.ended[1:]
		delete(s.jobs, j.id)
		delete(s.jobKeys, jobKey{j.spec.Team, j.key})
	}
}

func (s *State) dropWorkers() {
	for name, w := range s.workers {
		idle := !w.registered && len(w.allocations) == 0
		if idle && !s.retained.Before(w.endedAt.Add(WorkerRetention)) {
			delete(s.workers, name)
		}
	}
}
