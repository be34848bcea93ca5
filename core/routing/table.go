package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// typicalWeight is the weight of one answer in the mean delay of a service.
const typicalWeight = 0.01

// Table holds the backend servers of all services.
type Table struct {
	opts    Options
	entries []Entry
	groups  map[cell.Service]*group
	nextID  uint64
}

// group is the servers of one service.
type group struct {
	policy  Policy
	servers map[cell.BackendName]*server
	near    [localities][]*server // sorted by name, without leaving ones
	out     []*server             // those that failures have taken out
	typical time.Duration         // mean delay of the service, 0 for none
	answers int                   // that typical is made of
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, groups: map[cell.Service]*group{}}
}

// SetPolicies states the services of the cell. Servers of services that are
// gone are dropped.
func (t *Table) SetPolicies(policies map[cell.Service]Policy) {
	next := map[cell.Service]*group{}
	for service, policy := range policies {
		g := t.groups[service]
		if g == nil {
			g = &group{servers: map[cell.BackendName]*server{}}
		}
		g.policy = policy
		for _, s := range g.servers {
			s.setLimit(policy)
		}
		next[service] = g
	}
	t.groups = next
}

// SetEntries states the entry processes of the cell, with this one. Without
// them no server has its home here.
func (t *Table) SetEntries(entries []Entry) {
	t.entries = entries
	for _, g := range t.groups {
		t.index(g)
	}
}

// Announce takes the last known announcement of a backend server. A newer
// incarnation replaces the server; a leave removes it.
func (t *Table) Announce(now time.Time, a Announcement) {
	g := t.groups[a.Service]
	if g == nil {
		return
	}
	known := g.servers[a.Backend]
	if known != nil && a.Incarnation < known.Incarnation {
		return
	}
	if a.Leaving || now.Sub(a.SeenAt) >= g.policy.Lease {
		if known != nil {
			t.drop(g, a.Backend)
		}
		return
	}
	if known != nil && known.sameServer(a) {
		known.update(a, g.policy)
		return
	}
	if known != nil {
		t.drop(g, a.Backend)
	}
	g.servers[a.Backend] = newServer(a, g.policy)
	t.index(g)
}

// Expire drops the servers whose announcement is older than the lease and
// returns them.
func (t *Table) Expire(now time.Time) []cell.BackendName {
	var all []cell.BackendName
	for _, g := range t.groups {
		gone := g.expired(now)
		for _, name := range gone {
			t.drop(g, name)
		}
		all = append(all, gone...)
	}
	return all
}

func (g *group) expired(now time.Time) []cell.BackendName {
	var gone []cell.BackendName
	for name, s := range g.servers {
		if !g.valid(now, s) {
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
	g := t.groups[c.Service]
	s.observe(now, o, g.typical)
	if !s.usable(now) && !slices.Contains(g.out, s) {
		g.out = append(g.out, s)
	}
	if o.Result == ResultAnswered {
		g.learn(o.Delay)
	}
}

// Capacity returns the number of requests that this entry process may have in
// flight at all valid servers of a service together.
func (t *Table) Capacity(service cell.Service) int {
	total := 0
	if g := t.groups[service]; g != nil {
		for _, s := range g.servers {
			total += min(s.limit, s.Slots)
		}
	}
	return total
}

// Known returns the number of servers of a service with a valid announcement.
func (t *Table) Known(service cell.Service) int {
	if g := t.groups[service]; g != nil {
		return len(g.servers)
	}
	return 0
}

// sameServer reports whether a is of the same incarnation in the same place.
func (s *server) sameServer(a Announcement) bool {
	return s.Incarnation == a.Incarnation && s.Address == a.Address &&
		s.Region == a.Region && s.FailureDomain == a.FailureDomain
}

func (t *Table) serverOf(c Choice) *server {
	g := t.groups[c.Service]
	if g == nil {
		return nil
	}
	s := g.servers[c.Backend]
	if s == nil || s.Incarnation != c.Incarnation {
		return nil
	}
	return s
}

func (t *Table) drop(g *group, name cell.BackendName) {
	dropped := g.servers[name]
	g.out = slices.DeleteFunc(g.out, func(s *server) bool { return s == dropped })
	delete(g.servers, name)
	t.index(g)
}

// index sorts the servers of a group by locality and finds those whose home is
// this entry process.
func (t *Table) index(g *group) {
	all := make([]*server, 0, len(g.servers))
	for _, s := range g.servers {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Backend < all[j].Backend })
	homes := homesOf(t.opts.Name, t.entries, all)
	g.near = [localities][]*server{}
	for _, s := range all {
		s.home = homes[s]
		s.setLimit(g.policy)
		l := t.opts.localityOf(s)
		g.near[l] = append(g.near[l], s)
	}
}

func (g *group) valid(now time.Time, s *server) bool {
	return now.Sub(s.SeenAt) < g.policy.Lease
}

// learn takes the delay of an answer. The first answers count equally, so that
// one short answer does not make every server look slow for a while.
func (g *group) learn(delay time.Duration) {
	g.answers++
	weight := max(typicalWeight, 1/float64(g.answers))
	g.typical += time.Duration(weight * float64(delay-g.typical))
}
