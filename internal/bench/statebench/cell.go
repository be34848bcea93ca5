package statebench

import (
	"fmt"
	"strings"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Shape of the benchmark's cell, based on the planned sizes of docs/design.md, section 1.5.
const (
	teams           = 190
	domains         = 5
	workersPerRack  = 8
	workerMilliCPU  = 64_000
	workerMemory    = 128 << 30
	taskMilliCPU    = 4000
	taskMemory      = 8 << 30
	serviceEvery    = 5    // every fifth job is a long-running service
	commandBytes    = 200  // length of the command line of a job
	answerBytes     = 1000 // body size of the stored answer of a request
	maxBenchWorkers = 20_000
)

const fileHead = `
generation = %d
submitter = "statebench"
[cell]
name = "bench"
max_clock_drift_ppm = 1000
worker_lease = "15s"
worker_sync_interval = "2s"
worker_stop_margin = "500ms"
stale_after = "15s"
max_entries = 9
retired_workers = []
control_replicas = [1, 2, 3, 4, 5]
[[pool]]
name = "general"
regions = ["east", "west"]
max_workers = %d
max_worker_cpus = 64.0
max_worker_memory = "128GiB"
max_worker_accelerators = 0
[[region]]
name = "east"
failure_domains = ["d0", "d1", "d2"]
[[region]]
name = "west"
failure_domains = ["d3", "d4"]
`

const filePolicy = `
[[policy]]
name = "%s"
kind = "%s"
pools = ["general"]
spread_by = "none"
preemptible = true
on_disconnect = "stop"
max_tasks = 1000
max_attempts = 5
backoff_initial = "1s"
backoff_max = "60s"
`

const fileTeam = `
[[team]]
name = "team-%d"
share = 0.005
quota_cpus = 1000000.0
quota_memory = "4096TiB"
quota_accelerators = 0
urgent_cpus = 1000.0
max_queued_jobs = 100000
policies = ["service", "batch"]
`

const fileService = `
[[service]]
name = "bookings"
path_prefix = "/bookings/"
teams = ["team-0"]
idempotent_methods = ["GET", "HEAD"]
announce_interval = "500ms"
announce_lease = "2s"
max_queue = 400
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

// fileBody returns the cell file of the benchmark with the given generation.
func fileBody(generation int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, fileHead, generation, maxBenchWorkers)
	fmt.Fprintf(&b, filePolicy, "service", cell.KindService)
	fmt.Fprintf(&b, filePolicy, "batch", cell.KindBatch)
	for i := range teams {
		fmt.Fprintf(&b, fileTeam, i)
	}
	b.WriteString(fileService)
	return []byte(b.String())
}

func workerName(i int) cell.WorkerName {
	return cell.WorkerName(fmt.Sprintf("worker-%05d", i))
}

func benchWorker(i int) cell.Worker {
	domain := i % domains
	region := cell.Region("east")
	if domain >= 3 {
		region = "west"
	}
	return cell.Worker{
		Name:          workerName(i),
		Incarnation:   1,
		Region:        region,
		FailureDomain: cell.FailureDomain(fmt.Sprintf("d%d", domain)),
		Rack:          cell.Rack(fmt.Sprintf("rack-%d", i/workersPerRack)),
		Pool:          "general",
		Capacity:      cell.Resources{MilliCPU: workerMilliCPU, MemoryBytes: workerMemory},
	}
}

// benchJob returns job i, which has one task.
func benchJob(i int) cell.JobSpec {
	spec := cell.JobSpec{
		Name:     fmt.Sprintf("job-%d", i),
		Team:     cell.Team(fmt.Sprintf("team-%d", i%teams)),
		Policy:   "batch",
		Priority: cell.PriorityNormal,
		Tasks:    1,
		Size:     cell.Resources{MilliCPU: taskMilliCPU, MemoryBytes: taskMemory},
		Command:  strings.Repeat("x", commandBytes),
	}
	if i%serviceEvery == 0 {
		spec.Policy = "service"
	}
	return spec
}
