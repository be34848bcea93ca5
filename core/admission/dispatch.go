package admission

import (
	"math"
	"slices"
	"time"
)

// Candidates returns the requests that may be dispatched next, in order of preference, without
// removing them: all retries and the next new request. There can be several because a retry may not
// go to the servers that it has tried, and other requests must not wait for it. Candidates returns
// nil if the concurrency limit is reached.
func (q *Queue) Candidates() []Request {
	if !q.limiter.allows(q.inFlight) {
		return nil
	}
	candidates := slices.Clone(q.retries)
	if team := q.nextTeam(); team != nil {
		candidates = append(candidates, team.requests[0])
	}
	return candidates
}

// Take removes one of the Candidates and counts it as in flight. The caller must call Finished when
// the request ends.
func (q *Queue) Take(now time.Time, r Request) {
	if !q.Remove(r.ID) {
		return
	}
	q.inFlight++
	if r.Retry {
		return
	}
	team := q.teams[r.Team]
	q.virtualTime = team.virtualStart
	team.virtualStart += 1 / team.share
	q.recordDispatch(now)
}

func (q *Queue) recordDispatch(now time.Time) {
	if q.wasBacklogged {
		since := now.Sub(q.lastDispatch)
		if q.dispatchInterval == 0 {
			q.dispatchInterval = since
		}
		q.dispatchInterval += time.Duration(dispatchIntervalWeight * float64(since-q.dispatchInterval))
	}
	q.lastDispatch = now
	q.wasBacklogged = q.waitingNew > 0
}

// Remove removes a waiting request, for example because its caller has disconnected, and reports
// whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	for i, r := range q.retries {
		if r.ID == id {
			q.retries = slices.Delete(q.retries, i, i+1)
			return true
		}
	}
	for _, team := range q.teams {
		for i, r := range team.requests {
			if r.ID == id {
				team.requests = slices.Delete(team.requests, i, i+1)
				q.waitingNew--
				return true
			}
		}
	}
	return false
}

// Expire removes and returns the waiting requests that can no longer be answered by their deadline.
func (q *Queue) Expire(now time.Time) []Refused {
	var refused []Refused
	late := func(r Request) bool {
		if r.Deadline.Sub(now) > q.minAnswerTime() {
			return false
		}
		refused = append(refused, Refused{Request: r, Reason: RefusalDeadline})
		return true
	}
	q.retries = slices.DeleteFunc(q.retries, late)
	for _, name := range q.teamNames {
		team := q.teams[name]
		before := len(team.requests)
		team.requests = slices.DeleteFunc(team.requests, late)
		q.waitingNew -= before - len(team.requests)
	}
	return refused
}

// Finished records the end of a request for which Take was called.
func (q *Queue) Finished(now time.Time, s Completion) {
	inFlight := q.inFlight
	q.inFlight = max(0, q.inFlight-1)
	if s.Answered {
		q.limiter.recordAnswer(now, s.Delay, inFlight)
	}
}

const (
	// minRetryAfter is the least time that a refused caller is told to wait.
	minRetryAfter = time.Second
	// minRetryAfterSpread is the least random spread of that time, so that callers that were
	// refused together do not return together.
	minRetryAfterSpread = 4 * time.Second
)

// RetryAfter returns how long a refused caller should wait: the expected time to drain the queue
// plus a random spread, in whole seconds.
func (q *Queue) RetryAfter() time.Duration {
	drain := max(minRetryAfter, time.Duration(q.waitingNew)*q.dispatchInterval)
	spread := max(minRetryAfterSpread, drain)
	wait := drain + time.Duration(q.opts.Random.Float64()*float64(spread))
	return time.Duration(math.Ceil(wait.Seconds())) * time.Second
}

func (q *Queue) nextTeam() *teamQueue {
	var next *teamQueue
	for _, name := range q.teamNames {
		team := q.teams[name]
		if len(team.requests) == 0 {
			continue
		}
		if next == nil || team.virtualStart < next.virtualStart {
			next = team
		}
	}
	return next
}
