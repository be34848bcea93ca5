package cellconfig

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/strictconf"
)

// Limits of the settings. They keep every product of a size and a number of tasks or workers far below
// 2^63, so that sums of resources cannot overflow.
const (
	maxDriftPPM      = 50_000 // 5 %; the drift of quartz clocks is below 500 ppm
	maxDuration      = 30 * 24 * time.Hour
	maxTasksPerJob   = 100_000
	maxWorkersInPool = 100_000
	maxWorkerCPUs    = 100_000.0
	maxQuotaCPUs     = 1e9
	maxAccelerators  = 1_000_000
	maxWorkerMemory  = strictconf.Bytes(1 << 44) // 16 TiB
	maxQuotaMemory   = strictconf.Bytes(1 << 60)
	maxMessageBytes  = strictconf.Bytes(1 << 30)
	maxQueueLength   = 1_000_000
	maxEntries       = 1000
	maxAttempts      = 1000
	// maxControlReplicas is the maximum number of VMs that may be dedicated to the control group
	// (docs/design.md, section 1.5).
	maxControlReplicas = 7
	// maxSubmitterBytes limits the submitter, which the state keeps for each file even after the body
	// of the file has been removed.
	maxSubmitterBytes = 128
)

// maxAnnounceLease is the time within which a backend server that is shutting down or lost must stop
// receiving requests (requirement 6 of docs/design.md).
const maxAnnounceLease = 2 * time.Second

// minRenewalsPerLease is the minimum number of renewals that a worker sends during a lease. The lease expires
// only if all of them are lost.
const minRenewalsPerLease = 3

// shareTolerance allows for the rounding errors of decimal fractions such as 0.1.
const shareTolerance = 1e-9

func (c *checker) checkFile() {
	f := c.file
	c.require(f.Generation > 0, "generation", "is 0", "at least 1")
	c.require(f.Submitter != "" && len(f.Submitter) <= maxSubmitterBytes, "submitter", fmt.Sprintf("has %d bytes", len(f.Submitter)),
		fmt.Sprintf("the name of who submits the file, 1 to %d bytes", maxSubmitterBytes))
	c.checkCell(f.Cell)
	c.checkRegions()
	c.checkPools()
	c.checkPolicies()
	c.checkTeams()
	c.checkServices()
}

func (c *checker) checkCell(s Cell) {
	c.checkName("cell.name", s.Name)
	c.checkInteger("cell.max_clock_drift_ppm", s.MaxClockDriftPPM, 0, maxDriftPPM)
	c.checkDuration("cell.worker_lease", s.WorkerLease, time.Millisecond, maxDuration)
	c.checkDuration("cell.worker_sync_interval", s.WorkerSyncInterval, time.Millisecond, maxDuration)
	c.checkDuration("cell.worker_stop_margin", s.WorkerStopMargin, time.Millisecond, maxDuration)
	c.checkDuration("cell.stale_after", s.StaleAfter, time.Millisecond, maxDuration)
	c.checkInteger("cell.max_entries", int64(s.MaxEntries), 1, maxEntries)
	c.checkWorkerLease(s)
	for i, worker := range s.RetiredWorkers {
		c.checkName(fmt.Sprintf("cell.retired_workers[%d]", i), string(worker))
	}
	c.checkDistinct("cell.retired_workers", toStrings(s.RetiredWorkers))
	c.checkControlReplicas(s.ControlReplicas)
}

func (c *checker) checkControlReplicas(ids []uint64) {
	const key = "cell.control_replicas"
	c.require(len(ids) >= 1 && len(ids) <= maxControlReplicas, key, fmt.Sprintf("has %d ids", len(ids)),
		fmt.Sprintf("1 to %d ids", maxControlReplicas))
	seen := map[uint64]bool{}
	for i, id := range ids {
		item := fmt.Sprintf("%s[%d]", key, i)
		c.require(id != 0, item, "is 0", "an id of at least 1")
		c.require(!seen[id], item, fmt.Sprintf("%d is listed twice", id), "each id once")
		seen[id] = true
	}
}

func (c *checker) checkWorkerLease(s Cell) {
	drift := time.Duration(float64(s.WorkerLease) * float64(s.MaxClockDriftPPM) / 1e6)
	minimum := minRenewalsPerLease*s.WorkerSyncInterval + s.WorkerStopMargin + drift
	c.require(s.WorkerLease > minimum, "cell.worker_lease", fmt.Sprintf("is %v", s.WorkerLease),
		fmt.Sprintf("more than %v (%d times worker_sync_interval, worker_stop_margin and the drift)", minimum, minRenewalsPerLease),
		"cell.worker_sync_interval", "cell.worker_stop_margin", "cell.max_clock_drift_ppm")
}

func (c *checker) checkDistinct(key string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		c.require(!seen[name], fmt.Sprintf("%s[%d]", key, i), fmt.Sprintf("%q is listed twice", name), "each name once")
		seen[name] = true
	}
}

func (c *checker) checkRegions() {
	regions := c.file.Regions
	c.require(len(regions) > 0, "region", "is empty", "at least one [[region]] table")
	c.checkNames("region", "name", mapStrings(regions, func(r Region) string { return string(r.Name) }))
	owner := map[cell.FailureDomain]int{}
	for i, region := range regions {
		key := fmt.Sprintf("region[%d].failure_domains", i)
		c.require(len(region.FailureDomains) > 0, key, "is empty", "at least one failure domain")
		for j, domain := range region.FailureDomains {
			item := fmt.Sprintf("%s[%d]", key, j)
			c.checkName(item, string(domain))
			first, twice := owner[domain]
			c.require(!twice, item, fmt.Sprintf("%q is listed twice", domain),
				fmt.Sprintf("a name other than that in region[%d]", first))
			owner[domain] = i
		}
	}
}

func (c *checker) checkPools() {
	pools := c.file.Pools
	c.require(len(pools) > 0, "pool", "is empty", "at least one [[pool]] table")
	c.checkNames("pool", "name", mapStrings(pools, func(p Pool) string { return string(p.Name) }))
	known := setOf(mapStrings(c.file.Regions, func(r Region) string { return string(r.Name) }))
	for i, pool := range pools {
		key := fmt.Sprintf("pool[%d].", i)
		c.checkReferences(key+"regions", toStrings(pool.Regions), "region", known)
		c.checkInteger(key+"max_workers", int64(pool.MaxWorkers), 1, maxWorkersInPool)
		c.checkNumber(key+"max_worker_cpus", pool.MaxWorkerCPUs, 0.001, maxWorkerCPUs)
		c.checkSize(key+"max_worker_memory", pool.MaxWorkerMemory, 1, maxWorkerMemory)
		c.checkInteger(key+"max_worker_accelerators", pool.MaxWorkerAccelerators, 0, maxAccelerators)
	}
}

func (c *checker) checkPolicies() {
	policies := c.file.Policies
	c.require(len(policies) > 0, "policy", "is empty", "at least one [[policy]] table")
	c.checkNames("policy", "name", mapStrings(policies, func(p Policy) string { return string(p.Name) }))
	known := setOf(mapStrings(c.file.Pools, func(p Pool) string { return string(p.Name) }))
	for i, policy := range policies {
		key := fmt.Sprintf("policy[%d].", i)
		c.checkOneOf(key+"kind", string(policy.Kind), string(cell.KindService), string(cell.KindBatch), string(cell.KindGang))
		c.checkOneOf(key+"spread_by", string(policy.SpreadBy), string(SpreadFailureDomain), string(SpreadRack), string(SpreadNone))
		c.checkOneOf(key+"on_disconnect", string(policy.OnDisconnect), string(cell.DisconnectStop), string(cell.DisconnectKeep))
		c.checkReferences(key+"pools", toStrings(policy.Pools), "pool", known)
		c.checkInteger(key+"max_tasks", int64(policy.MaxTasks), 1, maxTasksPerJob)
		c.checkInteger(key+"max_attempts", int64(policy.MaxAttempts), 1, maxAttempts)
		c.checkDuration(key+"backoff_initial", policy.BackoffInitial, time.Millisecond, maxDuration)
		c.checkDuration(key+"backoff_max", policy.BackoffMax, time.Millisecond, maxDuration)
		c.require(policy.BackoffMax >= policy.BackoffInitial, key+"backoff_max", fmt.Sprintf("is %v", policy.BackoffMax),
			fmt.Sprintf("at least backoff_initial, %v", policy.BackoffInitial), key+"backoff_initial")
	}
}

func (c *checker) checkOneOf(key, value string, allowed ...string) {
	for _, other := range allowed {
		if value == other {
			return
		}
	}
	c.require(false, key, fmt.Sprintf("is %q", value), "one of "+joinNames(allowed))
}

func (c *checker) checkTeams() {
	teams := c.file.Teams
	c.require(len(teams) > 0, "team", "is empty", "at least one [[team]] table")
	c.checkNames("team", "name", mapStrings(teams, func(t Team) string { return string(t.Name) }))
	known := setOf(mapStrings(c.file.Policies, func(p Policy) string { return string(p.Name) }))
	total := 0.0
	for i, team := range teams {
		key := fmt.Sprintf("team[%d].", i)
		c.checkNumber(key+"share", team.Share, 0, 1)
		c.checkNumber(key+"quota_cpus", team.QuotaCPUs, 0, maxQuotaCPUs)
		c.checkSize(key+"quota_memory", team.QuotaMemory, 0, maxQuotaMemory)
		c.checkInteger(key+"quota_accelerators", team.QuotaAccelerators, 0, maxAccelerators)
		c.checkNumber(key+"urgent_cpus", team.UrgentCPUs, 0, maxQuotaCPUs)
		c.require(team.UrgentCPUs <= team.QuotaCPUs, key+"urgent_cpus", fmt.Sprintf("is %v", team.UrgentCPUs),
			fmt.Sprintf("at most quota_cpus, %v", team.QuotaCPUs), key+"quota_cpus")
		c.checkInteger(key+"max_queued_jobs", int64(team.MaxQueuedJobs), 1, maxQueueLength)
		c.checkReferences(key+"policies", toStrings(team.Policies), "policy", known)
		total += team.Share
		c.require(total <= 1+shareTolerance, key+"share", fmt.Sprintf("brings the sum of the shares to %.6g", total),
			"a sum of at most 1", "team")
	}
}
