package placement

import "time"

// Options are the settings of a scheduler that are not part of the cell file.
type Options struct {
	// RunTimeWeight is the time by which one unit of expected run time moves a job back in the
	// order of its team; 0 gives the order of submission. A job is overtaken only by jobs that are
	// submitted within its expected run time multiplied by the weight, at most maxRunTimePenalty,
	// so long jobs are not starved.
	RunTimeWeight float64
	// Quarantine selects when workers are quarantined.
	Quarantine QuarantineRule
}

// QuarantineRule is a rule for when a worker gets no more tasks because tasks fail on it.
type QuarantineRule string

// Quarantine rules. QuarantineByCount and QuarantineNever exist for comparison in benchmarks.
const (
	// QuarantineByEvidence compares each outcome on a worker with the failure rate of the same job
	// on other workers. It tries a quarantined worker with one task at a time.
	QuarantineByEvidence QuarantineRule = "evidence"
	// QuarantineByCount excludes a worker for countRulePause after countRuleFailures failures.
	QuarantineByCount QuarantineRule = "count"
	// QuarantineNever quarantines no worker.
	QuarantineNever QuarantineRule = "never"
)

// DefaultOptions returns the options of a production cell.
func DefaultOptions() Options {
	return Options{RunTimeWeight: 0.25, Quarantine: QuarantineByEvidence}
}

const (
	// urgentRetryInterval is the least time between two searches for an urgent class that found
	// nothing to preempt.
	urgentRetryInterval = 5 * time.Millisecond
	// upperFactor gives the upper bound of a run time that was not estimated, as a multiple of the
	// expected run time. Few tasks exceed it.
	upperFactor = 2
	// overSharePenalty moves a team with twice its share back in the order by this time.
	overSharePenalty = 30 * time.Minute
	// maxShareExcess bounds the penalty of teams with a very small share.
	maxShareExcess = 16.0
	// maxRunTimePenalty bounds how much later a shorter job may be submitted and still overtake a
	// longer one.
	maxRunTimePenalty = 30 * time.Minute
	// failedTriesPerPlacement bounds the failed searches of one Plan call per placement of its
	// limit, so that its running time is proportional to the limit.
	failedTriesPerPlacement = 4
	// minFailedTries is the number of failed searches that every Plan call may make.
	minFailedTries = 64
)
