package cellconfig

import (
	"math"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/strictconf"
)

// MaxFileBytes is the maximum size of a cell file.
const MaxFileBytes = 1 << 20

// File is a parsed cell file (docs/design.md, section 6). Every setting except Reason is required.
type File struct {
	Generation cell.Generation `toml:"generation"`
	Submitter  string          `toml:"submitter"`
	Reason     string          `toml:"reason,optional"`
	Cell       Cell            `toml:"cell"`
	Regions    []Region        `toml:"region"`
	Pools      []Pool          `toml:"pool"`
	Policies   []Policy        `toml:"policy"`
	Teams      []Team          `toml:"team"`
	Services   []Service       `toml:"service"`
}

// Cell holds the settings of the cell as a whole.
type Cell struct {
	Name               string            `toml:"name"`
	MaxClockDriftPPM   int64             `toml:"max_clock_drift_ppm"` // parts per million
	WorkerLease        time.Duration     `toml:"worker_lease"`
	WorkerSyncInterval time.Duration     `toml:"worker_sync_interval"`
	WorkerStopMargin   time.Duration     `toml:"worker_stop_margin"`
	StaleAfter         time.Duration     `toml:"stale_after"`
	MaxEntries         int               `toml:"max_entries"` // limit of entry processes; the connections of each backend server are divided by it
	RetiredWorkers     []cell.WorkerName `toml:"retired_workers"`
	ControlReplicas    []uint64          `toml:"control_replicas"` // desired members of the control group, by id
	Reason             string            `toml:"reason,optional"`
}

// Region names a region and its failure domains.
type Region struct {
	Name           cell.Region          `toml:"name"`
	FailureDomains []cell.FailureDomain `toml:"failure_domains"`
	Reason         string               `toml:"reason,optional"`
}

// Pool is a set of workers. A worker is not admitted if it exceeds the size limits of the pool or if
// the pool already has MaxWorkers workers.
type Pool struct {
	Name                  cell.Pool        `toml:"name"`
	Regions               []cell.Region    `toml:"regions"`
	MaxWorkers            int              `toml:"max_workers"`
	MaxWorkerCPUs         float64          `toml:"max_worker_cpus"` // cores
	MaxWorkerMemory       strictconf.Bytes `toml:"max_worker_memory"`
	MaxWorkerAccelerators int64            `toml:"max_worker_accelerators"`
	Reason                string           `toml:"reason,optional"`
}

// MaxWorker returns the capacity of the largest worker that the pool admits.
func (p Pool) MaxWorker() cell.Resources {
	return cell.Resources{
		MilliCPU:     milliCPU(p.MaxWorkerCPUs),
		MemoryBytes:  int64(p.MaxWorkerMemory),
		Accelerators: p.MaxWorkerAccelerators,
	}
}

// SpreadUnit is the kind of unit across which the tasks of a service are spread.
type SpreadUnit string

// Units across which tasks are spread.
const (
	SpreadFailureDomain SpreadUnit = "failure-domain"
	SpreadRack          SpreadUnit = "rack"
	SpreadNone          SpreadUnit = "none"
)

// Policy determines how the tasks of a job are placed and retried.
type Policy struct {
	Name           cell.PolicyName       `toml:"name"`
	Kind           cell.PolicyKind       `toml:"kind"`
	Pools          []cell.Pool           `toml:"pools"`
	SpreadBy       SpreadUnit            `toml:"spread_by"`
	Preemptible    bool                  `toml:"preemptible"`
	OnDisconnect   cell.DisconnectAction `toml:"on_disconnect"`
	MaxTasks       int                   `toml:"max_tasks"`    // per job
	MaxAttempts    int                   `toml:"max_attempts"` // per task
	BackoffInitial time.Duration         `toml:"backoff_initial"`
	BackoffMax     time.Duration         `toml:"backoff_max"`
	Reason         string                `toml:"reason,optional"`
}

// Team is an owner of jobs with a share and a quota.
type Team struct {
	Name              cell.Team         `toml:"name"`
	Share             float64           `toml:"share"` // fraction of the cell, 0 to 1
	QuotaCPUs         float64           `toml:"quota_cpus"`
	QuotaMemory       strictconf.Bytes  `toml:"quota_memory"`
	QuotaAccelerators int64             `toml:"quota_accelerators"`
	UrgentCPUs        float64           `toml:"urgent_cpus"` // limit of cores for urgent jobs at a time
	MaxQueuedJobs     int               `toml:"max_queued_jobs"`
	Policies          []cell.PolicyName `toml:"policies"`
	Reason            string            `toml:"reason,optional"`
}

// Quota returns the team's quota as resources.
func (t Team) Quota() cell.Resources {
	return cell.Resources{
		MilliCPU:     milliCPU(t.QuotaCPUs),
		MemoryBytes:  int64(t.QuotaMemory),
		Accelerators: t.QuotaAccelerators,
	}
}

// UrgentMilliCPU returns the CPU limit of the team's urgent jobs, in thousandths of a core.
func (t Team) UrgentMilliCPU() int64 { return milliCPU(t.UrgentCPUs) }

// Service is a routed service.
type Service struct {
	Name               cell.Service     `toml:"name"`
	PathPrefix         string           `toml:"path_prefix"` // starts and ends with a slash
	Teams              []cell.Team      `toml:"teams"`
	IdempotentMethods  []string         `toml:"idempotent_methods"`
	AnnounceInterval   time.Duration    `toml:"announce_interval"`
	AnnounceLease      time.Duration    `toml:"announce_lease"`
	MaxQueue           int              `toml:"max_queue"` // limit of requests that wait in one entry process
	DefaultDeadline    time.Duration    `toml:"default_deadline"`
	MaxDeadline        time.Duration    `toml:"max_deadline"`
	DispatchWindow     time.Duration    `toml:"dispatch_window"`
	MaxRequestBytes    strictconf.Bytes `toml:"max_request_bytes"`
	ReplayMaxBytes     strictconf.Bytes `toml:"replay_max_bytes"`
	AnswerRetention    time.Duration    `toml:"answer_retention"`
	RetryBudget        float64          `toml:"retry_budget"` // limit of retries as a fraction of requests
	CrossRegionPenalty time.Duration    `toml:"cross_region_penalty"`
	PanicThreshold     float64          `toml:"panic_threshold"` // fraction of usable backend servers below which ejected ones are used
	Reason             string           `toml:"reason,optional"`
}

const milliPerCore = 1000

// milliCPU converts cores to thousandths of a core. It rounds explicitly, because some processors fuse
// a product and a sum in one expression, and all replicas must compute exactly the same value.
func milliCPU(cores float64) int64 { return int64(math.Round(cores * milliPerCore)) }
