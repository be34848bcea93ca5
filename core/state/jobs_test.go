package state_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

func (sim *simCell) submit(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"}).Draw(t, "key")
	spec := cell.JobSpec{
		Team:     "a",
		Policy:   rapid.SampledFrom([]cell.PolicyName{"stop", "keep", "batch", "gang"}).Draw(t, "policy"),
		Priority: rapid.SampledFrom([]cell.Priority{cell.PriorityUrgent, cell.PriorityNormal}).Draw(t, "priority"),
		Tasks:    rapid.IntRange(1, 5).Draw(t, "tasks"),
		Size: cell.Resources{
			MilliCPU:    rapid.SampledFrom([]int64{500, 1500, 3000, 6000, 9000}).Draw(t, "size"),
			MemoryBytes: 1 << 30,
		},
		RunTime: time.Minute,
	}
	result := sim.send(t, state.Command{SubmitJob: &state.SubmitJob{Key: key, Spec: spec}})
	known, repeated := sim.submitted[key]
	if repeated && sim.replicas[0].Query(state.Query{Job: &state.JobQuery{Job: known.id}}).Job == nil {
		repeated = false // the job and its key have expired
	}
	switch {
	case repeated && known.spec != spec:
		sim.expectRefusal(t, result, state.RefusalKeyReused)
	case repeated:
		if result.Job == nil || !result.Job.Repeated || result.Job.ID != known.id {
			t.Fatalf("repeated submission of job %d: %+v", known.id, result)
		}
	case spec.Tasks > 4:
		sim.expectRefusal(t, result, state.RefusalTooManyTasks)
	case spec.Size.MilliCPU > 8000:
		sim.expectRefusal(t, result, state.RefusalNeverFits)
	}
	sim.recordSubmission(key, spec, result)
}

// recordSubmission records the job that was added under a key.
func (sim *simCell) recordSubmission(key string, spec cell.JobSpec, result state.Result) {
	if result.Refusal == state.RefusalNone && !result.Job.Repeated {
		sim.submitted[key] = submission{id: result.Job.ID, spec: spec}
	}
}

func (sim *simCell) expectRefusal(t *rapid.T, result state.Result, want state.Refusal) {
	if result.Refusal != want || result.Detail == "" {
		t.Fatalf("got %q (%s), want %q with a detail", result.Refusal, result.Detail, want)
	}
}

// cancel cancels several jobs and compares each result with the state of the job before.
func (sim *simCell) cancel(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "burst") {
		id := cell.JobID(rapid.IntRange(1, len(sim.submitted)+2).Draw(t, "job"))
		before := sim.replicas[0].Query(state.Query{Job: &state.JobQuery{Job: id}}).Job
		result := sim.send(t, state.Command{CancelJob: &state.CancelJob{Job: id}})
		switch {
		case before == nil:
			sim.expectRefusal(t, result, state.RefusalUnknownJob)
		case before.State == cell.JobCancelled:
			sim.expectRefusal(t, result, state.RefusalNone)
		case before.State.Terminal():
			sim.expectRefusal(t, result, state.RefusalJobEnded)
		default:
			sim.expectRefusal(t, result, state.RefusalNone)
			if _, alive := sim.view.Jobs[id]; alive {
				t.Fatalf("job %d has not ended after its cancellation", id)
			}
		}
	}
}

// plan submits a plan that places most queued tasks on random workers, some of them with a stale
// epoch, and that may preempt an allocation.
func (sim *simCell) plan(t *rapid.T) {
	var plan state.CommitPlan
	workers := sortedKeys(sim.view.Workers)
	if len(workers) == 0 {
		t.Skip("no worker")
	}
	for _, task := range sim.queued() {
		if rapid.IntRange(0, 9).Draw(t, "leave out") == 0 {
			continue
		}
		name := rapid.SampledFrom(workers).Draw(t, "worker")
		p := state.Placement{Task: task, Worker: name, Epoch: sim.view.Workers[name].Epoch}
		if rapid.IntRange(0, 9).Draw(t, "stale epoch") == 0 {
			p.Epoch--
		}
		plan.Placements = append(plan.Placements, p)
	}
	if ids := sortedKeys(sim.view.Allocations); len(ids) > 0 && rapid.IntRange(0, 3).Draw(t, "preempt") == 0 {
		plan.Preemptions = append(plan.Preemptions, rapid.SampledFrom(ids).Draw(t, "preempted"))
	}
	before := len(sim.view.Allocations)
	result := sim.send(t, state.Command{CommitPlan: &plan})
	sim.checkPlan(t, plan, *result.Plan, len(sim.view.Allocations)-before)
}

// queued returns the queued tasks, sorted by job and index.
func (sim *simCell) queued() []cell.TaskID {
	var tasks []cell.TaskID
	for id := range sim.view.Queued {
		tasks = append(tasks, id)
	}
	slices.SortFunc(tasks, func(a, b cell.TaskID) int {
		if a.Job != b.Job {
			return int(a.Job) - int(b.Job)
		}
		return a.Index - b.Index
	})
	return tasks
}

func (sim *simCell) checkPlan(t *rapid.T, plan state.CommitPlan, result state.PlanResult, added int) {
	accepted := 0
	for i, p := range plan.Placements {
		stale := sim.epochs[p.Worker] != p.Epoch
		if (result.Placements[i] == state.RefusalNone) != (result.Allocations[i] != 0) {
			t.Fatalf("placement %d has refusal %q and allocation %d", i, result.Placements[i], result.Allocations[i])
		}
		if result.Placements[i] != state.RefusalNone {
			continue
		}
		accepted++
		if stale {
			t.Fatalf("placement %+v with a stale epoch is accepted", p)
		}
	}
	if accepted != added {
		t.Fatalf("%d placements accepted, %d allocations added", accepted, added)
	}
}
