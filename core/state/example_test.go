package state_test

import (
	"fmt"
	"os"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

func ExampleState_Apply() {
	body, err := os.ReadFile("../../examples/turnos.toml")
	if err != nil {
		fmt.Println(err)
		return
	}
	start := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	worker := cell.Worker{
		Name: "w1", Incarnation: 1, Region: "quito-norte", FailureDomain: "quito-norte-1", Rack: "r1", Pool: "general",
		Capacity: cell.Resources{MilliCPU: 64_000, MemoryBytes: 128 << 30},
	}
	job := cell.JobSpec{
		Name: "bookings", Team: "reservas", Policy: "long-running", Priority: cell.PriorityNormal, Tasks: 1,
		Size: cell.Resources{MilliCPU: 4000, MemoryBytes: 8 << 30},
	}

	s := state.New()
	result, _ := s.Apply(1, state.Command{At: start, ApplyFile: &state.ApplyFile{Body: body}})
	fmt.Println(result.File.Generation, result.Detail)
	result, _ = s.Apply(2, state.Command{At: start, RegisterWorker: &state.RegisterWorker{Worker: worker}})
	fmt.Println("epoch", result.Worker.Epoch)
	result, _ = s.Apply(3, state.Command{At: start, SubmitJob: &state.SubmitJob{Key: "k1", Spec: job}})
	fmt.Println("job", result.Job.ID, result.Job.State)
	plan := state.CommitPlan{Placements: []state.Placement{{Task: cell.TaskID{Job: 1}, Worker: "w1", Epoch: 1}}}
	_, events := s.Apply(4, state.Command{At: start, CommitPlan: &plan})
	fmt.Println("allocation", events[0].TaskPlaced.Allocation.ID, "on", events[0].TaskPlaced.Allocation.Worker)
	// Output:
	// 1 accepted
	// epoch 1
	// job 1 queued
	// allocation 1 on w1
}
