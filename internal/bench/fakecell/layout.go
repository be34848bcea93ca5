package fakecell

import (
	"fmt"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Layout is the part of a cell file that the scheduler depends on.
type Layout struct {
	Regions  []Region
	Pools    []cell.Pool // each pool is in all regions
	Policies []Policy
	Teams    []Team
	Retired  []cell.WorkerName
	Backoff  time.Duration // time until a failed task may be placed again
}

// Region is a region with its failure domains.
type Region struct {
	Name    cell.Region
	Domains []cell.FailureDomain
}

// Policy is a policy of the cell file.
type Policy struct {
	Name        cell.PolicyName
	Kind        cell.PolicyKind
	Pools       []cell.Pool
	Spread      string
	Preemptible bool
}

// Team is a team of the cell file. Its quota is in whole cores, GiB and accelerators.
type Team struct {
	Name         cell.Team
	Share        float64
	Cores        int
	MemoryGiB    int
	Accelerators int
	UrgentCores  int
}

func (t Team) quota() cell.Resources { return Size(t.Cores, t.MemoryGiB, t.Accelerators) }

// gibibyte is the number of bytes in one GiB.
const gibibyte = 1 << 30

// Size returns resources from numbers of cores, GiB of memory and accelerators.
func Size(cores, memoryGiB, accelerators int) cell.Resources {
	return cell.Resources{
		MilliCPU:     int64(cores) * 1000,
		MemoryBytes:  int64(memoryGiB) * gibibyte,
		Accelerators: int64(accelerators),
	}
}

// TOML returns the layout as a cell file.
func (l Layout) TOML() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "generation = 1\nsubmitter = \"bench\"\n\n[cell]\nname = \"bench\"\nmax_clock_drift_ppm = 1000\n")
	fmt.Fprintf(&b, "worker_lease = \"15s\"\nworker_sync_interval = \"2s\"\nworker_stop_margin = \"500ms\"\n")
	fmt.Fprintf(&b, "stale_after = \"15s\"\nmax_entries = 9\nretired_workers = [%s]\ncontrol_replicas = [1, 2, 3]\n", quoted(l.Retired))
	for _, r := range l.Regions {
		fmt.Fprintf(&b, "\n[[region]]\nname = %q\nfailure_domains = [%s]\n", r.Name, quoted(r.Domains))
	}
	for _, p := range l.Pools {
		fmt.Fprintf(&b, "\n[[pool]]\nname = %q\nregions = []\nmax_workers = 20000\n", p)
		fmt.Fprintf(&b, "max_worker_cpus = 256.0\nmax_worker_memory = \"4TiB\"\nmax_worker_accelerators = 16\n")
	}
	for _, p := range l.Policies {
		fmt.Fprintf(&b, "\n[[policy]]\nname = %q\nkind = %q\npools = [%s]\nspread_by = %q\npreemptible = %v\n",
			p.Name, p.Kind, quoted(p.Pools), p.Spread, p.Preemptible)
		fmt.Fprintf(&b, "on_disconnect = \"stop\"\nmax_tasks = 100000\nmax_attempts = 5\n")
		fmt.Fprintf(&b, "backoff_initial = \"1s\"\nbackoff_max = \"60s\"\n")
	}
	for _, t := range l.Teams {
		fmt.Fprintf(&b, "\n[[team]]\nname = %q\nshare = %.9f\nquota_cpus = %d.0\nquota_memory = \"%dGiB\"\n",
			t.Name, t.Share, t.Cores, t.MemoryGiB)
		fmt.Fprintf(&b, "quota_accelerators = %d\nurgent_cpus = %d.0\nmax_queued_jobs = 100000\npolicies = []\n",
			t.Accelerators, t.UrgentCores)
	}
	// The scheduler ignores services; the one here is a placeholder.
	fmt.Fprintf(&b, "\n[[service]]\n%s", serviceSettings)
	return []byte(b.String())
}

const serviceSettings = `name = "none"
path_prefix = "/none/"
teams = []
idempotent_methods = ["GET"]
announce_interval = "500ms"
announce_lease = "2s"
max_queue = 1
default_deadline = "5s"
max_deadline = "30s"
dispatch_window = "2s"
max_request_bytes = "1MiB"
replay_max_bytes = "64KiB"
answer_retention = "24h"
retry_budget = 0.1
cross_region_penalty = "20ms"
panic_threshold = 0.5
`

func quoted[T ~string](names []T) string {
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%q", string(name))
	}
	return strings.Join(parts, ", ")
}

// MakeWorkers returns n equal workers in racks of 8, which are spread over the failure domains.
func (l Layout) MakeWorkers(n int, pool cell.Pool, capacity cell.Resources) []cell.Worker {
	const perRack = 8
	type place struct {
		region cell.Region
		domain cell.FailureDomain
	}
	var places []place
	for _, r := range l.Regions {
		for _, d := range r.Domains {
			places = append(places, place{r.Name, d})
		}
	}
	workers := make([]cell.Worker, n)
	for i := range workers {
		rack := i / perRack
		p := places[rack%len(places)]
		workers[i] = cell.Worker{
			Name: cell.WorkerName(fmt.Sprintf("%s-%05d", pool, i)), Incarnation: 1, Region: p.region,
			FailureDomain: p.domain, Rack: cell.Rack(fmt.Sprintf("%s-r%d", p.domain, rack/len(places))),
			Pool: pool, Capacity: capacity,
		}
	}
	return workers
}
