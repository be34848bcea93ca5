package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/placement"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/fakecell"
)

var start = time.Unix(1_800_000_000, 0)

// harness is a scheduler on a fake cell with a clock that the test advances.
type harness struct {
	now       time.Time
	scheduler *placement.Scheduler
	cell      *fakecell.Cell
	log       strings.Builder
}

func newHarness(l fakecell.Layout) *harness {
	r := &harness{now: start, scheduler: placement.New(placement.DefaultOptions())}
	r.cell = fakecell.New(l, func(e state.Event) { r.scheduler.Step(r.now, e) })
	return r
}

func (r *harness) plan(limit int) (state.CommitPlan, state.PlanResult) {
	plan := r.scheduler.Plan(r.now, limit)
	result := r.cell.Apply(r.now, plan)
	r.scheduler.PlanApplied(r.now, plan, result)
	return plan, result
}

func layout() fakecell.Layout {
	pools := []cell.Pool{"general", "accel"}
	general := pools[:1]
	return fakecell.Layout{
		Regions: []fakecell.Region{{Name: "east", Domains: []cell.FailureDomain{"e1", "e2"}}, {Name: "west", Domains: []cell.FailureDomain{"w1"}}},
		Pools:   pools,
		Policies: []fakecell.Policy{
			{Name: "service", Kind: cell.KindService, Pools: general, Spread: "failure-domain"},
			{Name: "batch", Kind: cell.KindBatch, Pools: general, Spread: "none", Preemptible: true},
			{Name: "fixed", Kind: cell.KindBatch, Pools: general, Spread: "none"},
			{Name: "accel", Kind: cell.KindBatch, Pools: pools[1:], Spread: "none"},
			{Name: "gang", Kind: cell.KindGang, Pools: general, Spread: "none"},
		},
		Teams: []fakecell.Team{
			{Name: "a", Share: 0.5, Cores: 1000, MemoryGiB: 4000, Accelerators: 8, UrgentCores: 16},
			{Name: "b", Share: 0.25, Cores: 1000, MemoryGiB: 4000, UrgentCores: 16},
			{Name: "small", Share: 0.25, Cores: 4, MemoryGiB: 16, UrgentCores: 2},
		},
		Backoff: 10 * time.Second,
	}
}

// TestPlacement runs the scenarios in testdata. The comments there say what each one checks.
func TestPlacement(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := newHarness(layout())
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			r.log.Reset()
			r.runCommand(t, d)
			for _, v := range r.cell.Violations {
				t.Errorf("%s: %s", d.Pos, v)
			}
			r.cell.Violations = nil
			return r.log.String()
		})
	})
}

func (r *harness) runCommand(t *testing.T, d *datadriven.TestData) {
	switch d.Cmd {
	case "reset":
		*r = *newHarness(layout())
	case "workers":
		r.addWorkers(t, d)
	case "remove":
		r.cell.RemoveWorker(r.now, cell.WorkerName(stringArg(t, d, "name", "")))
	case "retire":
		l := layout()
		l.Retired = []cell.WorkerName{cell.WorkerName(stringArg(t, d, "name", ""))}
		r.cell.Configure(l)
	case "submit":
		for range intArg(t, d, "times", 1) {
			fmt.Fprintf(&r.log, "job %d\n", r.cell.Submit(jobSpecArg(t, d)))
		}
	case "cancel":
		r.cell.Cancel(cell.JobID(intArg(t, d, "job", 0)))
	case "sleep":
		r.advanceClock(t, d)
	case "plan":
		r.printPlan(intArg(t, d, "limit", 1000))
	case "drop":
		plan := r.scheduler.Plan(r.now, 1000)
		fmt.Fprintf(&r.log, "%d placements lost\n", len(plan.Placements))
		r.scheduler.PlanApplied(r.now, plan, state.PlanResult{})
	case "refuse":
		plan := r.scheduler.Plan(r.now, 1000)
		result := state.PlanResult{}
		for range plan.Placements {
			result.Placements = append(result.Placements, state.Refusal(stringArg(t, d, "reason", "")))
		}
		fmt.Fprintf(&r.log, "%d placements refused\n", len(plan.Placements))
		r.scheduler.PlanApplied(r.now, plan, result)
	case "end":
		r.endAllocations(t, d)
	case "start":
		r.cell.Start(cell.AllocationID(intArg(t, d, "alloc", 0)))
	case "use":
		r.cell.Use(cell.AllocationID(intArg(t, d, "alloc", 0)), sizeArg(t, d))
	case "explain":
		e := r.scheduler.Explain(r.now, cell.JobID(intArg(t, d, "job", 0)))
		fmt.Fprintf(&r.log, "%s\n", e)
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
}

func (r *harness) advanceClock(t *testing.T, d *datadriven.TestData) {
	pause, err := time.ParseDuration(stringArg(t, d, "for", "1s"))
	if err != nil {
		t.Fatal(err)
	}
	r.now = r.now.Add(pause)
}

func (r *harness) addWorkers(t *testing.T, d *datadriven.TestData) {
	pool := cell.Pool(stringArg(t, d, "pool", "general"))
	for _, w := range layout().Machines(intArg(t, d, "n", 1), pool, sizeArg(t, d)) {
		if only := stringArg(t, d, "domain", string(w.FailureDomain)); only == string(w.FailureDomain) {
			r.cell.AddWorker(w)
		}
	}
}

func (r *harness) printPlan(limit int) {
	plan, result := r.plan(limit)
	for i, p := range plan.Placements {
		w := r.cell.Workers[p.Worker]
		fmt.Fprintf(&r.log, "task %d/%d on %s (%s %s) alloc %d %s\n", p.Task.Job, p.Task.Index, p.Worker,
			w.FailureDomain, w.Rack, result.Allocations[i], result.Placements[i])
	}
	for _, id := range plan.Preemptions {
		fmt.Fprintf(&r.log, "preempt alloc %d of job %d on %s\n", id, r.cell.Allocations[id].Task.Job, r.cell.Allocations[id].Worker)
	}
	if wake := r.scheduler.NextWake(r.now); !wake.IsZero() {
		fmt.Fprintf(&r.log, "wake in %v\n", wake.Sub(r.now).Round(time.Millisecond))
	}
}

func (r *harness) endAllocations(t *testing.T, d *datadriven.TestData) {
	for id := intArg(t, d, "alloc", 0); id <= intArg(t, d, "to", intArg(t, d, "alloc", 0)); id++ {
		r.cell.End(r.now, cell.AllocationID(id), state.TaskOutcome(stringArg(t, d, "outcome", "succeeded")))
	}
}

func jobSpecArg(t *testing.T, d *datadriven.TestData) cell.JobSpec {
	runTime, err := time.ParseDuration(stringArg(t, d, "run", "1m"))
	if err != nil {
		t.Fatal(err)
	}
	return cell.JobSpec{
		Name: stringArg(t, d, "name", "job"), Team: cell.Team(stringArg(t, d, "team", "a")),
		Policy: cell.PolicyName(stringArg(t, d, "policy", "batch")), Priority: cell.Priority(stringArg(t, d, "priority", "normal")),
		Tasks: intArg(t, d, "tasks", 1), Size: sizeArg(t, d), RunTime: runTime,
		Region: cell.Region(stringArg(t, d, "region", "")), Checkpoints: d.HasArg("checkpoints"),
	}
}

func sizeArg(t *testing.T, d *datadriven.TestData) cell.Resources {
	return fakecell.Size(intArg(t, d, "cores", 1), intArg(t, d, "gib", 1), intArg(t, d, "acc", 0))
}

func intArg(t *testing.T, d *datadriven.TestData, key string, value int) int {
	d.MaybeScanArgs(t, key, &value)
	return value
}

func stringArg(t *testing.T, d *datadriven.TestData, key, value string) string {
	d.MaybeScanArgs(t, key, &value)
	return value
}
