package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// typicalDelayWeight is the weight of one answer in the typical delay of a service.
const typicalDelayWeight = 0.01

// Table holds the backend servers of all services.
type Table struct {
	opts     Options
	entries  []Entry
	services map[cell.Service]*serverGroup
	nextID   uint64
}

// serverGroup holds the servers of one service.
type serverGroup struct {
	policy       Policy
	servers      map[cell.BackendName]*server
	byLocality   [localityCount][]*server // sorted by name
	ejected      []*server                // ejected servers, and servers that became usable since the last Pick
	typicalDelay time.Duration            // mean delay of the service; 0 without answers
	answerCount  int                      // answers in typicalDelay
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, services: map[cell.Service]*serverGroup{}}
}

// SetPolicies sets the services of the cell. Servers of services that no longer exist are dropped.
func (t *Table) SetPolicies(policies map[cell.Service]Policy) {
	next := map[cell.Service]*serverGroup{}
	for service, policy := range policies {
		g := t.services[service]
		if g == nil {
			g = &serverGroup{servers: map[cell.BackendName]*server{}}
		}
		g.policy = policy
		for _, s := range g.servers {
			s.updateConnectionLimit(policy)
		}
		next[service] = g
	}
	t.services = next
}

// SetEntries sets the entry processes of the cell, including this one. Until it is called, no
// server has its home here.
func (t *Table) SetEntries(entries []Entry) {
	t.entries = entries
	for _, g := range t.services {
		t.rebuildLocalities(g)
	}
}

// Announce updates the table with the latest announcement of a backend server. A newer incarnation
// replaces the server; an announcement with Leaving set removes it.
func (t *Table) Announce(now time.Time, a Announcement) {
	g := t.services[a.Service]
	if g == nil {
		return
	}
	known := g.servers[a.Backend]
	if known != nil && a.Incarnation < known.Incarnation {
		return
	}
	if a.Leaving || now.Sub(a.SeenAt) >= g.policy.Lease {
		if known != nil {
			t.removeServer(g, a.Backend)
		}
		return
	}
	if known != nil && known.sameServer(a) {
		known.update(a, g.policy)
		return
	}
	if known != nil {
		t.removeServer(g, a.Backend)
	}
	g.servers[a.Backend] = newServer(a, g.policy)
	t.rebuildLocalities(g)
}

// Expire removes the servers whose announcement is older than the lease and returns their names.
func (t *Table) Expire(now time.Time) []cell.BackendName {
	var all []cell.BackendName
	for _, g := range t.services {
		gone := g.expiredServers(now)
		for _, name := range gone {
			t.removeServer(g, name)
		}
		all = append(all, gone...)
	}
	return all
}

func (g *serverGroup) expiredServers(now time.Time) []cell.BackendName {
	var gone []cell.BackendName
	for name, s := range g.servers {
		if !g.leaseValid(now, s) {
			gone = append(gone, name)
		}
	}
	return gone
}

// Started records that a request was dispatched.
func (t *Table) Started(now time.Time, c Choice) {
	if s := t.serverOf(c); s != nil {
		s.outstanding[c.ID] = now
	}
}

// Finished records how a dispatched request ended.
func (t *Table) Finished(now time.Time, c Choice, o Observation) {
	s := t.serverOf(c)
	if s == nil {
		return
	}
	delete(s.outstanding, c.ID)
	g := t.services[c.Service]
	s.recordResult(now, o, g.typicalDelay)
	if !s.usable(now) && !slices.Contains(g.ejected, s) {
		g.ejected = append(g.ejected, s)
	}
	if o.Result == ResultAnswered {
		g.recordDelay(o.Delay)
	}
}

// Capacity returns the number of requests that this entry process may have in flight at all valid
// servers of a service together.
func (t *Table) Capacity(service cell.Service) int {
	total := 0
	if g := t.services[service]; g != nil {
		for _, s := range g.servers {
			total += min(s.connectionLimit, s.Slots)
		}
	}
	return total
}

// ServerCount returns the number of servers of a service with a valid announcement.
func (t *Table) ServerCount(service cell.Service) int {
	if g := t.services[service]; g != nil {
		return len(g.servers)
	}
	return 0
}

// sameServer reports whether a has the incarnation, address, region and failure domain of s.
func (s *server) sameServer(a Announcement) bool {
	return s.Incarnation == a.Incarnation && s.Address == a.Address &&
		s.Region == a.Region && s.FailureDomain == a.FailureDomain
}

func (t *Table) serverOf(c Choice) *server {
	g := t.services[c.Service]
	if g == nil {
		return nil
	}
	s := g.servers[c.Backend]
	if s == nil || s.Incarnation != c.Incarnation {
		return nil
	}
	return s
}

func (t *Table) removeServer(g *serverGroup, name cell.BackendName) {
	dropped := g.servers[name]
	g.ejected = slices.DeleteFunc(g.ejected, func(s *server) bool { return s == dropped })
	delete(g.servers, name)
	t.rebuildLocalities(g)
}

// rebuildLocalities sorts the servers of a group by locality and determines those whose home is
// this entry process.
func (t *Table) rebuildLocalities(g *serverGroup) {
	all := make([]*server, 0, len(g.servers))
	for _, s := range g.servers {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Backend < all[j].Backend })
	homes := homeServers(t.opts.Name, t.entries, all)
	g.byLocality = [localityCount][]*server{}
	for _, s := range all {
		s.home = homes[s]
		s.updateConnectionLimit(g.policy)
		l := t.opts.localityOf(s)
		g.byLocality[l] = append(g.byLocality[l], s)
	}
}

func (g *serverGroup) leaseValid(now time.Time, s *server) bool {
	return now.Sub(s.SeenAt) < g.policy.Lease
}

// recordDelay updates the typical delay with the delay of an answer. The first answers count
// equally, so that one short answer does not make every server look slow for a while.
func (g *serverGroup) recordDelay(delay time.Duration) {
	g.answerCount++
	weight := max(typicalDelayWeight, 1/float64(g.answerCount))
	g.typicalDelay += time.Duration(weight * float64(delay-g.typicalDelay))
}
