package commitbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
)

// Sizes of the measurement. All tasks fit on the workers at the same time.
const (
	workers               = 900
	tasksPerJob           = 100
	defaultJobs           = 300
	plainJobs             = 10 // takes the plain version about as long as defaultJobs takes group commit
	placementPollInterval = 10 * time.Millisecond
	submitInFlight        = 16
)

func (f *Figures) measurePlacements(ctx context.Context, folder string) error {
	for _, v := range variants {
		count := f.Options.Jobs
		if v.plain {
			count = plainJobs
		}
		err := withGroup(ctx, folder, v, cellFile, func(group *localgroup.Group) error {
			elapsed, err := timePlacements(ctx, group, count)
			if err != nil {
				return err
			}
			tasks := count * tasksPerJob
			f.Placements = append(f.Placements, PlacementRow{Version: v.name, Tasks: tasks, PerSecond: float64(tasks) / elapsed.Seconds()})
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// timePlacements returns the time from the first submission to the commit of the last placement.
func timePlacements(ctx context.Context, group *localgroup.Group, jobs int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := runConcurrently(workers, func(i int) error { return registerWorker(ctx, group, i) }); err != nil {
		return 0, err
	}
	started := time.Now()
	if err := runConcurrently(jobs, func(i int) error { return submitJob(ctx, group, i) }); err != nil {
		return 0, err
	}
	ticker := time.NewTicker(placementPollInterval)
	defer ticker.Stop()
	for {
		answer, err := group.Client().Read(ctx, state.Query{Status: &state.StatusQuery{}})
		if err != nil {
			return 0, err
		}
		if answer.Status.Allocations >= jobs*tasksPerJob {
			return time.Since(started), nil
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("%d of %d tasks placed: %w", answer.Status.Allocations, jobs*tasksPerJob, ctx.Err())
		case <-ticker.C:
		}
	}
}

// runConcurrently calls do for 0 to n-1, with submitInFlight calls in flight, and returns the first
// error.
func runConcurrently(n int, do func(i int) error) error {
	failures := make(chan error, submitInFlight)
	var tasks sync.WaitGroup
	for first := range submitInFlight {
		tasks.Go(func() {
			for i := first; i < n; i += submitInFlight {
				if err := do(i); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	tasks.Wait()
	close(failures)
	return <-failures
}

func registerWorker(ctx context.Context, group *localgroup.Group, i int) error {
	domains := []cell.FailureDomain{"r1-a", "r1-b"}
	worker := cell.Worker{
		Name: cell.WorkerName(fmt.Sprintf("worker-%04d", i)), Incarnation: 1, Region: "r1", FailureDomain: domains[i%2],
		Rack: cell.Rack(fmt.Sprintf("rack-%d", i/8)), Pool: "general",
		Capacity: cell.Resources{MilliCPU: 64_000, MemoryBytes: 128 << 30},
	}
	return checkAccepted(group.Client().Propose(ctx, state.Command{RegisterWorker: &state.RegisterWorker{Worker: worker}}))
}

func submitJob(ctx context.Context, group *localgroup.Group, i int) error {
	spec := cell.JobSpec{
		Name: "batch", Team: "bench", Policy: "batch", Priority: cell.PriorityNormal, Tasks: tasksPerJob,
		Size: cell.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, RunTime: time.Minute, Command: "run",
	}
	key := fmt.Sprintf("job-%d", i)
	return checkAccepted(group.Client().Propose(ctx, state.Command{SubmitJob: &state.SubmitJob{Key: key, Spec: spec}}))
}

func checkAccepted(result state.Result, err error) error {
	if err == nil && result.Refusal != state.RefusalNone {
		return fmt.Errorf("refused: %s %s", result.Refusal, result.Detail)
	}
	return err
}
