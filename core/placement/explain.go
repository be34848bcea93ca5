package placement

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Reason says why a task waits.
type Reason string

// Reasons for waiting.
const (
	ReasonNone        Reason = ""             // nothing waits
	ReasonUnknownJob  Reason = "unknown-job"  // no job with this id, or it has ended
	ReasonTurn        Reason = "turn"         // the next plans will try it
	ReasonNoRoom      Reason = "no-room"      // no worker has enough left
	ReasonQuota       Reason = "quota"        // the team would exceed its quota
	ReasonUrgentLimit Reason = "urgent-limit" // the team has too much urgent work
	ReasonBackoff     Reason = "backoff"      // the task failed and waits before the next attempt
)

// Explanation says why the tasks of a job wait.
type Explanation struct {
	Job     cell.JobID
	Waiting int // tasks without a placement
	Reason  Reason
}

// String formats the explanation for operators and logs.
func (e Explanation) String() string {
	return fmt.Sprintf("job %d: %d waiting, reason %q", e.Job, e.Waiting, e.Reason)
}

// Explain says why a job waits. It may look at every worker and is meant for
// operators.
func (s *Scheduler) Explain(now time.Time, id cell.JobID) Explanation {
	s.advance(now)
	j := s.jobs[id]
	if j == nil {
		return Explanation{Job: id, Reason: ReasonUnknownJob}
	}
	e := Explanation{Job: id, Waiting: len(j.queued) + j.backoff}
	switch {
	case j.class != nil:
		e.Reason = j.class.wait
	case j.backoff > 0:
		e.Reason = ReasonBackoff
	}
	return e
}
