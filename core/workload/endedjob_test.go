package workload

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// endedState has jobs of two teams that were cancelled at the retention clock 0, one of them with an open run.
func endedState(t *testing.T) *State {
	t.Helper()
	s := New()
	apply := func(c Command) {
		t.Helper()
		if got := s.Apply(time.Unix(1000, 0), 0, c); got.Refusal != RefusalNone {
			t.Fatalf("%+v is refused: %s", c, got.Refusal)
		}
	}
	apply(Command{Configure: &Config{Version: 1, KeysRequired: true, Queues: []Queue{{Name: "q", Service: "s", MaxAttempts: 1}}, Teams: []Team{{Name: "a", Weight: 100}, {Name: "b", Weight: 100}}}})
	apply(Command{Register: &Register{Worker{ID: "w", Boot: 1, Service: "s", Capacity: Resources{MilliCPU: 100}}}})
	for id, team := range map[JobID]TeamName{"a1": "a", "b1": "b", "open": "a"} {
		apply(Command{Submit: &Submit{ID: id, Team: team, Spec: JobSpec{Queue: "q", Payload: "payload", Steps: []StepSpec{{Tasks: 3}}}}})
	}
	apply(Command{Decide: &Decide{Assigns: []Assign{{Step: StepID{Job: "open"}, Members: []TaskAssignment{{Worker: "w", Boot: 1}}}}}})
	for _, id := range []JobID{"a1", "b1", "open"} {
		apply(Command{Cancel: &Cancel{ID: id, Team: map[JobID]TeamName{"a1": "a", "b1": "b", "open": "a"}[id]}})
	}
	return s
}

func expectNoViolation(t *testing.T, s *State) {
	t.Helper()
	if violations := s.Audit(); len(violations) > 0 {
		t.Error(violations)
	}
}

// Guards against the payload of an ended job that is kept, and against one that is dropped while a start may still
// be sent.
func TestPayloadOfEndedJobIsReleased(t *testing.T) {
	s := endedState(t)
	if s.Job("a1").Spec.Payload != "" || s.Job("open").Spec.Payload == "" {
		t.Errorf("payloads %q and, with an open run, %q", s.Job("a1").Spec.Payload, s.Job("open").Spec.Payload)
	}
	s.Apply(time.Unix(1001, 0), 0, Command{Decide: &Decide{Ends: []EndedRun{{Worker: "w", Boot: 1, Task: StepID{Job: "open"}.Task(0), Run: 1, How: EndStopped}}}})
	if s.Job("open").Spec.Payload != "" {
		t.Error("the payload is kept after the last run")
	}
	expectNoViolation(t, s)
}

// Guards against an ended job without steps that is answered otherwise than before: to a read, a repeated
// submission, a cancellation, and to another team.
func TestEndedJobWithoutStepsIsRecognised(t *testing.T) {
	s := endedState(t)
	s.Expire(endedDetailRetention, 0)
	if s.Job("a1") != nil || s.Job("open") == nil {
		t.Fatal("the steps of a job without open runs are kept, or those of one with an open run are not")
	}
	restored, err := Restore(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := restored.Snapshot(), s.Snapshot(); !reflect.DeepEqual(got, want) {
		t.Errorf("restored %+v, want %+v", got, want)
	}
	for name, s := range map[string]*State{"kept": s, "restored": restored} {
		expectNoViolation(t, s)
		submit := func(team TeamName) Result {
			return s.Apply(time.Unix(1002, 0), endedDetailRetention, Command{Submit: &Submit{ID: "a1", Team: team, Spec: JobSpec{Queue: "q", Steps: []StepSpec{{Tasks: 1}}}}})
		}
		if got := submit("a"); got.State != JobCancelled || got.Refusal != RefusalNone {
			t.Errorf("%s: repeated submission: %+v", name, got)
		}
		if got := submit("b"); got.Refusal != RefusalOtherTeam {
			t.Errorf("%s: submission of another team: %+v", name, got)
		}
		if job := s.JobFor("a1", Caller{Team: "a"}); job == nil || job.State != JobCancelled {
			t.Errorf("%s: read %+v", name, job)
		}
		if s.JobFor("a1", Caller{Team: "b"}) != nil {
			t.Errorf("%s: another team may read the job", name)
		}
		if got := s.Apply(time.Unix(1002, 0), endedDetailRetention, Command{Cancel: &Cancel{ID: "a1", Team: "a"}}); got.State != JobCancelled {
			t.Errorf("%s: cancellation: %+v", name, got)
		}
		s.Expire(JobRetention-1, 0)
		if !s.Knows("a1") {
			t.Errorf("%s: forgotten before its retention is over", name)
		}
		s.Expire(JobRetention, 0)
		if s.Knows("a1") || !s.Knows("open") {
			t.Errorf("%s: known after its retention, or a job with an open run is not", name)
		}
		expectNoViolation(t, s)
	}
}

// Guards against jobs that are forgotten in another order than they end, after one had an open run for long.
func TestEndedJobsExpireInTheOrderOfTheirEnds(t *testing.T) {
	s := endedState(t)
	for i := range 5 {
		at, id := time.Duration(i+1)*time.Minute, JobID(fmt.Sprint(i))
		s.Apply(time.Unix(1003, 0), at, Command{Submit: &Submit{ID: id, Spec: JobSpec{Queue: "q", Steps: []StepSpec{{Tasks: 1}}}}})
		s.Apply(time.Unix(1003, 0), at, Command{Cancel: &Cancel{ID: id}})
		s.Expire(at, 0)
	}
	s.Apply(time.Unix(1004, 0), 8*time.Minute, Command{Decide: &Decide{Ends: []EndedRun{{Worker: "w", Boot: 1, Task: StepID{Job: "open"}.Task(0), Run: 1, How: EndStopped}}}})
	s.Expire(8*time.Minute, 0)
	if wait, known := s.NextRelease(); !known || wait != 2*time.Minute {
		t.Errorf("next release after %v, %v", wait, known)
	}
	s.Expire(JobRetention+time.Minute, 0)
	for id, want := range map[JobID]bool{"a1": false, "open": false, "0": false, "1": true, "4": true} {
		if s.Knows(id) != want {
			t.Errorf("job %s is known: %v, want %v", id, s.Knows(id), want)
		}
	}
	expectNoViolation(t, s)
}
