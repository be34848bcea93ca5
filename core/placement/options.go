package placement

import "time"

// Options are the settings of a scheduler that are not part of the cell file.
type Options struct {
	// RunTimeWeight is the waiting time that one unit of expected run time
	// counts as in the order of a team's jobs: 0 is submission order. A job
	// is overtaken only by jobs submitted within its expected run time times
	// the weight, at most maxHeadStart, so long work is not starved.
	RunTimeWeight float64
	// Quarantine is the rule by which workers are quarantined.
	Quarantine QuarantineRule
}

// QuarantineRule says when a worker is no longer trusted.
type QuarantineRule string

// Rules of quarantine. The last two are for comparison.
const (
	// QuarantineByEvidence weighs each end against the failure rate of the same
	// job elsewhere and tries the worker with one task at a time.
	QuarantineByEvidence QuarantineRule = "evidence"
	// QuarantineByCount stops using a worker for countPause after countLimit
	// failures.
	QuarantineByCount QuarantineRule = "count"
	// QuarantineNever uses every worker.
	QuarantineNever QuarantineRule = "never"
)

// DefaultOptions returns the settings that the benchmarks chose.
func DefaultOptions() Options {
	return Options{RunTimeWeight: 0.25, Quarantine: QuarantineByEvidence}
}

const (
	// urgentRetryInterval is the least time between two searches for an urgent
	// class that found nothing to preempt.
	urgentRetryInterval = 5 * time.Millisecond
	// upperFactor times the expected run time is exceeded by few tasks.
	upperFactor = 2
	// overSharePenalty is the waiting time that a use of twice the share costs.
	overSharePenalty = 30 * time.Minute
	// maxShareExcess bounds the handicap of teams with a very small share.
	maxShareExcess = 16.0
	// maxRunTimePenalty bounds how much later a shorter job may be submitted and
	// still overtake a longer one.
	maxRunTimePenalty = 30 * time.Minute
	// failedTriesPerPlacement bounds the failed searches of one Plan call, so that
	// its time stays proportional to its limit.
	failedTriesPerPlacement = 4
	// minFailedTries is the number of failed searches that any Plan call may make.
	minFailedTries = 64
)
