package routing

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of random servers of one locality that are checked before all of
	// them are. The search ends when two eligible servers are found.
	maxSamples = 6
	// otherHomePenaltyFactor is the fraction of the typical delay that a server with another home
	// must save. Its load is known only from its last report, and a request sent there may displace
	// a request of its home to a third server.
	otherHomePenaltyFactor = 1.0
	// homeWaitFactor is the fraction of the typical delay that a request may wait for a home server
	// instead of going to another one.
	homeWaitFactor = 0.25
	// crossDomainPenalty is the delay that a server in another failure domain must save.
	crossDomainPenalty = time.Millisecond
)

type selection struct {
	now       time.Time
	group     *serverGroup
	panicMode bool // below the panic threshold: ejected servers are used as well
	request   Request
}

// Pick chooses a backend server. A caller that uses the choice must call Started at once.
func (t *Table) Pick(now time.Time, r Request) (Choice, Refusal) {
	g := t.services[r.Service]
	if g == nil || len(g.servers) == 0 {
		return Choice{}, RefusalNoBackend
	}
	sel := selection{now: now, group: g, request: r}
	sel.panicMode = sel.belowPanicThreshold()
	best := t.selectServer(sel)
	if best == nil {
		return Choice{}, sel.refusal()
	}
	if !best.home && sel.homeServersFull() && sel.homeServerSoonFree() {
		return Choice{}, RefusalBusy
	}
	t.nextID++
	return Choice{
		Service:     r.Service,
		Backend:     best.Backend,
		Incarnation: best.Incarnation,
		Address:     best.Address,
		Connections: best.connectionLimit,
		CrossRegion: best.Region != t.opts.Region,
		ID:          t.nextID,
	}, RefusalNone
}

// selectServer returns the candidate with the lowest expected delay, with a penalty for each
// locality.
func (t *Table) selectServer(sel selection) *server {
	otherHomePenalty := time.Duration(otherHomePenaltyFactor * float64(sel.group.typicalDelay))
	penalties := [localityCount]time.Duration{
		localityHome:        0,
		localityDomain:      otherHomePenalty,
		localityRegion:      otherHomePenalty + crossDomainPenalty,
		localityOtherRegion: otherHomePenalty + sel.group.policy.CrossRegionPenalty,
	}
	var best *server
	var bestDelay time.Duration
	for l, servers := range sel.group.byLocality {
		candidate := t.candidate(sel, locality(l), servers)
		if candidate == nil {
			continue
		}
		delay := candidate.expectedDelay(sel.now, sel.group.typicalDelay) + penalties[l]
		if best == nil || delay < bestDelay {
			best, bestDelay = candidate, delay
		}
	}
	return best
}

// candidate returns the best home server if l is localityHome, because other entry processes rarely
// use these. For other localities it returns the better of two random eligible servers, or the best
// of all servers if the samples contain no eligible one.
func (t *Table) candidate(sel selection, l locality, servers []*server) *server {
	if len(servers) == 0 || l == localityHome {
		return sel.lowestScore(servers)
	}
	var first *server
	for range maxSamples {
		s := servers[t.opts.Random.IntN(len(servers))]
		if s == first || !sel.eligible(s) {
			continue
		}
		if first == nil {
			first = s
			continue
		}
		return sel.lowerScore(first, s)
	}
	if first != nil {
		return first
	}
	return sel.lowestScore(servers)
}

func (sel selection) homeServersFull() bool {
	return sel.lowestScore(sel.group.byLocality[localityHome]) == nil
}

// homeServerSoonFree reports whether a busy home server is expected to have a free slot for the
// request so soon that waiting is better than using another server.
func (sel selection) homeServerSoonFree() bool {
	slots := 0
	for _, s := range sel.group.byLocality[localityHome] {
		if sel.mayUse(s) && !slices.Contains(sel.request.Exclude, s.Backend) {
			slots += min(s.connectionLimit, s.Slots)
		}
	}
	if slots == 0 {
		return false
	}
	ahead := sel.request.Waiting
	if len(sel.request.Exclude) > 0 {
		ahead = 1 // retries go to the front of the queue
	}
	wait := float64(sel.group.typicalDelay) * float64(ahead) / float64(slots)
	return wait < homeWaitFactor*float64(sel.group.typicalDelay)
}

func (sel selection) lowerScore(a, b *server) *server {
	if b.score(sel.now, sel.group.typicalDelay) < a.score(sel.now, sel.group.typicalDelay) {
		return b
	}
	return a
}

func (sel selection) lowestScore(servers []*server) *server {
	var best *server
	for _, s := range servers {
		if !sel.eligible(s) {
			continue
		}
		if best == nil {
			best = s
			continue
		}
		best = sel.lowerScore(best, s)
	}
	return best
}

func (sel selection) eligible(s *server) bool {
	return sel.mayUse(s) && s.hasFreeSlot(sel.now) && !slices.Contains(sel.request.Exclude, s.Backend)
}

func (sel selection) mayUse(s *server) bool {
	return sel.group.leaseValid(sel.now, s) && (sel.panicMode || s.usable(sel.now))
}

// belowPanicThreshold reports whether the fraction of usable servers is below the panic threshold.
// A server without a valid announcement is not used even then.
func (sel selection) belowPanicThreshold() bool {
	g := sel.group
	g.ejected = slices.DeleteFunc(g.ejected, func(s *server) bool { return s.usable(sel.now) })
	usable := len(g.servers) - len(g.ejected)
	return float64(usable) < g.policy.PanicThreshold*float64(len(g.servers))
}

func (sel selection) refusal() Refusal {
	refusal := RefusalNoBackend
	for _, s := range sel.group.servers {
		if !sel.mayUse(s) {
			continue
		}
		if !slices.Contains(sel.request.Exclude, s.Backend) {
			return RefusalBusy
		}
		refusal = RefusalTried
	}
	return refusal
}
