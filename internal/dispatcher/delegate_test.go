package dispatcher

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/proxying"
)

// recordingDelegate keeps the calls that it gets.
type recordingDelegate struct{ calls []proxying.Calls }

func (d *recordingDelegate) Send(calls proxying.Calls) { d.calls = append(d.calls, calls) }

// loopWithWorkers returns an event loop whose leader calls the given number of workers.
func loopWithWorkers(t *testing.T, client WorkerClient, workers int) (*eventLoop, *recordingDelegate) {
	state := workload.New()
	for i := range workers {
		state.Apply(time.Now(), 0, workload.Command{Register: &workload.Register{Worker: workload.Worker{ID: workload.WorkerID(rune('a' + i)), Boot: 1}}})
	}
	l, delegate := leaderLoop(t, client), &recordingDelegate{}
	l.opts.Delegate, l.opts.DelegateAbove = delegate, 10
	l.term.number, l.term.core = 3, dispatch.New(dispatch.Options{}, state, time.Now())
	return l, delegate
}

// Guards against calls that go another way than before up to the number of workers in the settings.
func TestCallsAreNotDelegatedBelowTheThreshold(t *testing.T) {
	client := &countingClient{}
	l, delegate := loopWithWorkers(t, client, 10)
	defer l.term.cancel()
	l.execute(dispatch.Effects{Holds: make([]dispatch.Hold, 1), Starts: []dispatch.Start{{Timeout: time.Second}}, Stops: make([]dispatch.Stop, 1)})
	for range 3 {
		<-l.results
	}
	if want := (countingClient{1, 1, 1}); *client != want || len(delegate.calls) > 0 {
		t.Errorf("sent %+v, delegated %+v; want %+v and nothing", *client, delegate.calls, want)
	}
}

// Guards against calls that are sent twice, by the leader and by a proxy, against results that do not reach
// the core, and against calls that come back from the delegate and are not sent.
func TestCallsAreDelegatedAboveTheThreshold(t *testing.T) {
	client := &countingClient{}
	l, delegate := loopWithWorkers(t, client, 11)
	defer l.term.cancel()
	hold := dispatch.Hold{Call: dispatch.Call{Worker: "a", Boot: 1}}
	l.execute(dispatch.Effects{Holds: []dispatch.Hold{hold}, Starts: make([]dispatch.Start, 1), Stops: make([]dispatch.Stop, 1)})
	if len(delegate.calls) != 1 || *client != (countingClient{}) {
		t.Fatalf("delegated %d batches, sent %+v", len(delegate.calls), *client)
	}
	got := delegate.calls[0]
	if got.Term != 3 || got.Workers != 11 || got.Lease != l.term.leaderLease || len(got.Holds) != 1 || len(got.Starts) != 1 || len(got.Stops) != 1 {
		t.Fatalf("delegated %+v", got)
	}
	got.Results <- proxying.Results{
		Holds:    []proxying.HoldResult{{Hold: hold, Report: dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer}}},
		OwnHolds: []dispatch.Hold{hold}, OwnStarts: []dispatch.Start{{Timeout: time.Second}}, OwnStops: make([]dispatch.Stop, 1),
	}
	l.handleResult(<-l.results)
	unresponsive := false
	for _, d := range l.term.core.Effects().Decisions {
		unresponsive = unresponsive || d.Kind == dispatch.DecisionUnresponsive && d.Worker == "a"
	}
	if !unresponsive {
		t.Error("the result of the hold has not reached the core")
	}
	for range 3 {
		<-l.results
	}
	if want := (countingClient{1, 1, 1}); *client != want {
		t.Errorf("sent %+v, want %+v", *client, want)
	}
}
