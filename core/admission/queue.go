package admission

import (
	"sort"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

const (
	// departureWeight is the weight of one interval between dispatches in the
	// mean interval, which predicts the waiting time.
	departureWeight = 0.05
	// hopelessShare is the share of the mean delay below which the remaining
	// time of a request is taken to be too short for an answer.
	hopelessShare = 0.5
	// A queue that has not been empty for standingAfter is a standing one: it
	// delays every request and serves no more of them. It is then bounded by what
	// is dispatched within standingShare mean delays, as far as MaxQueue allows.
	// docs/decisions/routing.md has the measurement of both.
	standingAfter = 250 * time.Millisecond
	standingShare = 0.75
	// standingMin is the least bound of a standing queue.
	standingMin = 4
)

// Queue is the queue of one service. It counts the requests in flight as well.
type Queue struct {
	opts     Options
	teams    map[cell.Team]*teamQueue
	names    []cell.Team // sorted, for a fixed order
	retries  []Ticket
	waiting  int
	inFlight int
	limiter  limiter
	budget   budget
	clock    float64 // virtual time of the last dispatch

	interval   time.Duration // mean between dispatches while requests wait
	dispatched time.Time
	backlogged bool      // requests were waiting at the last dispatch
	emptyAt    time.Time // when no request was waiting last
}

// teamQueue is the waiting requests of one team, in order of arrival. virtual
// is the virtual time of its next dispatch, as in start-time fair queueing
// (Goyal, Vin and Cheng, SIGCOMM 1996).
type teamQueue struct {
	share   float64
	virtual float64
	tickets []Ticket
}

// New returns an empty queue.
func New(opts Options) *Queue {
	q := &Queue{teams: map[cell.Team]*teamQueue{}, budget: newBudget(opts.RetryBudget)}
	q.Configure(opts)
	return q
}

// Configure changes the settings. Requests of teams that are gone keep their
// place.
func (q *Queue) Configure(opts Options) {
	q.opts = opts
	q.budget.share = opts.RetryBudget
	for team, share := range opts.Shares {
		if q.teams[team] == nil {
			q.teams[team] = &teamQueue{virtual: q.clock}
		}
		q.teams[team].share = max(share, minShare)
	}
	q.names = q.names[:0]
	for team, waiting := range q.teams {
		if _, ok := opts.Shares[team]; !ok && len(waiting.tickets) == 0 {
			delete(q.teams, team)
			continue
		}
		q.names = append(q.names, team)
	}
	sort.Slice(q.names, func(i, j int) bool { return q.names[i] < q.names[j] })
}

// minShare keeps a team with share 0 from waiting for ever.
const minShare = 0.001

// SetCeiling states the largest number of requests in flight that the learned
// limit may reach.
func (q *Queue) SetCeiling(ceiling int) { q.limiter.setCeiling(ceiling) }

// Limit returns the learned limit of requests in flight.
func (q *Queue) Limit() int { return int(q.limiter.limit) }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return q.waiting + len(q.retries) }

// InFlight returns the number of requests that were taken and not finished.
func (q *Queue) InFlight() int { return q.inFlight }

// Offer adds a request. It returns the requests that are refused for it, which
// may include itself.
func (q *Queue) Offer(now time.Time, t Ticket) []Refused {
	if t.Retry {
		return q.offerRetry(now, t)
	}
	q.budget.request()
	team := q.teams[t.Team]
	if team == nil {
		return refuse(t, RefusalUnknownTeam)
	}
	if !q.reachable(now, team, t) {
		return refuse(t, RefusalDeadline)
	}
	if q.waiting == 0 {
		q.emptyAt = now
	}
	shed := q.makeRoom(now, team, t)
	if len(shed) == 1 && shed[0].Ticket.ID == t.ID {
		return shed
	}
	if len(team.tickets) == 0 {
		team.virtual = max(team.virtual, q.clock)
	}
	team.tickets = append(team.tickets, t)
	q.waiting++
	return shed
}

func (q *Queue) offerRetry(now time.Time, t Ticket) []Refused {
	if !t.Deadline.After(now) {
		return refuse(t, RefusalDeadline)
	}
	if !q.budget.retry() {
		return refuse(t, RefusalRetryBudget)
	}
	q.retries = append(q.retries, t)
	return nil
}

// makeRoom sheds a request where the queue is full. A team within its share of
// the queue displaces one of the team that exceeds its share most.
func (q *Queue) makeRoom(now time.Time, team *teamQueue, t Ticket) []Refused {
	if q.waiting < q.bound(now) {
		return nil
	}
	victim := q.mostOver()
	if victim == nil {
		return refuse(t, RefusalQueueFull)
	}
	if victim != team {
		return q.shedFrom(victim, RefusalShareExceeded)
	}
	if q.opts.Order == ShedOldest && len(team.tickets) > 0 {
		return q.shedFrom(team, RefusalQueueFull)
	}
	return refuse(t, RefusalQueueFull)
}

// bound returns how many requests may wait now.
func (q *Queue) bound(now time.Time) int {
	if now.Sub(q.emptyAt) < standingAfter || q.interval == 0 {
		return q.opts.MaxQueue
	}
	served := int(standingShare * float64(q.limiter.mean) / float64(q.interval))
	return min(q.opts.MaxQueue, max(served, standingMin))
}

func (q *Queue) shedFrom(team *teamQueue, reason Refusal) []Refused {
	at := len(team.tickets) - 1
	if q.opts.Order == ShedOldest {
		at = 0
	}
	t := team.tickets[at]
	team.tickets = append(team.tickets[:at], team.tickets[at+1:]...)
	q.waiting--
	return refuse(t, reason)
}

// mostOver returns the team with the most waiting requests for its share.
func (q *Queue) mostOver() *teamQueue {
	var most *teamQueue
	for _, name := range q.names {
		team := q.teams[name]
		if len(team.tickets) == 0 {
			continue
		}
		if most == nil || team.load() > most.load() {
			most = team
		}
	}
	return most
}

func (t *teamQueue) load() float64 { return float64(len(t.tickets)) / t.share }

// reachable reports whether the request can be answered by its deadline, as far
// as the departures so far tell.
func (q *Queue) reachable(now time.Time, team *teamQueue, t Ticket) bool {
	remaining := t.Deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	return remaining > q.expectedWait(team)+q.shortestAnswer()
}

func (q *Queue) expectedWait(team *teamQueue) time.Duration {
	if q.waiting == 0 || q.interval == 0 {
		return 0
	}
	active := 0.0
	for _, name := range q.names {
		if other := q.teams[name]; other == team || len(other.tickets) > 0 {
			active += other.share
		}
	}
	ahead := float64(len(team.tickets)) * active / team.share
	return time.Duration(ahead * float64(q.interval))
}

func (q *Queue) shortestAnswer() time.Duration {
	return time.Duration(hopelessShare * float64(q.limiter.mean))
}

func refuse(t Ticket, reason Refusal) []Refused {
	return []Refused{{Ticket: t, Reason: reason}}
}
