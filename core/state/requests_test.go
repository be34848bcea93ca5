package state_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// simEntry simulates an entry process with the attempts that it may dispatch. It learns of its
// removal only from the result of its next BeginRequest or JoinMember.
type simEntry struct {
	name        cell.EntryName
	incarnation cell.Incarnation
	attempts    map[uint64]*attempt
}

type attempt struct {
	begin    state.BeginRequest
	executed bool
	closed   bool // the dispatch window has passed, or the outcome was sent
}

func (sim *simCell) drawEntry(t *rapid.T) *simEntry {
	return rapid.SampledFrom(sim.entries).Draw(t, "entry")
}

// join starts an entry process, or restarts it after a crash, which loses its attempts.
func (sim *simCell) join(t *rapid.T) {
	sim.joinEntry(t, sim.drawEntry(t))
}

func (sim *simCell) joinEntry(t *rapid.T, e *simEntry) {
	e.incarnation++
	e.attempts = map[uint64]*attempt{}
	result := sim.send(t, state.Command{JoinMember: &state.JoinMember{
		Member: state.Member{Name: e.name, Incarnation: e.incarnation, Address: "127.0.0.1:1"},
	}})
	if result.Refusal != state.RefusalNone {
		t.Fatalf("join of a new incarnation: %+v", result)
	}
}

// leave removes an entry process that the leader considers lost. The process may only be paused, and
// then continues with its attempts.
func (sim *simCell) leave(t *rapid.T) {
	e := sim.drawEntry(t)
	sim.send(t, state.Command{LeaveMember: &state.LeaveMember{Name: e.name, Incarnation: e.incarnation}})
}

func (sim *simCell) begin(t *rapid.T) {
	e := sim.drawEntry(t)
	sim.attempts++
	c := state.BeginRequest{
		Key:         state.RequestKey{Service: "s", Team: "a", Key: rapid.SampledFrom([]string{"r0", "r1", "r2"}).Draw(t, "request")},
		Digest:      uint64(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "digest")),
		Entry:       e.name,
		Incarnation: e.incarnation,
		Attempt:     sim.attempts,
		Retention:   time.Hour,
	}
	result := sim.send(t, state.Command{BeginRequest: &c})
	if rapid.Bool().Draw(t, "answer lost") {
		result = sim.send(t, state.Command{BeginRequest: &c})
	}
	if result.Request == nil {
		return
	}
	if result.Request.Dispatch {
		e.attempts[c.Attempt] = &attempt{begin: c}
	}
	sim.checkReplay(t, c, *result.Request)
}

// checkReplay asserts that a replayed answer is that of the attempt that executed the request.
func (sim *simCell) checkReplay(t *rapid.T, c state.BeginRequest, r state.RequestResult) {
	if r.State != state.RequestFinished {
		return
	}
	executedBy, known := sim.executed[c.Key]
	if !known || r.Dispatch || r.Answer == nil || string(r.Answer.Body) != fmt.Sprint(executedBy) {
		t.Fatalf("request %v was executed by attempt %d, but the result is %+v", c.Key, executedBy, r)
	}
}

// dispatch executes a request, or finds that the backend server accepted no byte of it.
func (sim *simCell) dispatch(t *rapid.T) {
	e := sim.drawEntry(t)
	if len(e.attempts) == 0 {
		t.Skip("the entry process has no attempts")
	}
	a := e.attempts[rapid.SampledFrom(sortedKeys(e.attempts)).Draw(t, "attempt")]
	outcome := state.OutcomeNotRun
	switch {
	case a.executed:
		outcome = rapid.SampledFrom([]state.Outcome{state.OutcomeDone, state.OutcomeUnknown}).Draw(t, "outcome")
	case !a.closed && rapid.Bool().Draw(t, "accepted"):
		a.executed = true
		if other, twice := sim.executed[a.begin.Key]; twice {
			t.Fatalf("request %v is executed by attempts %d and %d", a.begin.Key, other, a.begin.Attempt)
		}
		sim.executed[a.begin.Key] = a.begin.Attempt
		return
	}
	a.closed = true
	sim.finish(t, a, outcome)
}

// expireAttempts ends the dispatch windows and removes the requests whose records have expired, so
// that their keys count as new.
func (sim *simCell) expireAttempts() {
	for _, e := range sim.entries {
		for id, a := range e.attempts {
			a.closed = true
			if sim.replicas[0].Query(state.Query{Request: &state.RequestQuery{Key: a.begin.Key}}).Request == nil {
				delete(e.attempts, id)
			}
		}
	}
	for key := range sim.executed {
		if sim.replicas[0].Query(state.Query{Request: &state.RequestQuery{Key: key}}).Request == nil {
			delete(sim.executed, key)
		}
	}
}

func (sim *simCell) finish(t *rapid.T, a *attempt, outcome state.Outcome) {
	c := state.FinishRequest{Key: a.begin.Key, Entry: a.begin.Entry, Attempt: a.begin.Attempt, Outcome: outcome}
	if outcome == state.OutcomeDone {
		c.Answer = &state.StoredAnswer{Status: 200, Body: fmt.Append(nil, a.begin.Attempt)}
	}
	result := sim.send(t, state.Command{FinishRequest: &c})
	if outcome == state.OutcomeNotRun && result.Refusal == state.RefusalNone && a.executed {
		t.Fatalf("attempt %d was executed but is recorded as not run", a.begin.Attempt)
	}
}
