package routing

import (
	"slices"
	"time"
)

const (
	// samples is how many random servers of one locality are looked at before
	// all of them are. With two free ones found the search ends.
	samples = 6
	// awayShare is the share of the typical delay that a server with another
	// home must save. What is known of its load is old, and a request that goes
	// there may push one of its home's requests to a third server.
	awayShare = 1.0
	// homeWaitShare is the share of the typical delay for which a request waits
	// for a home server rather than go elsewhere.
	homeWaitShare = 0.25
	// domainPenalty is the delay that leaving the failure domain must save.
	domainPenalty = time.Millisecond
)

// search is the state of one choice.
type search struct {
	now   time.Time
	group *group
	all   bool // too few usable servers: use those that are out as well
	req   Request
}

// Pick chooses a backend server. The caller reports Started at once where it
// uses the choice.
func (t *Table) Pick(now time.Time, r Request) (Choice, Refusal) {
	g := t.groups[r.Service]
	if g == nil || len(g.servers) == 0 {
		return Choice{}, RefusalNoBackend
	}
	q := search{now: now, group: g, req: r}
	q.all = q.tooFewUsable()
	best := t.nearest(q)
	if best == nil {
		return Choice{}, q.refusal()
	}
	if !best.home && q.homesFull() && q.homeSoon() {
		return Choice{}, RefusalBusy
	}
	t.nextID++
	return Choice{
		Service:     r.Service,
		Backend:     best.Backend,
		Incarnation: best.Incarnation,
		Address:     best.Address,
		Connections: best.limit,
		CrossRegion: best.Region != t.opts.Region,
		ID:          t.nextID,
	}, RefusalNone
}

// nearest compares the best candidates of the localities, from near to far.
func (t *Table) nearest(q search) *server {
	away := time.Duration(awayShare * float64(q.group.typical))
	penalties := [localities]time.Duration{
		atHome:      0,
		localDomain: away,
		localRegion: away + domainPenalty,
		otherRegion: away + q.group.policy.CrossRegionPenalty,
	}
	var best *server
	var bestDelay time.Duration
	for l, servers := range q.group.near {
		candidate := t.candidate(q, locality(l), servers)
		if candidate == nil {
			continue
		}
		delay := candidate.expectedDelay(q.now, q.group.typical) + penalties[l]
		if best == nil || delay < bestDelay {
			best, bestDelay = candidate, delay
		}
	}
	return best
}

// candidate returns the best home server, because hardly anyone else uses it,
// and otherwise the better of two random servers with room. Where samples find
// none, it takes the best of all.
func (t *Table) candidate(q search, l locality, servers []*server) *server {
	if len(servers) == 0 || l == atHome {
		return q.bestOf(servers)
	}
	var first *server
	for range samples {
		s := servers[t.opts.Random.IntN(len(servers))]
		if s == first || !q.eligible(s) {
			continue
		}
		if first == nil {
			first = s
			continue
		}
		return q.better(first, s)
	}
	if first != nil {
		return first
	}
	return q.bestOf(servers)
}

func (q search) homesFull() bool { return q.bestOf(q.group.near[atHome]) == nil }

// homeSoon reports whether a busy home server is expected to have room for the
// request so soon that it is better to wait.
func (q search) homeSoon() bool {
	room := 0
	for _, s := range q.group.near[atHome] {
		if q.mayUse(s) && !slices.Contains(q.req.Exclude, s.Backend) {
			room += min(s.limit, s.Slots)
		}
	}
	if room == 0 {
		return false
	}
	ahead := q.req.Waiting
	if len(q.req.Exclude) > 0 {
		ahead = 1 // a retry is first in the queue
	}
	wait := float64(q.group.typical) * float64(ahead) / float64(room)
	return wait < homeWaitShare*float64(q.group.typical)
}

func (q search) better(a, b *server) *server {
	if b.score(q.now, q.group.typical) < a.score(q.now, q.group.typical) {
		return b
	}
	return a
}

func (q search) bestOf(servers []*server) *server {
	var best *server
	for _, s := range servers {
		if !q.eligible(s) {
			continue
		}
		if best == nil {
			best = s
			continue
		}
		best = q.better(best, s)
	}
	return best
}

func (q search) eligible(s *server) bool {
	return q.mayUse(s) && s.room(q.now) && !slices.Contains(q.req.Exclude, s.Backend)
}

func (q search) mayUse(s *server) bool {
	return q.group.valid(q.now, s) && (q.all || s.usable(q.now))
}

// tooFewUsable reports whether the share of usable servers is below the panic
// threshold. A server without a valid announcement is not used even then.
func (q search) tooFewUsable() bool {
	g := q.group
	g.out = slices.DeleteFunc(g.out, func(s *server) bool { return s.usable(q.now) })
	usable := len(g.servers) - len(g.out)
	return float64(usable) < g.policy.PanicThreshold*float64(len(g.servers))
}

func (q search) refusal() Refusal {
	refusal := RefusalNoBackend
	for _, s := range q.group.servers {
		if !q.mayUse(s) {
			continue
		}
		if !slices.Contains(q.req.Exclude, s.Backend) {
			return RefusalBusy
		}
		refusal = RefusalTried
	}
	return refusal
}
