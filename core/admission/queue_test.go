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

// offerRequests offers n requests of a team with IDs from first on and returns the refused ones.
func offerRequests(q *Queue, team cell.Team, first, n int) []Refused {
	var refused []Refused
	for i := range n {
		refused = append(refused, q.Offer(start, Request{ID: uint64(first + i), Team: team, Deadline: start.Add(time.Hour)})...)
	}
	return refused
}

// dispatchAndFinish dispatches and finishes up to n requests and counts them by team.
func dispatchAndFinish(q *Queue, n int, delay time.Duration) map[cell.Team]int {
	counts := map[cell.Team]int{}
	now := start
	for range n {
		candidates := q.Candidates()
		if len(candidates) == 0 {
			break
		}
		next := candidates[0]
		now = now.Add(delay)
		q.Take(now, next)
		counts[next.Team]++
		q.Finished(now, Completion{Answered: true, Delay: delay})
	}
	return counts
}

// TestSharesOfTeams guards against teams that get more than their share: teams that both wait are
// served by share, a team that waits alone is served fully, and a full queue is divided by share as
// well.
func TestSharesOfTeams(t *testing.T) {
	q := newTestQueue(ShedOldest, 400, 1)
	offerRequests(q, "a", 1, 100)
	offerRequests(q, "b", 1001, 100)
	if got := dispatchAndFinish(q, 80, time.Millisecond); got["a"] != 60 || got["b"] != 20 {
		t.Errorf("served %v of 80, want 60 of a and 20 of b", got)
	}
	if got := dispatchAndFinish(q, 120, time.Millisecond); got["a"] != 40 || got["b"] != 80 {
		t.Errorf("then served %v of 120, want 40 of a and 80 of b", got)
	}
	offerRequests(q, "b", 2001, 10)
	if got := dispatchAndFinish(q, 10, time.Millisecond); got["b"] != 10 {
		t.Errorf("served %v of team b alone, want 10", got)
	}

	q = newTestQueue(ShedOldest, 40, 1)
	offerRequests(q, "b", 1, 40)
	refused := offerRequests(q, "a", 1001, 60)
	by := map[Refusal]int{}
	for _, r := range refused {
		by[r.Reason]++
		if r.Request.Team == "b" && r.Reason != RefusalShareExceeded {
			t.Errorf("request of team b refused with %s, want share-exceeded", r.Reason)
		}
	}
	if by[RefusalShareExceeded] != 30 || q.Waiting() != 40 {
		t.Errorf("refused %v, %d waiting; want 30 of b refused as share-exceeded and 40 waiting", by, q.Waiting())
	}
}

// TestShedOrder guards against a shed order other than the configured one, and against refusals
// that name the wrong request.
func TestShedOrder(t *testing.T) {
	for order, want := range map[ShedOrder]uint64{ShedOldest: 1, ShedNewest: 4} {
		q := newTestQueue(order, 3, 1)
		refused := offerRequests(q, "a", 1, 4)
		if len(refused) != 1 || refused[0].Request.ID != want || refused[0].Reason != RefusalQueueFull {
			t.Errorf("%s: refused %+v, want %d", order, refused, want)
		}
	}
}

// TestDeadlines guards against requests that are queued although they cannot be answered by their
// deadline.
func TestDeadlines(t *testing.T) {
	q := newTestQueue(ShedOldest, 400, 1)
	offerRequests(q, "a", 1, 200)
	dispatchAndFinish(q, 100, 10*time.Millisecond) // one dispatch every 10 ms, 100 still wait
	now := start.Add(time.Second)
	for _, c := range []struct {
		after  time.Duration
		refuse bool
	}{{-time.Millisecond, true}, {900 * time.Millisecond, true}, {1200 * time.Millisecond, false}} {
		refused := q.Offer(now, Request{ID: 9999, Team: "a", Deadline: now.Add(c.after)})
		if got := len(refused) == 1 && refused[0].Reason == RefusalDeadline; got != c.refuse {
			t.Errorf("deadline in %v: refused %+v", c.after, refused)
		}
		q.Remove(9999)
	}
	q.Offer(now, Request{ID: 5000, Team: "b", Deadline: now.Add(50 * time.Millisecond)})
	expired := q.Expire(now.Add(50 * time.Millisecond))
	if len(expired) != 1 || expired[0].Request.ID != 5000 {
		t.Errorf("expired %+v, want request 5000 only", expired)
	}
}

// TestRetries guards against retries beyond the budget and against retries that queue behind new
// requests.
func TestRetries(t *testing.T) {
	q := newTestQueue(ShedOldest, 400, 1000)
	offerRequests(q, "a", 1, 1)
	granted := 0
	for i := range 100 {
		if len(q.Offer(start, Request{ID: uint64(100 + i), Team: "a", Retry: true, Deadline: start.Add(time.Hour)})) == 0 {
			granted++
		}
	}
	if granted != maxRetryTokens {
		t.Errorf("%d retries granted without requests, want %d", granted, maxRetryTokens)
	}
	if all := q.Candidates(); len(all) != maxRetryTokens+1 || all[0].ID != 100 || all[maxRetryTokens].ID != 1 {
		t.Errorf("candidates %+v, want the retries followed by the new request", all)
	}
	offerRequests(q, "a", 1000, 50)
	granted = 0
	for i := range 100 {
		if len(q.Offer(start, Request{ID: uint64(300 + i), Team: "a", Retry: true, Deadline: start.Add(time.Hour)})) == 0 {
			granted++
		}
	}
	if granted != 5 {
		t.Errorf("%d retries after 50 requests, want 5", granted)
	}
}

// TestLearnedLimit guards against a concurrency limit that collapses under random delays without
// congestion, as in an earlier version. It also checks that the limit decreases while answers are
// slow, recovers, and never exceeds its ceiling.
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
		t.Errorf("limit %v without congestion, want at least 50", l.limit)
	}
	run(1500, 250*time.Millisecond)
	if l.limit > 40 {
		t.Errorf("limit %v with answers 5 times slower, want at most 40", l.limit)
	}
	run(20000, 50*time.Millisecond)
	if l.limit < 50 || l.limit > 60 {
		t.Errorf("limit %v after recovery, want 50 to 60", l.limit)
	}
	l.setCeiling(10)
	if l.limit != 10 {
		t.Errorf("limit %v after the ceiling was set to 10, want 10", l.limit)
	}
}

// TestRetryAfterIsSpread guards against callers that are refused together and return together.
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
