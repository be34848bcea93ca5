package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
)

// timedWorker answers the calls to "w" after a round trip, or never. The calls without an answer end with
// their timeouts.
type timedWorker struct {
	b         *testbed
	roundTrip time.Duration
	answers   func(dispatch.Call) bool
	queue     []lateCall
	holds     []dispatch.Hold // all that were sent
	starts    []dispatch.Start
	stops     []dispatch.Stop
}

func newTimedWorker(b *testbed, roundTrip time.Duration) *timedWorker {
	return &timedWorker{b: b, roundTrip: roundTrip, answers: func(dispatch.Call) bool { return true }}
}

func (w *timedWorker) call(call dispatch.Call, wait time.Duration, end func(dispatch.Outcome)) {
	after, outcome := call.Timeout, dispatch.OutcomeNoAnswer
	if w.answers(call) && wait+w.roundTrip < call.Timeout {
		after, outcome = wait+w.roundTrip, dispatch.OutcomeOK
	}
	w.queue = append(w.queue, lateCall{at: w.b.now.Add(after).Sub(epoch), do: func() { end(outcome) }})
}

// runFor runs the core in steps of 2 ms.
func (w *timedWorker) runFor(d time.Duration) {
	for deadline := w.b.now.Add(d); w.b.now.Before(deadline); {
		e := w.b.tick(2 * time.Millisecond)
		due := w.queue
		w.queue = nil
		for _, c := range due {
			if c.at <= w.b.now.Sub(epoch) {
				c.do()
			} else {
				w.queue = append(w.queue, c)
			}
		}
		for _, p := range e.Proposals {
			w.b.core.Apply(w.b.now, w.b.now, 0, p.Command)
			w.b.core.ProposalCommitted(w.b.now, p.ID)
		}
		for _, h := range e.Holds {
			w.holds = append(w.holds, h)
			w.call(h.Call, h.Wait, func(outcome dispatch.Outcome) {
				report := dispatch.HoldReport{Outcome: outcome, Boot: h.Boot, Clock: w.b.now.Sub(epoch).Milliseconds() + 1000}
				w.b.core.HoldAnswered(w.b.now, h.Call, report)
			})
		}
		for _, s := range e.Starts {
			w.starts = append(w.starts, s)
			w.call(s.Call, 0, func(outcome dispatch.Outcome) { w.b.core.StartAnswered(w.b.now, s, outcome, 0) })
		}
		for _, s := range e.Stops {
			w.stops = append(w.stops, s)
			w.call(s.Call, 0, func(outcome dispatch.Outcome) { w.b.core.StopAnswered(w.b.now, s, outcome, 0) })
		}
	}
}

// With constant timeouts the first repetition of a hold that was not answered came 600 ms after its wait, the
// second one 850 ms later. Where half of the calls get no answer, most of the worth was lost (issue 12).
func TestUnansweredHoldIsRepeatedSoon(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1))
	w := newTimedWorker(b, 16*time.Millisecond)
	w.runFor(5 * time.Second)
	answered := len(w.holds)
	w.answers = func(dispatch.Call) bool { return false }
	w.runFor(3 * time.Second)
	unanswered := w.holds[answered:]
	if len(unanswered) < 3 {
		t.Fatalf("%d holds in 3 s after the last answer", len(unanswered))
	}
	first := unanswered[1].SentAt.Sub(unanswered[0].SentAt) - unanswered[0].Wait
	second := unanswered[2].SentAt.Sub(unanswered[1].SentAt)
	if first > 200*time.Millisecond || second > 300*time.Millisecond {
		t.Errorf("hold repeated %v after its wait and again after %v, want 200 and 300 ms at most beside a round trip of 16 ms", first, second)
	}
}

// A worker that stays silent must not be called in a storm: each call to it costs a new connection.
func TestHoldsToASilentWorkerBackOff(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1))
	w := newTimedWorker(b, 16*time.Millisecond)
	w.runFor(5 * time.Second)
	w.answers = func(dispatch.Call) bool { return false }
	answered := len(w.holds)
	w.runFor(10 * time.Second)
	if sent := len(w.holds) - answered; sent > 20 {
		t.Errorf("%d holds in the first 10 s to a silent worker, want two a second at most", sent)
	}
	answered = len(w.holds)
	w.runFor(15 * time.Second)
	// One every 1.6 s, a timeout of 600 ms and a delay of 1 s, as before the timeouts followed from the answers.
	if sent := len(w.holds) - answered; sent > 10 {
		t.Errorf("%d holds in 15 s to a worker that has been silent for 10 s, want 10 at most", sent)
	}
}

// A worker whose answers have become slower than its timeout must be heard again, and its later answers must
// not count as lost.
func TestWorkerThatHasBecomeSlowerIsHeardAgain(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1))
	w := newTimedWorker(b, 16*time.Millisecond)
	w.runFor(5 * time.Second)
	w.roundTrip = 250 * time.Millisecond
	w.runFor(5 * time.Second)
	w.roundTrip = 300 * time.Millisecond
	sent := len(w.holds)
	w.runFor(10 * time.Second)
	for _, h := range w.holds[sent:] {
		if h.Timeout-h.Wait < w.roundTrip {
			t.Fatalf("timeout %v for a round trip of %v", h.Timeout-h.Wait, w.roundTrip)
		}
	}
}

// A member of a gang that is given up costs the run of the whole gang. As long as the worker answers holds,
// the start is repeated for the time that the other members wait, not a number of times.
func TestStartIsRepeatedWhileTheWorkerAnswers(t *testing.T) {
	const lostFor = 1500 * time.Millisecond
	b := newTestbed(t, registerWorker("w", 1))
	w := newTimedWorker(b, 16*time.Millisecond)
	w.runFor(2 * time.Second)
	b.apply(submitJob("j", oneTask))
	submitted := b.now
	isStart := func(call dispatch.Call) bool {
		return len(w.starts) > 0 && w.starts[len(w.starts)-1].SentAt.Equal(call.SentAt)
	}
	w.answers = func(call dispatch.Call) bool { return !isStart(call) || call.SentAt.Sub(submitted) > lostFor }
	w.runFor(lostFor + 500*time.Millisecond)
	first := slices.DeleteFunc(slices.Clone(w.starts), func(s dispatch.Start) bool { return s.Run != 1 })
	if len(first) < 4 || !w.answers(first[len(first)-1].Call) {
		t.Errorf("%d starts of run 1, want one that is repeated until its answer after %v", len(first), lostFor)
	}
	if len(w.stops) > 0 {
		t.Errorf("stops %+v", w.stops)
	}
}
