package state

import (
	"fmt"
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/strictconf"
)

// conflictCheck collects the conflicts of a new cell file with the state.
type conflictCheck struct {
	next   *config
	body   []byte
	lines  map[string]int // line of each setting; parsed from body when the first fault is found
	faults strictconf.Faults
}

func (c *conflictCheck) report(key, problem, expected string) {
	if c.lines == nil {
		c.lines = strictconf.Lines(c.body)
	}
	c.faults = append(c.faults, strictconf.Fault{Line: c.lines[key], Key: key, Problem: problem, Expected: expected})
}

// checkQuotas checks that no quota falls below the reservations of its team.
func (c *conflictCheck) checkQuotas(s *State) {
	for i, team := range c.next.file.Teams {
		usage := s.teams[team.Name]
		if usage == nil {
			continue
		}
		quota, used := team.Quota(), usage.reserved
		c.requireAtLeast(i, "quota_cpus", quota.MilliCPU >= used.MilliCPU, milliCores(quota.MilliCPU), milliCores(used.MilliCPU))
		c.requireAtLeast(i, "quota_memory", quota.MemoryBytes >= used.MemoryBytes, team.QuotaMemory, strictconf.Bytes(used.MemoryBytes))
		c.requireAtLeast(i, "quota_accelerators", quota.Accelerators >= used.Accelerators, quota.Accelerators, used.Accelerators)
		c.requireAtLeast(i, "urgent_cpus", team.UrgentMilliCPU() >= usage.urgentMilliCPU, milliCores(team.UrgentMilliCPU()), milliCores(usage.urgentMilliCPU))
	}
}

// milliCores formats thousandths of a core as cores, the unit of the cell file.
type milliCores int64

func (m milliCores) String() string { return fmt.Sprintf("%g", float64(m)/1000) }

func (c *conflictCheck) requireAtLeast(team int, setting string, fits bool, quota, reserved any) {
	if !fits {
		c.report(fmt.Sprintf("team[%d].%s", team, setting),
			fmt.Sprintf("is %v, below what the team has reserved", quota), fmt.Sprintf("at least %v", reserved))
	}
}

// checkMembers checks that the new limit admits the entry processes that have joined.
func (c *conflictCheck) checkMembers(s *State) {
	if limit := c.next.file.Cell.MaxEntries; limit < len(s.members) {
		c.report("cell.max_entries", fmt.Sprintf("is %d", limit), fmt.Sprintf("at least %d, as many as have joined", len(s.members)))
	}
}

// checkJobs checks that the file keeps every policy and team that a job uses. Each missing name is
// reported once, with the first job that uses it.
func (c *conflictCheck) checkJobs(s *State) {
	reported := map[string]bool{}
	reportOnce := func(key, problem, expected string) {
		if !reported[problem] {
			reported[problem] = true
			c.report(key, problem, expected)
		}
	}
	for _, id := range s.activeJobs() {
		j := s.jobs[id]
		if _, kept := c.next.teams[j.spec.Team]; !kept {
			reportOnce("team", fmt.Sprintf("team %q is removed", j.spec.Team), fmt.Sprintf("it to stay while its job %d is not ended", id))
		}
		policy, kept := c.next.policies[j.spec.Policy]
		switch {
		case !kept:
			reportOnce("policy", fmt.Sprintf("policy %q is removed", j.spec.Policy), fmt.Sprintf("it to stay while job %d uses it", id))
		case policy.Kind != j.kind:
			key := fmt.Sprintf("policy[%d].kind", c.policyIndex(policy.Name))
			reportOnce(key, fmt.Sprintf("kind of policy %q is changed", policy.Name), fmt.Sprintf("%q while job %d uses it", j.kind, id))
		}
	}
}

func (c *conflictCheck) policyIndex(name cell.PolicyName) int {
	return slices.IndexFunc(c.next.file.Policies, func(p cellconfig.Policy) bool { return p.Name == name })
}

// checkWorkers checks that the file keeps the pool, region and failure domain of every worker that
// counts towards its pool.
func (c *conflictCheck) checkWorkers(s *State) {
	reported := map[string]bool{}
	for _, name := range s.workerNames() {
		w := s.workers[name]
		if !w.countsTowardsPool() || c.next.retired[name] {
			continue
		}
		pool, kept := c.next.pools[w.info.Pool]
		table, problem := "", ""
		switch {
		case !kept:
			table, problem = "pool", fmt.Sprintf("pool %q is removed", w.info.Pool)
		case !slices.Contains(pool.Regions, w.info.Region):
			table, problem = "pool", fmt.Sprintf("region %q is removed from pool %q", w.info.Region, w.info.Pool)
		case c.next.failureDomains[w.info.FailureDomain] != w.info.Region:
			table, problem = "region", fmt.Sprintf("failure domain %q is removed from region %q", w.info.FailureDomain, w.info.Region)
		}
		if problem != "" && !reported[problem] {
			reported[problem] = true
			c.report(table, problem, fmt.Sprintf("it to stay while worker %s is in it and not retired", name))
		}
	}
}
