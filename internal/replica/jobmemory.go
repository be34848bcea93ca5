package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/jobmemory"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// metricJobMemory says who holds how much of the memory for jobs.
var metricJobMemory = metrics.Declare("control_job_memory_bytes", metrics.KindGauge,
	"memory that jobs take: limit, total, and the shares of the queue and of the team that hold most")

// jobMemory bounds the memory that jobs take.
type jobMemory struct {
	limiter *jobmemory.Limiter // nil without a limit
	// refusing is set from the first refusal until there was none for quietTime.
	refusing    bool
	lastRefusal time.Time
}

// quietTime is the time without a refusal after which the memory for jobs is reported to have room again.
const quietTime = 10 * time.Second

func newJobMemory(opts Options) jobMemory {
	if opts.JobMemoryBytes == 0 {
		return jobMemory{}
	}
	return jobMemory{limiter: jobmemory.New(opts.JobMemoryBytes)}
}

// checkJobMemory reports whether a new job is refused because the memory for jobs has no room for it.
func (t *task) checkJobMemory(now time.Time, submit *workload.Submit) (retryAfter time.Duration, refused bool) {
	if t.jobMemory.limiter == nil {
		return 0, false
	}
	held := t.state.Workload().JobMemory()
	use := jobmemory.Use{Total: held.Total, Queue: held.ByQueue[submit.Spec.Queue], Team: held.ByTeam[submit.Team]}
	use.NextRelease, _ = t.state.Workload().NextRelease()
	t.proposals.forEachJob(func(pending *workload.Submit) {
		bytes := pending.Spec.Memory()
		use.Total += bytes
		if pending.Spec.Queue == submit.Spec.Queue {
			use.Queue += bytes
		}
		if pending.Team == submit.Team {
			use.Team += bytes
		}
	})
	job := jobmemory.Job{Bytes: submit.Spec.Memory(), HasTeam: submit.Team != ""}
	retryAfter, admitted := t.jobMemory.limiter.Admit(now, use, job)
	if admitted {
		return 0, false
	}
	t.jobMemory.lastRefusal = now
	if !t.jobMemory.refusing {
		t.jobMemory.refusing = true
		t.opts.Logger.Log(eventJobMemoryFull, append(t.jobMemoryFields(), zap.String("queue", submit.Spec.Queue), zap.String("team", string(submit.Team)), zap.Int64("job_bytes", job.Bytes))...)
	}
	return retryAfter, true
}

// jobMemoryFields describes who holds the memory for jobs.
func (t *task) jobMemoryFields() []zap.Field {
	held := t.state.Workload().JobMemory()
	queue, queueBytes := largest(held.ByQueue)
	team, teamBytes := largest(held.ByTeam)
	return []zap.Field{
		zap.Int64("bytes", held.Total), zap.Int64("limit", t.jobMemory.limiter.Bytes()),
		zap.String("largest_queue", queue), zap.Int64("largest_queue_bytes", queueBytes),
		zap.String("largest_team", string(team)), zap.Int64("largest_team_bytes", teamBytes),
	}
}

// reportJobMemory updates the gauges, and logs that the memory for jobs has room again.
func (t *task) reportJobMemory(now time.Time) {
	if t.jobMemory.limiter == nil {
		return
	}
	held := t.state.Workload().JobMemory()
	_, queueBytes := largest(held.ByQueue)
	_, teamBytes := largest(held.ByTeam)
	for use, bytes := range map[string]int64{"limit": t.jobMemory.limiter.Bytes(), "total": held.Total, "largest-queue": queueBytes, "largest-team": teamBytes} {
		t.opts.Metrics.SetGaugeFor(metricJobMemory, use, float64(bytes))
	}
	if t.jobMemory.refusing && now.Sub(t.jobMemory.lastRefusal) >= quietTime {
		t.jobMemory.refusing = false
		t.opts.Logger.Log(eventJobMemoryHasRoom, t.jobMemoryFields()...)
	}
}

// largest returns the holder of most bytes; of several, the first by name.
func largest[K ~string](held map[K]int64) (name K, bytes int64) {
	for holder, n := range held {
		if n > bytes || n == bytes && holder < name {
			name, bytes = holder, n
		}
	}
	return name, bytes
}
