package replica

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
)

// maxJobWaits bounds the reads that wait for the end of their job. Further reads are answered at once.
const maxJobWaits = 2000

// jobWaits holds reads of jobs that have not ended, the oldest first. A caller that asks while the last
// end of a job is being committed would otherwise hear of it only with its next request.
type jobWaits struct {
	pending []jobWait
	changed bool // commands on jobs were applied since the last look
}

type jobWait struct {
	call     readCall
	deadline time.Time
}

// waitForJobEnd keeps a read until its job ends, for at most state.StepJobWait. It reports false if the
// read is to be answered at once. The answer is read from the state again, which then contains at least
// what it contained when the barrier of the read was passed.
func (t *task) waitForJobEnd(now time.Time, c readCall, answer state.Answer) bool {
	if answer.StepJob == nil || answer.StepJob.State.Ended() || t.leader == nil || t.stopping != nil || len(t.jobWaits.pending) >= maxJobWaits {
		return false
	}
	t.jobWaits.pending = append(t.jobWaits.pending, jobWait{call: c, deadline: now.Add(state.StepJobWait)})
	return true
}

// answerJobWaits answers the reads whose job has ended or whose wait is over, and all of them once this
// replica does not lead any more or is to stop.
func (t *task) answerJobWaits(now time.Time) {
	w := &t.jobWaits
	if len(w.pending) == 0 || !w.changed && now.Before(w.pending[0].deadline) && t.leader != nil && t.stopping == nil {
		return
	}
	w.changed = false
	w.pending = slices.DeleteFunc(w.pending, func(wait jobWait) bool {
		answer := t.answerQuery(wait.call.query)
		waits := t.leader != nil && t.stopping == nil && now.Before(wait.deadline) && answer.StepJob != nil && !answer.StepJob.State.Ended()
		if !waits {
			wait.call.send(readResult{answer: answer, index: t.applied})
		}
		return !waits
	})
}

// nextDeadline returns when the next wait is over, or zero.
func (w *jobWaits) nextDeadline() time.Time {
	if len(w.pending) == 0 {
		return time.Time{}
	}
	return w.pending[0].deadline
}
