package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

var start = time.Unix(1_800_000_000, 0)

func newTestQueue(order ShedOrder, maxQueue, ceiling int) *Queue {
	q := New(Options{
		MaxQueue: maxQueue, Shares: map[cell.Team]float64{"a": 0.6, "b": 0.2}, RetryBudget: 0.1,
		Order: order, Random: rand.New(rand.NewPCG(1, 1)),
	})
	q.SetCeiling(ceiling)
	return q
}

// offerRequests offers n requests of a team with ids from first on and returns what was
// refused.
func offerRequests(q *Queue, team cell.Team, first, n int) []Refused {
	var refused []Refused
	for i := range n {
		refused = append(refused, q.Offer(start, Ticket{ID: uint64(first + i), Team: team, Deadline: start.Add(time.Hour)})...)
	}
	return refused
}

// dispatchAndFinish dispatches and ends n requests and counts them by team.
func dispatchAndFinish(q *Queue, n int, delay time.Duration) map[cell.Team]int {
	counts := map[cell.Team]int{}
	now := start
	for range n {
		candidates := q.Candidates()
		if len(candidates) == 0 {
			break
		}
		t := candidates[0]
		now = now.Add(delay)
		q.Take(now, t)
		counts[t.Team]++
		q.Finished(now, Sample{Answered: true, Delay: delay})
	}
	return counts
}

// Guards the shares: teams that both wait are served by share, one that waits
// alone gets everything, and a full queue is divided by share as well.
func TestSharesOfTeams(t *testing.T) {
	q := newTestQueue(ShedOldest, 400, 1)
	offerRequests(q, "a", 1, 100)
	offerRequests(q, "b", 1001, 100)
	if got := dispatchAndFinish(q, 80, time.Millisecond); got["a"] != 60 || got["b"] != 20 {
		t.Errorf("served %v of 80, want 60 and 20", got)
	}
	if got := dispatchAndFinish(q, 120, time.Millisecond); got["a"] != 40 || got["b"] != 80 {
		t.Errorf("then served %v, want the rest", got)
	}
	offerRequests(q, "b", 2001, 10)
	if got := dispatchAndFinish(q, 10, time.Millisecond); got["b"] != 10 {
		t.Errorf("alone served %v", got)
	}

	q = newTestQueue(ShedOldest, 40, 1)
	offerRequests(q, "b", 1, 40)
	refused := offerRequests(q, "a", 1001, 60)
	by := map[Refusal]int{}
	for _, r := range refused {
		by[r.Reason]++
		if r.Ticket.Team == "b" && r.Reason != RefusalShareExceeded {
			t.Errorf("b shed with %s", r.Reason)
		}
	}
	if by[RefusalShareExceeded] != 30 || q.Waiting() != 40 {
		t.Errorf("refused %v, %d waiting; want 30 of b displaced", by, q.Waiting())
	}
}

// Guards the shed order and that the refused request is the one named.
func TestShedOrder(t *testing.T) {
	for order, want := range map[ShedOrder]uint64{ShedOldest: 1, ShedNewest: 4} {
		q := newTestQueue(order, 3, 1)
		refused := offerRequests(q, "a", 1, 4)
		if len(refused) != 1 || refused[0].Ticket.ID != want || refused[0].Reason != RefusalQueueFull {
			t.Errorf("%s: refused %+v, want %d", order, refused, want)
		}
	}
}

// Guards against requests that wait although they cannot be answered in time.
func TestDeadlines(t *testing.T) {
	q := newTestQueue(ShedOldest, 400, 1)
	offerRequests(q, "a", 1, 200)
	dispatchAndFinish(q, 100, 10*time.Millisecond) // one departure each 10 ms, 100 wait
	now := start.Add(time.Second)
	for _, c := range []struct {
		after  time.Duration
		refuse bool
	}{{-time.Millisecond, true}, {900 * time.Millisecond, true}, {1200 * time.Millisecond, false}} {
		refused := q.Offer(now, Ticket{ID: 9999, Team: "a", Deadline: now.Add(c.after)})
		if got := len(refused) == 1 && refused[0].Reason == RefusalDeadline; got != c.refuse {
			t.Errorf("deadline in %v: refused %+v", c.after, refused)
		}
		q.Remove(9999)
	}
	q.Offer(now, Ticket{ID: 5000, Team: "b", Deadline: now.Add(50 * time.Millisecond)})
	expired := q.Expire(now.Add(50 * time.Millisecond))
	if len(expired) != 1 || expired[0].Ticket.ID != 5000 {
		t.Errorf("expired %+v", expired)
	}
}

// Guards the retry budget and that a retry goes first.
func TestRetries(t *testing.T) {
	q := newTestQueue(ShedOldest, 400, 1000)
	offerRequests(q, "a", 1, 1)
	granted := 0
	for i := range 100 {
		if len(q.Offer(start, Ticket{ID: uint64(100 + i), Team: "a", Retry: true, Deadline: start.Add(time.Hour)})) == 0 {
			granted++
		}
	}
	if granted != maxRetryTokens {
		t.Errorf("%d retries without requests, want the reserve of %d", granted, maxRetryTokens)
	}
	if all := q.Candidates(); len(all) != maxRetryTokens+1 || all[0].ID != 100 || all[maxRetryTokens].ID != 1 {
		t.Errorf("candidates %+v, want the retries and then the new request", all)
	}
	offerRequests(q, "a", 1000, 50)
	granted = 0
	for i := range 100 {
		if len(q.Offer(start, Ticket{ID: uint64(300 + i), Team: "a", Retry: true, Deadline: start.Add(time.Hour)})) == 0 {
			granted++
		}
	}
	if granted != 5 {
		t.Errorf("%d retries after 50 requests, want 5", granted)
	}
}

// Guards the learned limit: it holds under noise without congestion, which made
// an earlier version collapse, shrinks while answers are slow, recovers, and
// never passes its ceiling.
func TestLearnedLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	l := &limiter{}
	l.setCeiling(60)
	now := start
	run := func(answers int, mean time.Duration) {
		for range answers {
			now = now.Add(mean / 50)
			l.recordAnswer(now, time.Duration(random.ExpFloat64()*float64(mean)), 50)
		}
	}
	run(20000, 50*time.Millisecond)
	if l.limit < 50 {
		t.Errorf("limit %v without congestion, want the ceiling", l.limit)
	}
	run(1500, 250*time.Millisecond)
	if l.limit > 40 {
		t.Errorf("limit %v with answers 5 times slower", l.limit)
	}
	run(20000, 50*time.Millisecond)
	if l.limit < 50 || l.limit > 60 {
		t.Errorf("limit %v after recovery, want up to 60", l.limit)
	}
	l.setCeiling(10)
	if l.limit != 10 {
		t.Errorf("limit %v above its ceiling", l.limit)
	}
}

// Guards against callers that are refused together and return together.
func TestRetryAfterIsSpread(t *testing.T) {
	q := newTestQueue(ShedOldest, 400, 1)
	seen := map[time.Duration]int{}
	for range 100 {
		wait := q.RetryAfter()
		if wait < time.Second || wait%time.Second != 0 {
			t.Fatalf("Retry-After of %v", wait)
		}
		seen[wait]++
	}
	if len(seen) < 4 {
		t.Errorf("only %d different waits: %v", len(seen), seen)
	}
}
