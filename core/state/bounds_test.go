package state

import (
	"strconv"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Guards against lists that grow without a bound within their retention. The
// state is filled directly, because the bounds are far above what a test can
// reach by commands.
func TestNumbersAreBounded(t *testing.T) {
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
		s.ended = append(s.ended, j.id)
	}
	apply(Command{Advance: &Advance{}})
	if len(s.jobs) != MaxEndedJobs || len(s.jobKeys) != MaxEndedJobs || s.ended[0] != 6 {
		t.Errorf("%d jobs, %d keys, oldest %d", len(s.jobs), len(s.jobKeys), s.ended[0])
	}

	for i := range MaxRemovedMembers + 5 {
		name := cell.EntryName(strconv.Itoa(i))
		apply(Command{JoinMember: &JoinMember{Member: Member{Name: name, Incarnation: 1}}})
		apply(Command{LeaveMember: &LeaveMember{Name: name, Incarnation: 1}})
	}
	if len(s.left) != MaxRemovedMembers {
		t.Errorf("%d removed members are remembered", len(s.left))
	}

	apply(Command{JoinMember: &JoinMember{Member: Member{Name: "e", Incarnation: 1}}})
	begin := BeginRequest{Key: RequestKey{Key: "k"}, Entry: "e", Incarnation: 1, Retention: time.Hour}
	for begin.Attempt = 1; begin.Attempt <= maxReleased+5; begin.Attempt++ {
		apply(Command{BeginRequest: &begin})
		apply(Command{FinishRequest: &FinishRequest{Key: begin.Key, Entry: "e", Attempt: begin.Attempt, Outcome: OutcomeNotRun}})
	}
	if released := len(s.requests[begin.Key].released); released != maxReleased {
		t.Errorf("%d attempts are remembered", released)
	}
	for i := len(s.requests); i < MaxRequestRecords; i++ {
		s.requests[RequestKey{Service: "s", Key: strconv.Itoa(i)}] = nil
	}
	begin.Key.Key = "one too many"
	if result := apply(Command{BeginRequest: &begin}); result.Refusal != RefusalTooManyRequests {
		t.Errorf("a request above the limit: %+v", result)
	}
}

// Guards against a leader whose wall clock is far ahead: the records that keep
// requests from running twice must not be dropped at once.
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
		t.Errorf("a repeat after the clock was wrong: %+v", got)
	}
	for range int(time.Hour/MaxRetentionStep) + 1 {
		now = now.Add(MaxRetentionStep)
		apply(Command{Advance: &Advance{}})
	}
	if kept := len(s.requests); kept != 0 {
		t.Errorf("%d records are kept after their retention", kept)
	}
}
