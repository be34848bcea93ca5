package replica

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
)

// newJobWaitTask returns a leader with one job, and a read of the job that waits since now.
func newJobWaitTask(t *testing.T, now time.Time) (*task, readCall) {
	t.Helper()
	leader := &task{state: state.New(), leader: &leaderState{}}
	leader.applyWorkload(workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "s", MaxAttempts: 1}}}})
	leader.applyWorkload(workload.Command{Submit: &workload.Submit{ID: "j", Spec: workload.JobSpec{Queue: "q", Steps: []workload.StepSpec{{Tasks: 1}}}}})
	read := readCall{newReply[readResult](), state.Query{StepJob: &state.StepJobQuery{ID: "j"}}}
	if !leader.waitForJobEnd(now, read, leader.answerQuery(read.query)) {
		t.Fatal("the read of a job that has not ended does not wait")
	}
	return leader, read
}

func (t *task) applyWorkload(command workload.Command) {
	t.applied++
	t.state.Apply(t.applied, state.Command{Workload: &command})
	t.jobWaits.changed = true
}

// answerOf returns the state in the answer to a read, or an empty state if there is none yet.
func answerOf(read readCall) workload.JobState {
	select {
	case got := <-read.reply:
		return got.value.answer.StepJob.State
	default:
		return ""
	}
}

// Guards against a caller that is told that its job runs while the end of the job is being committed, and
// asks again only after a while.
func TestReadOfAJobWaitsForItsEnd(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	leader, read := newJobWaitTask(t, now)
	leader.answerJobWaits(now)
	if got := answerOf(read); got != "" {
		t.Fatalf("answered with %q before the job ended", got)
	}
	leader.applyWorkload(workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	leader.answerJobWaits(now.Add(time.Millisecond))
	if got := answerOf(read); got != workload.JobCancelled {
		t.Errorf("answered with %q after the end", got)
	}
	if len(leader.jobWaits.pending) != 0 {
		t.Error("the answered read still waits")
	}
}

// Guards against reads that wait for ever: for a job that goes on, at a replica that has lost its lead, or
// at one that is to stop.
func TestReadOfAJobStopsWaiting(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, change := range map[string]func(leader *task) (at time.Time){
		"time over":       func(*task) time.Time { return now.Add(state.StepJobWait) },
		"leadership lost": func(leader *task) time.Time { leader.leader = nil; return now },
		"planned stop":    func(leader *task) time.Time { leader.stopping = &plannedStop{}; return now },
	} {
		leader, read := newJobWaitTask(t, now)
		leader.answerJobWaits(change(leader))
		if got := answerOf(read); got != workload.JobQueued {
			t.Errorf("%s: answered with %q", name, got)
		}
	}
}

// Guards against reads without bound that wait at the leader.
func TestReadsThatWaitAreBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	leader, read := newJobWaitTask(t, now)
	for range 2 * maxJobWaits {
		leader.waitForJobEnd(now, read, leader.answerQuery(read.query))
	}
	if got := len(leader.jobWaits.pending); got != maxJobWaits {
		t.Errorf("%d reads wait, want %d", got, maxJobWaits)
	}
}
