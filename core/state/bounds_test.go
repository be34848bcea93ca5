package state

import (
	"strconv"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Lists must not exceed their limits within the retention time. The limits are too high to be reached
// by commands in a test, so the test fills the state directly.
func TestListsAreLimited(t *testing.T) {
	s := New()
	index := uint64(0)
	apply := func(c Command) Result {
		index++
		result, _ := s.Apply(index, c)
		return result
	}
	for i := range MaxEndedJobs + 5 {
		j := &job{id: cell.JobID(i + 1), key: strconv.Itoa(i), state: cell.JobSucceeded}
		s.jobs[j.id] = j
		s.jobKeys[jobKey{key: j.key}] = j.id
		s.endedJobs = append(s.endedJobs, j.id)
	}
	apply(Command{Advance: &Advance{}})
	if len(s.jobs) != MaxEndedJobs || len(s.jobKeys) != MaxEndedJobs || s.endedJobs[0] != 6 {
		t.Errorf("%d ended jobs with %d keys, oldest %d; want MaxEndedJobs, oldest 6", len(s.jobs), len(s.jobKeys), s.endedJobs[0])
	}

	for i := range MaxRemovedMembers + 5 {
		name := cell.EntryName(strconv.Itoa(i))
		apply(Command{JoinMember: &JoinMember{Member: Member{Name: name, Incarnation: 1}}})
		apply(Command{LeaveMember: &LeaveMember{Name: name, Incarnation: 1}})
	}
	if len(s.removedMembers) != MaxRemovedMembers {
		t.Errorf("%d removed members are remembered, want MaxRemovedMembers", len(s.removedMembers))
	}

	apply(Command{JoinMember: &JoinMember{Member: Member{Name: "e", Incarnation: 1}}})
	begin := BeginRequest{Key: RequestKey{Key: "k"}, Entry: "e", Incarnation: 1, Retention: time.Hour}
	for begin.Attempt = 1; begin.Attempt <= maxNotRunAttempts+5; begin.Attempt++ {
		apply(Command{BeginRequest: &begin})
		apply(Command{FinishRequest: &FinishRequest{Key: begin.Key, Entry: "e", Attempt: begin.Attempt, Outcome: OutcomeNotRun}})
	}
	if remembered := len(s.requests[begin.Key].notRunAttempts); remembered != maxNotRunAttempts {
		t.Errorf("%d attempts are remembered as not run, want maxNotRunAttempts", remembered)
	}
	for i := len(s.requests); i < MaxRequestRecords; i++ {
		s.requests[RequestKey{Service: "s", Key: strconv.Itoa(i)}] = nil
	}
	begin.Key.Key = "one too many"
	if result := apply(Command{BeginRequest: &begin}); result.Refusal != RefusalTooManyRequests {
		t.Errorf("request above the limit of records: result %+v, want refusal too-many-requests", result)
	}
}

// A leader whose wall clock is far ahead must not expire request records early, because repeated
// requests could then be processed twice.
func TestClockFarAheadKeepsRecords(t *testing.T) {
	defer func(limit time.Duration) { retentionStepLimit = limit }(retentionStepLimit)
	retentionStepLimit = MaxRetentionStep
	s := New()
	index := uint64(0)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	apply := func(c Command) Result {
		index++
		c.At = now
		result, _ := s.Apply(index, c)
		return result
	}
	apply(Command{Advance: &Advance{}})
	apply(Command{JoinMember: &JoinMember{Member: Member{Name: "e", Incarnation: 1}}})
	begin := &BeginRequest{Key: RequestKey{Key: "k"}, Entry: "e", Incarnation: 1, Attempt: 1, Retention: time.Hour}
	apply(Command{BeginRequest: begin})
	apply(Command{FinishRequest: &FinishRequest{Key: begin.Key, Entry: "e", Attempt: 1, Outcome: OutcomeDone}})
	for _, ahead := range []time.Duration{30 * 24 * time.Hour, time.Second, -30 * 24 * time.Hour, time.Second} {
		now = now.Add(ahead)
		apply(Command{Advance: &Advance{}})
	}
	begin.Attempt = 2
	if got := apply(Command{BeginRequest: begin}); got.Request == nil || got.Request.Dispatch {
		t.Errorf("repeated request after a clock jump: result %+v, want no dispatch", got)
	}
	for range int(time.Hour/MaxRetentionStep) + 1 {
		now = now.Add(MaxRetentionStep)
		apply(Command{Advance: &Advance{}})
	}
	if kept := len(s.requests); kept != 0 {
		t.Errorf("%d request records are left after their retention, want 0", kept)
	}
}
