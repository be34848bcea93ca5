package admission

import (
	"math"
	"slices"
	"time"
)

// Candidates returns the requests that may be dispatched next, best first,
// without removing them: the retries and the next new request. A retry may not
// go to the servers that it has tried, so the others must not wait for it. It
// returns none where the concurrency limit is reached.
func (q *Queue) Candidates() []Ticket {
	if !q.limiter.allows(q.inFlight) {
		return nil
	}
	candidates := slices.Clone(q.retries)
	if team := q.nextTeam(); team != nil {
		candidates = append(candidates, team.tickets[0])
	}
	return candidates
}

// Take removes one of the Candidates and counts it as in flight.
// Finished must follow.
func (q *Queue) Take(now time.Time, t Ticket) {
	if !q.Remove(t.ID) {
		return
	}
	q.inFlight++
	if t.Retry {
		return
	}
	team := q.teams[t.Team]
	q.clock = team.virtual
	team.virtual += 1 / team.share
	q.departed(now)
}

func (q *Queue) departed(now time.Time) {
	if q.backlogged {
		since := now.Sub(q.dispatched)
		if q.interval == 0 {
			q.interval = since
		}
		q.interval += time.Duration(departureWeight * float64(since-q.interval))
	}
	q.dispatched = now
	q.backlogged = q.waiting > 0
}

// Remove drops a waiting request, for example because its caller went away.
func (q *Queue) Remove(id uint64) bool {
	for i, t := range q.retries {
		if t.ID == id {
			q.retries = slices.Delete(q.retries, i, i+1)
			return true
		}
	}
	for _, team := range q.teams {
		for i, t := range team.tickets {
			if t.ID == id {
				team.tickets = slices.Delete(team.tickets, i, i+1)
				q.waiting--
				return true
			}
		}
	}
	return false
}

// Expire removes and returns the waiting requests that can no longer be
// answered by their deadline.
func (q *Queue) Expire(now time.Time) []Refused {
	var refused []Refused
	late := func(t Ticket) bool {
		if t.Deadline.Sub(now) > q.shortestAnswer() {
			return false
		}
		refused = append(refused, Refused{Ticket: t, Reason: RefusalDeadline})
		return true
	}
	q.retries = slices.DeleteFunc(q.retries, late)
	for _, name := range q.names {
		team := q.teams[name]
		before := len(team.tickets)
		team.tickets = slices.DeleteFunc(team.tickets, late)
		q.waiting -= before - len(team.tickets)
	}
	return refused
}

// Finished records the end of a request that was taken.
func (q *Queue) Finished(now time.Time, s Sample) {
	inFlight := q.inFlight
	q.inFlight = max(0, q.inFlight-1)
	if s.Answered {
		q.limiter.answered(now, s.Delay, inFlight)
	}
}

const (
	// retryAfterMin is the least waiting time that a refused caller is told.
	retryAfterMin = time.Second
	// retryAfterSpread is the least spread, so that callers that were refused
	// together do not return together.
	retryAfterSpread = 4 * time.Second
)

// RetryAfter returns how long a refused caller is told to wait: the time that
// the queue needs, with a random spread, in whole seconds.
func (q *Queue) RetryAfter() time.Duration {
	drain := max(retryAfterMin, time.Duration(q.waiting)*q.interval)
	spread := max(retryAfterSpread, drain)
	wait := drain + time.Duration(q.opts.Random.Float64()*float64(spread))
	return time.Duration(math.Ceil(wait.Seconds())) * time.Second
}

func (q *Queue) nextTeam() *teamQueue {
	var next *teamQueue
	for _, name := range q.names {
		team := q.teams[name]
		if len(team.tickets) == 0 {
			continue
		}
		if next == nil || team.virtual < next.virtual {
			next = team
		}
	}
	return next
}
