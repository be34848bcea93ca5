package admission

import (
	"sort"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

const (
	// dispatchIntervalWeight is the weight of one interval between dispatches in the mean interval,
	// which predicts the waiting time.
	dispatchIntervalWeight = 0.05
	// minAnswerTimeFactor is the fraction of the mean delay below which the remaining time of a
	// request is considered too short for an answer.
	minAnswerTimeFactor = 0.5
	// A queue that has not been empty for standingQueueAge is a standing queue: it delays every
	// request without increasing the throughput. It is then limited to the number of requests that
	// are dispatched within standingQueueFactor mean delays, up to MaxQueue. Both values were
	// measured (docs/decisions/routing.md).
	standingQueueAge    = 250 * time.Millisecond
	standingQueueFactor = 0.75
	// minStandingQueueLimit is the least limit of a standing queue.
	minStandingQueueLimit = 4
)

// Queue is the request queue of one service. It also counts the requests in flight.
type Queue struct {
	opts        Options
	teams       map[cell.Team]*teamQueue
	teamNames   []cell.Team // sorted, for a deterministic order
	retries     []Request
	waitingNew  int // waiting requests other than retries
	inFlight    int
	limiter     limiter
	budget      retryBudget
	virtualTime float64 // of the last dispatch

	dispatchInterval time.Duration // mean time between dispatches while requests wait
	lastDispatch     time.Time
	wasBacklogged    bool      // requests were waiting at the last dispatch
	lastEmptyAt      time.Time // last time at which no new request was waiting
}

// teamQueue holds the waiting requests of one team, in order of arrival. virtualStart is the
// virtual time of its next dispatch, as in start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM
// 1996).
type teamQueue struct {
	share        float64
	virtualStart float64
	requests     []Request
}

// New returns an empty queue.
func New(opts Options) *Queue {
	q := &Queue{teams: map[cell.Team]*teamQueue{}, budget: newRetryBudget(opts.RetryBudget)}
	q.Configure(opts)
	return q
}

// Configure changes the settings. Waiting requests of removed teams stay in the queue.
func (q *Queue) Configure(opts Options) {
	q.opts = opts
	q.budget.tokensPerRequest = opts.RetryBudget
	for team, share := range opts.Shares {
		if q.teams[team] == nil {
			q.teams[team] = &teamQueue{virtualStart: q.virtualTime}
		}
		q.teams[team].share = max(share, minShare)
	}
	q.teamNames = q.teamNames[:0]
	for team, waiting := range q.teams {
		if _, ok := opts.Shares[team]; !ok && len(waiting.requests) == 0 {
			delete(q.teams, team)
			continue
		}
		q.teamNames = append(q.teamNames, team)
	}
	sort.Slice(q.teamNames, func(i, j int) bool { return q.teamNames[i] < q.teamNames[j] })
}

// minShare replaces a share of 0, which would starve a team.
const minShare = 0.001

// SetCeiling sets the upper bound of the concurrency limit.
func (q *Queue) SetCeiling(ceiling int) { q.limiter.setCeiling(ceiling) }

// Limit returns the concurrency limit.
func (q *Queue) Limit() int { return int(q.limiter.limit) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waitingNew + len(q.retries) }

// InFlight returns the number of requests in flight.
func (q *Queue) InFlight() int { return q.inFlight }

// Offer adds a request. It returns the requests that are refused as a result, which may include the
// request itself.
func (q *Queue) Offer(now time.Time, r Request) []Refused {
	if r.Retry {
		return q.offerRetry(now, r)
	}
	q.budget.addRequest()
	team := q.teams[r.Team]
	if team == nil {
		return refuseOne(r, RefusalUnknownTeam)
	}
	if !q.canMeetDeadline(now, team, r) {
		return refuseOne(r, RefusalDeadline)
	}
	if q.waitingNew == 0 {
		q.lastEmptyAt = now
	}
	shed := q.shedFor(now, team, r)
	if len(shed) == 1 && shed[0].Request.ID == r.ID {
		return shed
	}
	if len(team.requests) == 0 {
		team.virtualStart = max(team.virtualStart, q.virtualTime)
	}
	team.requests = append(team.requests, r)
	q.waitingNew++
	return shed
}

func (q *Queue) offerRetry(now time.Time, r Request) []Refused {
	if !r.Deadline.After(now) {
		return refuseOne(r, RefusalDeadline)
	}
	if !q.budget.takeRetry() {
		return refuseOne(r, RefusalRetryBudget)
	}
	q.retries = append(q.retries, r)
	return nil
}

// shedFor refuses a request if the queue is full. If the team is within its share of the queue, a
// request of the team that exceeds its share most is shed.
func (q *Queue) shedFor(now time.Time, team *teamQueue, r Request) []Refused {
	if q.waitingNew < q.maxWaiting(now) {
		return nil
	}
	victim := q.mostOverShare()
	if victim == nil {
		return refuseOne(r, RefusalQueueFull)
	}
	if victim != team {
		return q.shedFrom(victim, RefusalShareExceeded)
	}
	if q.opts.Order == ShedOldest && len(team.requests) > 0 {
		return q.shedFrom(team, RefusalQueueFull)
	}
	return refuseOne(r, RefusalQueueFull)
}

// maxWaiting returns how many new requests may wait now.
func (q *Queue) maxWaiting(now time.Time) int {
	if now.Sub(q.lastEmptyAt) < standingQueueAge || q.dispatchInterval == 0 {
		return q.opts.MaxQueue
	}
	served := int(standingQueueFactor * float64(q.limiter.meanDelay) / float64(q.dispatchInterval))
	return min(q.opts.MaxQueue, max(served, minStandingQueueLimit))
}

func (q *Queue) shedFrom(team *teamQueue, reason Refusal) []Refused {
	at := len(team.requests) - 1
	if q.opts.Order == ShedOldest {
		at = 0
	}
	shed := team.requests[at]
	team.requests = append(team.requests[:at], team.requests[at+1:]...)
	q.waitingNew--
	return refuseOne(shed, reason)
}

// mostOverShare returns the team with the most waiting requests relative to its share.
func (q *Queue) mostOverShare() *teamQueue {
	var most *teamQueue
	for _, name := range q.teamNames {
		team := q.teams[name]
		if len(team.requests) == 0 {
			continue
		}
		if most == nil || team.waitingPerShare() > most.waitingPerShare() {
			most = team
		}
	}
	return most
}

func (team *teamQueue) waitingPerShare() float64 { return float64(len(team.requests)) / team.share }

// canMeetDeadline reports whether the request is expected to be answered by its deadline, given the
// mean time between dispatches.
func (q *Queue) canMeetDeadline(now time.Time, team *teamQueue, r Request) bool {
	remaining := r.Deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	return remaining > q.expectedWait(team)+q.minAnswerTime()
}

func (q *Queue) expectedWait(team *teamQueue) time.Duration {
	if q.waitingNew == 0 || q.dispatchInterval == 0 {
		return 0
	}
	active := 0.0
	for _, name := range q.teamNames {
		if other := q.teams[name]; other == team || len(other.requests) > 0 {
			active += other.share
		}
	}
	ahead := float64(len(team.requests)) * active / team.share
	return time.Duration(ahead * float64(q.dispatchInterval))
}

func (q *Queue) minAnswerTime() time.Duration {
	return time.Duration(minAnswerTimeFactor * float64(q.limiter.meanDelay))
}

func refuseOne(r Request, reason Refusal) []Refused {
	return []Refused{{Request: r, Reason: reason}}
}
