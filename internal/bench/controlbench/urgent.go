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
	// fillers and their size leave one core of a worker free, so that an urgent
	// task of two cores needs a preemption.
	fillersPerWorker = 3
	fillerMilliCPU   = 19_000
	urgentMilliCPU   = 2_000
)

// assignment says that a worker was told to run a job's task.
type assignment struct {
	job cell.JobID
	at  time.Time
}

// noteAssignments passes on tasks of urgent jobs, which have the largest ids.
func (c *testCell) noteAssignments(answer agent.Response) {
	first := c.firstUrgent.Load()
	if first == 0 || !answer.Changed {
		return
	}
	for _, task := range answer.Tasks {
		if uint64(task.Job) < first {
			continue
		}
		select {
		case c.assignments <- assignment{job: task.Job, at: time.Now()}:
		default:
			// Assignments are complete lists; the next one says it again.
		}
	}
}

// urgent fills the cell with preemptible work and measures the time from the
// submission of an urgent job until its worker is told to run it. Urgent tasks
// first use what room is too small for a filler, and preempt after that.
func (c *testCell) urgent(ctx context.Context, p *Point) error {
	if err := c.fillUp(ctx); err != nil {
		return err
	}
	var delays []time.Duration
	for i := range urgentJobs {
		began := time.Now()
		job, err := c.submit(ctx, fmt.Sprintf("urgent-%d", i), cell.JobSpec{
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

func (c *testCell) fillUp(ctx context.Context) error {
	var last cell.JobID
	fillers := fillersPerWorker * c.workers
	for first := 0; first < fillers; first += tasksPerJob {
		job, err := c.submit(ctx, fmt.Sprintf("filler-%d", first), cell.JobSpec{
			Name: "filler", Team: "bench", Policy: "filler", Priority: cell.PriorityLow,
			Tasks: min(tasksPerJob, fillers-first), Checkpoints: true,
			Size: cell.Resources{MilliCPU: fillerMilliCPU, MemoryBytes: 1 << 30}, RunTime: time.Hour, Command: "serve",
		})
		if err != nil {
			return err
		}
		last = job
	}
	c.firstUrgent.Store(uint64(last) + 1)
	return c.waitSettled(ctx)
}

// settledFor is how long the number of allocations must stay the same. Not all
// fillers find room, because the services are not spread evenly over workers.
const settledFor = time.Second

func (c *testCell) waitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	allocations, since := 0, time.Now()
	return c.waitStatus(ctx, func(s *state.StatusView) bool {
		if s.Allocations != allocations {
			allocations, since = s.Allocations, time.Now()
		}
		return time.Since(since) >= settledFor
	})
}

func (c *testCell) submit(ctx context.Context, key string, spec cell.JobSpec) (cell.JobID, error) {
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
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	for {
		select {
		case a := <-c.assignments:
			if a.job == job {
				return a.at, nil
			}
		case <-ctx.Done():
			return time.Time{}, fmt.Errorf("urgent job %d was not started: %w", job, ctx.Err())
		}
	}
}
