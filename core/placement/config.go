package placement

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/strictconf"
)

// cellSettings are the parts of the cell file that the scheduler needs.
type cellSettings struct {
	policies map[cell.PolicyName]cellconfig.Policy
	retired  map[cell.WorkerName]bool
}

// configChanged applies a new cell file. The state machine has validated the file; a file that
// cannot be decoded is ignored.
func (s *Scheduler) configChanged(record state.ConfigRecord) {
	var file cellconfig.File
	if faults := strictconf.Decode(record.Body, &file); len(faults) > 0 {
		return
	}
	s.config = cellSettings{
		policies: map[cell.PolicyName]cellconfig.Policy{},
		retired:  map[cell.WorkerName]bool{},
	}
	for _, p := range file.Policies {
		s.config.policies[p.Name] = p
	}
	for _, name := range file.Cell.RetiredWorkers {
		s.config.retired[name] = true
	}
	s.applyTeams(file.Teams)
	s.applyPolicies()
	s.applyRetired()
	s.wakeAllClasses()
}

func (s *Scheduler) applyTeams(teams []cellconfig.Team) {
	for _, t := range s.teamList {
		t.configured, t.share, t.quota, t.urgentLimit = false, 0, cell.Resources{}, 0
	}
	for _, configured := range teams {
		t := s.teamFor(configured.Name)
		t.configured = true
		t.share = configured.Share
		t.quota = configured.Quota()
		t.urgentLimit = configured.UrgentMilliCPU()
	}
	s.updateShareRatios()
}

func (s *Scheduler) updateShareRatios() {
	for _, t := range s.teamList {
		t.updateShareRatio(s.totalCapacity)
	}
}

// applyPolicies updates all scopes and which allocations may be preempted.
func (s *Scheduler) applyPolicies() {
	for _, sc := range s.scopeList {
		s.resolveScope(sc)
	}
	for _, g := range s.groupList {
		for _, w := range g.index.workers {
			for _, a := range w.allocations {
				s.updateVictim(a)
			}
		}
	}
}

func (s *Scheduler) applyRetired() {
	for _, g := range s.groupList {
		for _, w := range g.index.workers {
			w.retired = s.config.retired[w.Name]
			if w.retired {
				s.cancelWorkerClaims(w)
			}
			s.capacityGained(w)
		}
	}
}

// teamFor returns the team with a name and adds it if needed. A team that is no longer in the cell
// file has no quota.
func (s *Scheduler) teamFor(name cell.Team) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, activeIndex: noIndex}
		s.teams[name] = t
		s.teamList = append(s.teamList, t)
	}
	return t
}

// scopeFor returns the scope of a policy and region and adds it if needed.
func (s *Scheduler) scopeFor(policy cell.PolicyName, region cell.Region) *scope {
	key := scopeKey{policy, region}
	sc := s.scopes[key]
	if sc == nil {
		sc = &scope{region: region, blockedQueues: map[blockedQueueKey]*blockedQueue{}}
		sc.policy.Name = policy
		s.scopes[key] = sc
		s.scopeList = append(s.scopeList, sc)
		s.resolveScope(sc)
	}
	return sc
}

// resolveScope sets the policy and the groups of a scope from the current cell file.
func (s *Scheduler) resolveScope(sc *scope) {
	policy, known := s.config.policies[sc.policy.Name]
	sc.policyKnown = known
	if known {
		sc.policy = policy
	}
	sc.groups = sc.groups[:0]
	for _, g := range s.groupList {
		g.scopes = slices.DeleteFunc(g.scopes, func(o *scope) bool { return o == sc })
		if known && sc.admits(g) {
			sc.groups = append(sc.groups, g)
			g.scopes = append(g.scopes, sc)
		}
	}
}

func (sc *scope) admits(g *workerGroup) bool {
	if sc.region != "" && sc.region != g.region {
		return false
	}
	return slices.Contains(sc.policy.Pools, g.pool)
}

// groupFor returns the group of a worker's pool, region and failure domain and adds it if needed.
func (s *Scheduler) groupFor(w cell.Worker) *workerGroup {
	key := groupKey{w.Pool, w.Region, w.FailureDomain}
	g := s.groups[key]
	if g == nil {
		g = &workerGroup{groupKey: key}
		s.groups[key] = g
		s.groupList = append(s.groupList, g)
		for _, sc := range s.scopeList {
			if sc.policyKnown && sc.admits(g) {
				sc.groups = append(sc.groups, g)
				g.scopes = append(g.scopes, sc)
			}
		}
	}
	return g
}
