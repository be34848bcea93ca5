package controlbench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/agent"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

const (
	urgentJobs = 50
	// Three fillers and the 6 one-core tasks of a worker leave one of its 64 cores free, so that an
	// urgent task of two cores needs a preemption.
	fillersPerWorker = 3
	fillerMilliCPU   = 19_000
	urgentMilliCPU   = 2_000
)

// assignment records when a worker received a task of a job.
type assignment struct {
	job cell.JobID
	at  time.Time
}

// recordAssignments reports the tasks of urgent jobs, which have the largest job ids.
func (c *testCell) recordAssignments(response agent.Response) {
	first := c.firstUrgentJob.Load()
	if first == 0 || !response.Changed {
		return
	}
	for _, task := range response.Tasks {
		if uint64(task.Job) < first {
			continue
		}
		select {
		case c.assignments <- assignment{job: task.Job, at: time.Now()}:
		default:
			// The channel is full. Each changed task list is complete, so the next one contains this
			// task again.
		}
	}
}

// measureUrgentJobs fills the cell with preemptible tasks and measures the time from the submission
// of an urgent job until its worker receives the assignment. Urgent tasks first use free capacity
// that is too small for a filler, and preempt fillers after that.
func (c *testCell) measureUrgentJobs(ctx context.Context, p *Point) error {
	if err := c.submitFillers(ctx); err != nil {
		return err
	}
	var delays []time.Duration
	for i := range urgentJobs {
		began := time.Now()
		job, err := c.submitJob(ctx, fmt.Sprintf("urgent-%d", i), cell.JobSpec{
			Name: "urgent", Team: "bench", Policy: "batch", Priority: cell.PriorityUrgent, Tasks: 1,
			Size: cell.Resources{MilliCPU: urgentMilliCPU, MemoryBytes: 1 << 30}, RunTime: time.Hour, Command: "serve",
		})
		if err != nil {
			return err
		}
		startedAt, err := c.awaitAssignment(ctx, job)
		if err != nil {
			return err
		}
		delays = append(delays, startedAt.Sub(began))
	}
	slices.Sort(delays)
	p.UrgentMedian = delays[len(delays)/2]
	p.UrgentWorst = delays[len(delays)-1]
	return nil
}

func (c *testCell) submitFillers(ctx context.Context) error {
	var last cell.JobID
	fillers := fillersPerWorker * c.workers
	for first := 0; first < fillers; first += tasksPerJob {
		job, err := c.submitJob(ctx, fmt.Sprintf("filler-%d", first), cell.JobSpec{
			Name: "filler", Team: "bench", Policy: "filler", Priority: cell.PriorityLow,
			Tasks: min(tasksPerJob, fillers-first), Checkpoints: true,
			Size: cell.Resources{MilliCPU: fillerMilliCPU, MemoryBytes: 1 << 30}, RunTime: time.Hour, Command: "serve",
		})
		if err != nil {
			return err
		}
		last = job
	}
	c.firstUrgentJob.Store(uint64(last) + 1)
	return c.awaitStableAllocations(ctx)
}

// stablePeriod is how long the number of allocations must stay the same before the cell counts as
// full. The expected number is unknown: some fillers do not fit, because the long-running tasks are
// not spread evenly over the workers.
const stablePeriod = time.Second

func (c *testCell) awaitStableAllocations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	allocations, since := 0, time.Now()
	return c.awaitStatus(ctx, func(s *state.StatusView) bool {
		if s.Allocations != allocations {
			allocations, since = s.Allocations, time.Now()
		}
		return time.Since(since) >= stablePeriod
	})
}

func (c *testCell) submitJob(ctx context.Context, key string, spec cell.JobSpec) (cell.JobID, error) {
	result, err := c.group.Client().Propose(ctx, state.Command{SubmitJob: &state.SubmitJob{Key: key, Spec: spec}})
	if err != nil {
		return 0, err
	}
	if result.Refusal != state.RefusalNone {
		return 0, fmt.Errorf("job refused: %s %s", result.Refusal, result.Detail)
	}
	return result.Job.ID, nil
}

func (c *testCell) awaitAssignment(ctx context.Context, job cell.JobID) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for {
		select {
		case a := <-c.assignments:
			if a.job == job {
				return a.at, nil
			}
		case <-ctx.Done():
			return time.Time{}, fmt.Errorf("urgent job %d was not assigned: %w", job, ctx.Err())
		}
	}
}
