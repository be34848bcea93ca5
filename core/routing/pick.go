package routing

import (
	"slices"
	"time"
)

const (
	// maxSamples is how many random servers of one locality are looked at before
	// all of them are. With two free ones found the search ends.
	maxSamples = 6
	// otherHomePenaltyFactor is the share of the typical delay that a server with another
	// home must save. What is known of its load is old, and a request that goes
	// there may push one of its home's requests to a third server.
	otherHomePenaltyFactor = 1.0
	// homeWaitFactor is the share of the typical delay for which a request waits
	// for a home server rather than go elsewhere.
	homeWaitFactor = 0.25
	// crossDomainPenalty is the delay that leaving the failure domain must save.
	crossDomainPenalty = time.Millisecond
)

// selection is the state of one choice.
type selection struct {
	now       time.Time
	group     *serverGroup
	panicMode bool // too few usable servers: use those that are out as well
	request   Request
}

// Pick chooses a backend server. The caller reports Started at once where it
// uses the choice.
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

// selectServer compares the best candidates of the localities, from near to far.
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

// candidate returns the best home server, because hardly anyone else uses it,
// and otherwise the better of two random servers with room. Where samples find
// none, it takes the best of all.
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

// homeServerSoonFree reports whether a busy home server is expected to have room for the
// request so soon that it is better to wait.
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
		ahead = 1 // a retry is first in the queue
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

// belowPanicThreshold reports whether the share of usable servers is below the panic
// threshold. A server without a valid announcement is not used even then.
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
